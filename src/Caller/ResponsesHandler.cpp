#include "Caller/ResponsesHandler.h"

#include "Backend/EngineClient.h"
#include "Caller/Problem.h"
#include "Runtime/Log.h"
#include "Runtime/Overloaded.h"

#include <Poco/DigestEngine.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/SHA2Engine.h>
#include <Poco/StreamCopier.h>
#include <optional>
#include <ostream>

namespace parsleywing {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr const char *ResponsesPath = "/v1/responses";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::uint64_t DefaultEstimate = 256;

/// What the caller asked for, checked.
struct CallerRequest {
  AccountId Account;
  ServiceId Service;
  std::string Model;
  std::string Input;
  bool Stream = false;
  bool Repeatable = true;
  std::uint64_t MaxOutputTokens = DefaultEstimate;
  std::string IdempotencyKey;
};

using ParsedRequest = tl::expected<CallerRequest, Problem>;

tl::unexpected<Problem> refuse(HTTPResponse::HTTPStatus Status,
                               std::string Title, std::string Detail) {
  return tl::unexpected<Problem>(
      Problem{Status, std::move(Title), std::move(Detail)});
}

std::string digestOf(const std::string &Key) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Key);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

std::optional<AccountId> findAccount(const Declarations &Declared,
                                     const HTTPServerRequest &Request) {
  const std::string Credentials = Request.get("Authorization", "");
  if (!Credentials.starts_with(BearerPrefix))
    return std::nullopt;
  const std::string Digest = digestOf(Credentials.substr(BearerPrefix.size()));
  for (const auto &[Id, Account] : Declared.Accounts)
    if (Account.KeyDigest == Digest)
      return Id;
  return std::nullopt;
}

ParsedRequest parseBody(const Poco::JSON::Object &Body,
                        const Declarations &Declared, AccountId Account) {
  CallerRequest Parsed;
  Parsed.Account = Account;
  Parsed.Model = Body.optValue<std::string>("model", "");
  Parsed.Service = idOf<ServiceId>(Parsed.Model);
  const auto &Allowed = Declared.Accounts.at(Account).Services;
  const auto Service = Declared.Services.find(Parsed.Service);
  if (Service == Declared.Services.end() ||
      std::ranges::find(Allowed, Parsed.Service) == Allowed.end())
    return refuse(HTTPResponse::HTTP_FORBIDDEN, "service-not-allowed",
                  "The account may not use the service '" + Parsed.Model +
                      "'.");
  Parsed.Repeatable = Service->second.Repeatable;
  Parsed.Input = Body.optValue<std::string>("input", "");
  Parsed.Stream = Body.optValue<bool>("stream", false);
  Parsed.MaxOutputTokens =
      Body.optValue<Poco::UInt64>("max_output_tokens", DefaultEstimate);
  return Parsed;
}

ParsedRequest parseRequest(CallerContext &Context, HTTPServerRequest &Request) {
  if (Request.getURI() != ResponsesPath ||
      Request.getMethod() != HTTPServerRequest::HTTP_POST)
    return refuse(HTTPResponse::HTTP_NOT_FOUND, "not-found",
                  "Only POST /v1/responses is served here.");
  const DeclarationsPtr Declared = Context.declarations();
  const auto Account = findAccount(*Declared, Request);
  if (!Account)
    return refuse(HTTPResponse::HTTP_UNAUTHORIZED, "unknown-key",
                  "The key in the Authorization header is not known.");
  std::string Text;
  Poco::StreamCopier::copyToString(Request.stream(), Text);
  try {
    Poco::JSON::Parser Parser;
    const auto Body = Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
    auto Parsed = parseBody(*Body, *Declared, *Account);
    if (Parsed)
      Parsed->IdempotencyKey = Request.get("Idempotency-Key", "");
    return Parsed;
  } catch (const Poco::Exception &Failure) {
    return refuse(HTTPResponse::HTTP_BAD_REQUEST, "invalid-body",
                  "The body is not valid: " + Failure.displayText());
  }
}

std::string stringify(const Poco::JSON::Object &Object) {
  std::ostringstream Out;
  Object.stringify(Out);
  return Out.str();
}

/// Writes the answer of one request: as server-sent events, or collected into
/// one JSON document.
class AnswerWriter {
public:
  AnswerWriter(HTTPServerResponse &R, std::string I, bool S)
      : Response(R), Identity(std::move(I)), Stream(S) {}

  bool started() const { return this->Out != nullptr; }

  /// Passes a piece of text on. False where the caller is gone.
  bool delta(const std::string &Text) {
    if (!this->Stream) {
      this->Whole += Text;
      return true;
    }
    Poco::JSON::Object Data;
    Data.set("type", "response.output_text.delta");
    Data.set("delta", Text);
    return this->event("response.output_text.delta", Data);
  }

  void complete(std::uint64_t Tokens) {
    Poco::JSON::Object Final = this->finalObject("completed", Tokens);
    if (!this->Stream) {
      this->Response.setContentType("application/json");
      this->Response.set("X-Outcome", "completed");
      Final.set("output_text", this->Whole);
      Final.stringify(this->Response.send());
      return;
    }
    Poco::JSON::Object Data;
    Data.set("type", "response.completed");
    Data.set("response", Final);
    this->event("response.completed", Data);
  }

  /// Tells a caller whose stream has begun that its answer is not whole.
  void incomplete(const AnswerRequest &Answer, std::uint64_t Tokens) {
    Poco::JSON::Object Final = this->finalObject("incomplete", Tokens);
    Final.set("outcome",
              std::string(nameOf(RequestOutcomeNames, Answer.Outcome)));
    Final.set("reason", std::string(nameOf(AnswerReasonNames, Answer.Reason)));
    Poco::JSON::Object Data;
    Data.set("type", "response.incomplete");
    Data.set("response", Final);
    this->event("response.incomplete", Data);
  }

private:
  Poco::JSON::Object finalObject(const std::string &Status,
                                 std::uint64_t Tokens) const {
    Poco::JSON::Object Usage;
    Usage.set("output_tokens", Tokens);
    Poco::JSON::Object Final;
    Final.set("id", this->Identity);
    Final.set("object", "response");
    Final.set("status", Status);
    Final.set("usage", Usage);
    return Final;
  }

  bool event(const std::string &Name, Poco::JSON::Object &Data) {
    if (!this->Out) {
      this->Response.setContentType("text/event-stream");
      this->Response.setChunkedTransferEncoding(true);
      this->Out = &this->Response.send();
    }
    Data.set("sequence_number", this->Sequence++);
    *this->Out << "event: " << Name << "\ndata: " << stringify(Data) << "\n\n";
    this->Out->flush();
    return this->Out->good();
  }

  HTTPServerResponse &Response;
  std::string Identity;
  bool Stream;
  std::string Whole;
  std::ostream *Out = nullptr;
  std::uint64_t Sequence = 0;
};

/// Has one request decided and carries the decisions out.
class RequestServer {
public:
  RequestServer(CallerContext &C, const CallerRequest &A, RequestId R,
                std::string I, HTTPServerResponse &Response)
      : Context(C), Asked(A), Request(R), Identity(I),
        Writer(Response, std::move(I), A.Stream), Out(Response),
        Channel(C.Control.openChannel(R)) {}
  ~RequestServer() { this->Context.Control.closeChannel(this->Request); }
  RequestServer(const RequestServer &) = delete;
  RequestServer &operator=(const RequestServer &) = delete;

  void serve() {
    this->Context.Control.post(RequestArrived{this->describe()});
    while (!this->Answered) {
      const auto Decision = this->Channel->take(std::chrono::seconds(1));
      if (Decision)
        std::visit([this](const auto &D) { this->carryOut(D); }, *Decision);
    }
  }

private:
  RequestDescription describe() const {
    RequestDescription D;
    D.Request = this->Request;
    D.Account = this->Asked.Account;
    D.Service = this->Asked.Service;
    D.Repeatable = this->Asked.Repeatable;
    D.IdempotencyKey = this->Asked.IdempotencyKey;
    D.EstimatedTokens = std::max<std::uint64_t>(1, this->Asked.MaxOutputTokens);
    D.Deadline = this->Context.Control.clock().now() +
                 this->Context.Settings.DefaultTimeout;
    return D;
  }

  void carryOut(const StartAttempt &Start) {
    const DeclarationsPtr Declared = this->Context.declarations();
    const auto Server = Declared->Servers.find(Start.Server);
    EngineResult Ended{AttemptOutcome::NotSent, 0};
    if (Server != Declared->Servers.end())
      Ended = this->runAttempt(Start, Server->second.Address);
    this->Tokens = Ended.Tokens;
    this->Context.Control.post(AttemptEnded{this->Request, Start.Attempt,
                                            Ended.Outcome, Ended.Tokens});
  }

  EngineResult runAttempt(const StartAttempt &Start,
                          const std::string &Address) {
    ControlLoop &Control = this->Context.Control;
    EngineCall Call{Address,
                    this->Asked.Model,
                    this->Asked.Input,
                    this->Asked.MaxOutputTokens,
                    this->Identity + "." + std::to_string(Start.Attempt),
                    this->Context.Settings.BackendSilenceLimit};
    EngineListener Listener;
    Listener.Sent = [&] {
      Control.post(AttemptSent{this->Request, Start.Attempt});
    };
    Listener.Delta = [&](const std::string &Text, std::uint64_t Generated) {
      Control.post(AttemptProgressed{this->Request, Start.Attempt, Generated});
      return this->Writer.delta(Text);
    };
    Listener.SetBreaker = [&](std::function<void()> Breaker) {
      this->Channel->setBreaker(std::move(Breaker));
    };
    return runEngineCall(Call, Listener);
  }

  void carryOut(const CancelAttempt &) {}   // The breaker has ended it.
  void carryOut(const SendFairMessage &) {} // Never on a request's channel.

  void carryOut(const AnswerRequest &Answer) {
    this->Answered = true;
    if (Answer.Outcome == RequestOutcome::Completed)
      this->Writer.complete(this->Tokens);
    else if (this->Writer.started())
      this->Writer.incomplete(Answer, this->Tokens);
    else if (Answer.Reason != AnswerReason::CallerLeft)
      sendProblem(this->Out, problemOf(Answer));
  }

  CallerContext &Context;
  const CallerRequest &Asked;
  RequestId Request;
  std::string Identity;
  AnswerWriter Writer;
  HTTPServerResponse &Out;
  std::shared_ptr<RequestChannel> Channel;
  std::uint64_t Tokens = 0;
  bool Answered = false;
};

} // namespace

void ResponsesHandler::handleRequest(HTTPServerRequest &Request,
                                     HTTPServerResponse &Response) {
  const std::uint64_t Number = this->Context.NextRequest++;
  const std::string Identity = this->Context.Settings.RouterName + "-" +
                               this->Context.Life + "-" +
                               std::to_string(Number);
  Response.set("X-Request-Id", Identity);
  try {
    const ParsedRequest Parsed = parseRequest(this->Context, Request);
    if (!Parsed) {
      sendProblem(Response, Parsed.error());
      return;
    }
    RequestServer(this->Context, *Parsed, RequestId{Number}, Identity, Response)
        .serve();
  } catch (const Poco::Exception &Failure) {
    log(LogPart::Caller, LogLevel::Debug,
        "Connection of " + Identity + " broke: " + Failure.displayText());
  }
}

} // namespace parsleywing
