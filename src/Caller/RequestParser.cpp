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

/// JSON text must be UTF-8 (RFC 8259), which POCO's parser does not check.
bool isUtf8(const std::string &Text) {
  static const Poco::UTF8Encoding Encoding;
  const auto *Position = reinterpret_cast<const unsigned char *>(Text.data());
  const unsigned char *End = Position + Text.size();
  while (Position < End) {
    if (*Position < 0x80) {
      ++Position;
      continue;
    }
    const int Length = Encoding.sequenceLength(Position, 1);
    if (Length < 1 || Length > End - Position ||
        !Poco::UTF8Encoding::isLegal(Position, Length))
      return false;
    Position += Length;
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
  const auto InvalidValue =
      refuse(ProblemType::InvalidBody,
             "'max_output_tokens' takes a whole number from 1 to " +
                 std::to_string(Max) + ".");
  if (!Value.isInteger() || Value.isBoolean())
    return InvalidValue;
  try {
    const auto Tokens = Value.convert<Poco::UInt64>();
    if (Tokens >= 1 && Tokens <= Max)
      return Tokens;
  } catch (const Poco::Exception &) {
    // Negative or larger than 64 bits.
  }
  return InvalidValue;
}

Parsed<bool> parseStream(const Poco::JSON::Object &Body) {
  const Poco::Dynamic::Var Value = Body.get("stream");
  if (Value.isEmpty())
    return false;
  if (!Value.isBoolean())
    return refuse(ProblemType::InvalidBody, "'stream' takes true or false.");
  return Value.convert<bool>();
}

/// Sets the fields of `Out` that the body contains.
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
    // Preserves the order of members, so that a list of messages is forwarded
    // as received.
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
    return std::string(); // The request has no body.
  constexpr std::size_t ChunkBytes = 8192;
  const std::uint64_t Max = E.Context.Settings.MaxBodyBytes;
  std::istream &In = E.Request->stream();
  std::string Body;
  std::array<char, ChunkBytes> Chunk{};
  while (In.good()) {
    // Read at most one byte past the limit, which suffices to detect the
    // excess. Reading more would delay the rejection until the caller's next
    // bytes.
    const std::uint64_t ReadSize =
        std::min<std::uint64_t>(Chunk.size(), Max + 1 - Body.size());
    In.read(Chunk.data(), static_cast<std::streamsize>(ReadSize));
    Body.append(Chunk.data(), static_cast<std::size_t>(In.gcount()));
    if (Body.size() > Max)
      return refuse(ProblemType::BodyTooLarge,
                    "The body may hold " + std::to_string(Max) + " bytes.");
  }
  if (E.SocketImpl.receiveTimedOut())
    return refuse(ProblemType::ReceiveTimeout,
                  "The body did not come whole in time.");
  // POCO ends the stream in the same way at the end of the body and on an
  // error.
  const bool Chunked = E.Request->getChunkedTransferEncoding();
  if (In.bad() ||
      (!Chunked &&
       Body.size() != static_cast<std::uint64_t>(std::max<Poco::Int64>(
                          0, E.Request->getContentLength64()))))
    return refuse(ProblemType::InvalidBody, "The body did not come whole.");
  // A malformed chunk looks like the last one, so no request may follow a
  // chunked body.
  E.BodyRead = !Chunked;
  return Body;
}

Parsed<void> readRaw(Exchange &E, RawRequest &Out) {
  auto Body = readBody(E);
  if (!Body)
    return tl::unexpected(Body.error());
  Out.Method = E.Request->getMethod();
  Out.Target = E.Request->getURI();
  for (const auto &[Name, Value] : *E.Request)
    Out.Headers.emplace_back(Name, Value);
  Out.Body = std::move(*Body);
  return {};
}

/// Parses the headers, including the token of a router that handed the request
/// over. A token with an invalid signature is an error and is not ignored:
/// without its token, a request whose run record is held by the other router
/// would be treated as a duplicate.
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
  if (const auto Outcome = parseBody(**Body, Settings, Out); !Outcome)
    return tl::unexpected(Outcome.error());
  if (!mayUse(*Declared.Active, Account, Out.Service))
    return refuse(ProblemType::ServiceNotAllowed,
                  "The account may not use this service.");
  const ServiceDeclaration &Service = Declared.Active->Services.at(Out.Service);
  if (Service.Kind != ServiceKind::Engine)
    return refuse(ProblemType::InvalidBody,
                  "The service is no model; call it under /services.");
  Out.Repeatable = Service.Repeatable;
  if (const auto Outcome = parseHeaders(E, Out); !Outcome)
    return tl::unexpected(Outcome.error());
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
  // The scheduler counts a plain call as one token.
  Out.MaxOutputTokens = 1;
  if (const auto Read = readRaw(E, Out.Raw); !Read)
    return tl::unexpected(Read.error());
  if (const auto Outcome = parseHeaders(E, Out); !Outcome)
    return tl::unexpected(Outcome.error());
  return Out;
}

} // namespace parsleywing
