#include "Caller/RequestParser.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <Poco/UTF8Encoding.h>
#include <algorithm>
#include <array>
#include <sstream>

namespace parsleywing {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPServerRequest;

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";
constexpr const char *TimeoutHeader = "X-Request-Timeout-Seconds";

tl::unexpected<Problem> refuse(ProblemType Type, std::string Detail) {
  return tl::unexpected<Problem>(Problem{Type, std::move(Detail)});
}

/// JSON text is UTF-8 (RFC 8259); POCO's parser lets other bytes pass.
bool isUtf8(const std::string &Text) {
  static const Poco::UTF8Encoding Encoding;
  const auto *At = reinterpret_cast<const unsigned char *>(Text.data());
  const unsigned char *End = At + Text.size();
  while (At < End) {
    if (*At < 0x80) {
      ++At;
      continue;
    }
    const int Length = Encoding.sequenceLength(At, 1);
    if (Length < 1 || Length > End - At ||
        !Poco::UTF8Encoding::isLegal(At, Length))
      return false;
    At += Length;
  }
  return true;
}

bool isPrintable(const std::string &Text) {
  return std::ranges::all_of(Text, [](char C) { return C > 0x20 && C < 0x7f; });
}

Parsed<std::string> parseIdempotencyKey(const HTTPServerRequest &Request,
                                        std::uint32_t MaxLength) {
  if (!Request.has(IdempotencyKeyHeader))
    return std::string();
  std::string Key = Request.get(IdempotencyKeyHeader);
  if (Key.empty() || Key.size() > MaxLength || !isPrintable(Key))
    return refuse(ProblemType::InvalidHeader,
                  "Idempotency-Key takes 1 to " + std::to_string(MaxLength) +
                      " visible ASCII characters without spaces.");
  return Key;
}

Parsed<Duration> parseTimeout(const HTTPServerRequest &Request,
                              const CallerSettings &Settings) {
  if (!Request.has(TimeoutHeader))
    return Settings.DefaultTimeout;
  unsigned Seconds = 0;
  if (!Poco::NumberParser::tryParseUnsigned(Request.get(TimeoutHeader),
                                            Seconds) ||
      Seconds == 0)
    return refuse(ProblemType::InvalidHeader,
                  "X-Request-Timeout-Seconds takes a whole number from 1.");
  return std::min<Duration>(std::chrono::seconds(Seconds), Settings.MaxTimeout);
}

Parsed<void> parseInput(const Poco::JSON::Object &Body, CallerRequest &Out) {
  const Poco::Dynamic::Var Input = Body.get("input");
  if (Input.isString()) {
    Out.Input = Input.extract<std::string>();
    return {};
  }
  if (!Body.isArray("input") || Body.getArray("input")->empty())
    return refuse(ProblemType::InvalidBody,
                  "'input' takes a string or a list of messages.");
  std::ostringstream List;
  Body.getArray("input")->stringify(List);
  Out.InputJson = List.str();
  return {};
}

Parsed<std::uint64_t> parseMaxOutputTokens(const Poco::JSON::Object &Body,
                                           std::uint64_t Default,
                                           std::uint64_t Max) {
  const Poco::Dynamic::Var Value = Body.get("max_output_tokens");
  if (Value.isEmpty())
    return Default;
  const auto Wrong = refuse(ProblemType::InvalidBody,
                            "'max_output_tokens' takes a whole number from 1 "
                            "to " +
                                std::to_string(Max) + ".");
  if (!Value.isInteger() || Value.isBoolean())
    return Wrong;
  try {
    const auto Tokens = Value.convert<Poco::UInt64>();
    if (Tokens >= 1 && Tokens <= Max)
      return Tokens;
  } catch (const Poco::Exception &) {
    // Negative, or beyond 64 bits.
  }
  return Wrong;
}

Parsed<bool> parseStream(const Poco::JSON::Object &Body) {
  const Poco::Dynamic::Var Value = Body.get("stream");
  if (Value.isEmpty())
    return false;
  if (!Value.isBoolean())
    return refuse(ProblemType::InvalidBody, "'stream' takes true or false.");
  return Value.convert<bool>();
}

/// Fills in what the body says.
Parsed<void> parseBody(const Poco::JSON::Object &Body,
                       const CallerSettings &Settings, CallerRequest &Out) {
  const Poco::Dynamic::Var Model = Body.get("model");
  if (!Model.isString())
    return refuse(ProblemType::InvalidBody, "'model' takes a string.");
  Out.Model = Model.extract<std::string>();
  Out.Service = idOf<ServiceId>(Out.Model);
  if (const auto Input = parseInput(Body, Out); !Input)
    return tl::unexpected(Input.error());
  const auto Stream = parseStream(Body);
  if (!Stream)
    return tl::unexpected(Stream.error());
  Out.Stream = *Stream;
  const auto Tokens =
      parseMaxOutputTokens(Body, Out.MaxOutputTokens, Settings.MaxOutputTokens);
  if (!Tokens)
    return tl::unexpected(Tokens.error());
  Out.MaxOutputTokens = *Tokens;
  return {};
}

Parsed<Poco::JSON::Object::Ptr> parseJson(const std::string &Text,
                                          std::uint32_t MaxDepth) {
  if (!isUtf8(Text))
    return refuse(ProblemType::InvalidBody, "The body is not valid UTF-8.");
  try {
    // Members stay in their order: a list of messages goes on as it came.
    Poco::JSON::Parser Parser(new Poco::JSON::ParseHandler(true));
    Parser.setDepth(MaxDepth);
    return Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return refuse(ProblemType::InvalidBody,
                  "The body is not a JSON object of at most " +
                      std::to_string(MaxDepth) + " levels.");
  }
}

Parsed<void> checkFraming(const HTTPServerRequest &Request,
                          std::uint64_t MaxBodyBytes) {
  const bool Chunked = Request.getChunkedTransferEncoding();
  if (Request.has(HTTPMessage::TRANSFER_ENCODING) &&
      (!Chunked || Request.hasContentLength()))
    return refuse(ProblemType::InvalidRequest,
                  "The body takes either Content-Length or the chunked "
                  "transfer encoding, and no other.");
  if (Chunked)
    return {};
  if (!Request.hasContentLength()) {
    if (Request.getMethod() == HTTPServerRequest::HTTP_POST ||
        Request.getMethod() == HTTPServerRequest::HTTP_PUT)
      return refuse(ProblemType::LengthRequired,
                    "The request needs a Content-Length.");
    return {};
  }
  const Poco::Int64 Length = Request.getContentLength64();
  if (Length < 0)
    return refuse(ProblemType::InvalidRequest, "Content-Length is negative.");
  if (static_cast<std::uint64_t>(Length) > MaxBodyBytes)
    return refuse(ProblemType::BodyTooLarge, "The body may hold " +
                                                 std::to_string(MaxBodyBytes) +
                                                 " bytes.");
  return {};
}

} // namespace

Parsed<void> checkHead(const Exchange &E) {
  const CallerSettings &Settings = E.Context.Settings;
  if (E.Request->getURI().size() > Settings.MaxUriBytes)
    return refuse(ProblemType::UriTooLong,
                  "The request target may hold " +
                      std::to_string(Settings.MaxUriBytes) + " bytes.");
  if (E.Request->size() > Settings.MaxHeaderFields)
    return refuse(ProblemType::HeadersTooLarge,
                  "The request may have " +
                      std::to_string(Settings.MaxHeaderFields) +
                      " header fields.");
  return checkFraming(*E.Request, Settings.MaxBodyBytes);
}

Parsed<AccountId> findAccount(const Exchange &E,
                              const CallerDeclarations &Declared) {
  const std::string Credentials = E.Request->get("Authorization", "");
  if (Credentials.starts_with(BearerPrefix))
    if (auto Account =
            Declared.Keys->find(Credentials.substr(BearerPrefix.size())))
      return *Account;
  return refuse(ProblemType::UnknownKey,
                "The key in the Authorization header is not known.");
}

bool mayUse(const Declarations &Declared, AccountId Account,
            ServiceId Service) {
  const auto Found = Declared.Accounts.find(Account);
  if (Found == Declared.Accounts.end() || !Declared.Services.contains(Service))
    return false;
  const auto &Allowed = Found->second.Services;
  return std::ranges::find(Allowed, Service) != Allowed.end();
}

Parsed<std::string> readBody(Exchange &E) {
  if (E.BodyRead)
    return std::string(); // There is none.
  constexpr std::size_t PieceBytes = 8192;
  const std::uint64_t Max = E.Context.Settings.MaxBodyBytes;
  std::istream &In = E.Request->stream();
  std::string Body;
  std::array<char, PieceBytes> Piece{};
  while (In.good()) {
    // One byte past the limit shows that it is passed; to wait for more would
    // hold the refusal back until the caller's next bytes.
    const std::uint64_t Wanted =
        std::min<std::uint64_t>(Piece.size(), Max + 1 - Body.size());
    In.read(Piece.data(), static_cast<std::streamsize>(Wanted));
    Body.append(Piece.data(), static_cast<std::size_t>(In.gcount()));
    if (Body.size() > Max)
      return refuse(ProblemType::BodyTooLarge,
                    "The body may hold " + std::to_string(Max) + " bytes.");
  }
  if (E.SocketImpl.receiveTimedOut())
    return refuse(ProblemType::ReceiveTimeout,
                  "The body did not come whole in time.");
  // POCO ends the stream alike at the end of the body and where it breaks.
  const bool Chunked = E.Request->getChunkedTransferEncoding();
  if (In.bad() ||
      (!Chunked &&
       Body.size() != static_cast<std::uint64_t>(std::max<Poco::Int64>(
                          0, E.Request->getContentLength64()))))
    return refuse(ProblemType::InvalidBody, "The body did not come whole.");
  // A broken chunk looks like the last one, so nothing may follow.
  E.BodyRead = !Chunked;
  return Body;
}

Parsed<void> readRaw(Exchange &E, RawRequest &Into) {
  auto Body = readBody(E);
  if (!Body)
    return tl::unexpected(Body.error());
  Into.Method = E.Request->getMethod();
  Into.Target = E.Request->getURI();
  for (const auto &[Name, Value] : *E.Request)
    Into.Headers.emplace_back(Name, Value);
  Into.Body = std::move(*Body);
  return {};
}

/// What the headers say, and a note of the router that handed it over. A note
/// without its proof is refused and not passed over: taken as a request of its
/// own, one whose record is held elsewhere would seem to repeat itself.
Parsed<void> parseHeaders(const Exchange &E, CallerRequest &Out) {
  const CallerSettings &Settings = E.Context.Settings;
  auto Key = parseIdempotencyKey(*E.Request, Settings.MaxIdempotencyKeyLength);
  if (!Key)
    return tl::unexpected(Key.error());
  Out.IdempotencyKey = std::move(*Key);
  const auto Timeout = parseTimeout(*E.Request, Settings);
  if (!Timeout)
    return tl::unexpected(Timeout.error());
  Out.Timeout = *Timeout;
  if (!E.Request->has(HandOverHeader))
    return {};
  Out.HandedOver = verifyHandOverToken(E.Request->get(HandOverHeader), Out.Raw,
                                       Settings.FleetSecret);
  if (!Out.HandedOver)
    return refuse(ProblemType::InvalidHeader,
                  std::string(HandOverHeader) + " is for routers only.");
  return {};
}

Parsed<CallerRequest> parseRequest(Exchange &E,
                                   const CallerDeclarations &Declared,
                                   AccountId Account) {
  const CallerSettings &Settings = E.Context.Settings;
  CallerRequest Out;
  Out.Account = Account;
  if (const auto Read = readRaw(E, Out.Raw); !Read)
    return tl::unexpected(Read.error());
  const auto Body = parseJson(Out.Raw.Body, Settings.MaxJsonDepth);
  if (!Body)
    return tl::unexpected(Body.error());
  if (const auto Filled = parseBody(**Body, Settings, Out); !Filled)
    return tl::unexpected(Filled.error());
  if (!mayUse(*Declared.Active, Account, Out.Service))
    return refuse(ProblemType::ServiceNotAllowed,
                  "The account may not use this service.");
  const ServiceDeclaration &Service = Declared.Active->Services.at(Out.Service);
  if (Service.Kind != ServiceKind::Engine)
    return refuse(ProblemType::InvalidBody,
                  "The service is no model; call it under /services.");
  Out.Repeatable = Service.Repeatable;
  if (const auto Filled = parseHeaders(E, Out); !Filled)
    return tl::unexpected(Filled.error());
  return Out;
}

Parsed<CallerRequest> parsePlainRequest(Exchange &E,
                                        const CallerDeclarations &Declared,
                                        AccountId Account, ServiceId Service) {
  CallerRequest Out;
  Out.Account = Account;
  Out.Service = Service;
  Out.Kind = ServiceKind::Plain;
  Out.Repeatable = Declared.Active->Services.at(Service).Repeatable;
  // A plain call counts as one token.
  Out.MaxOutputTokens = 1;
  if (const auto Read = readRaw(E, Out.Raw); !Read)
    return tl::unexpected(Read.error());
  if (const auto Filled = parseHeaders(E, Out); !Filled)
    return tl::unexpected(Filled.error());
  return Out;
}

} // namespace parsleywing
