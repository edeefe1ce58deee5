#include "standin/EngineHandlers.h"

#include "standin/EngineStandIn.h"
#include "standin/EngineStreamWriter.h"
#include "standin/HandlerTools.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/URI.h>
#include <sstream>

namespace parsleywing::standin {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr const char *ResponsesPath = "/v1/responses";
constexpr const char *FencingHeader = "X-Fencing-Number";
constexpr std::string_view TokensPrefix = "tokens=";
constexpr std::uint64_t DefaultTokens = 16;

std::uint64_t requestedTokens(const std::string &Input) {
  const std::size_t Position = Input.find(TokensPrefix);
  if (Position == std::string::npos)
    return DefaultTokens;
  return std::strtoull(Input.c_str() + Position + TokensPrefix.size(), nullptr,
                       10);
}

EngineResponsePtr readRequest(const std::string &Text,
                              const EngineFaults &Faults) {
  Poco::JSON::Parser Parser;
  const auto Body = Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  auto Response = std::make_shared<EngineResponse>();
  auto Metadata = Body->getObject("metadata");
  if (!Metadata)
    Metadata = new Poco::JSON::Object;
  Response->Identity = Metadata->optValue<std::string>("identity", "");
  Response->IdempotencyKey =
      Metadata->optValue<std::string>("idempotency_key", "");
  if (Faults.WrongMetadata)
    Metadata->set("identity", "of-another-request");
  std::ostringstream Out;
  Metadata->stringify(Out);
  Response->Metadata = Out.str();
  Response->Background = Body->optValue<bool>("background", false);
  Response->TokensWanted = std::min<std::uint64_t>(
      requestedTokens(Body->optValue<std::string>("input", "")),
      Body->optValue<Poco::UInt64>("max_output_tokens", DefaultTokens));
  return Response;
}

class EngineHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit EngineHandler(EngineStandIn &E) : Engine(E) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    this->Cookie = socketCookie(Request);
    if (const std::string Version = this->Engine.version(); !Version.empty())
      Response.set("Server", "stand-in/" + Version);
    try {
      const Poco::URI Uri(Request.getURI());
      if (Uri.getPath().starts_with("/standin/"))
        this->handleControl(Uri.getPath(), Request, Response);
      else if (this->applyFaults(Uri.getPath(), Request, Response))
        this->serve(Uri, Request, Response);
    } catch (const Poco::Exception &) {
      // The peer disconnected or sent invalid JSON.
      Response.setKeepAlive(false);
    }
  }

private:
  /// Applies the faults that do not depend on the request body. Returns false
  /// if the request has been handled.
  bool applyFaults(const std::string &Path, HTTPServerRequest &Request,
                   HTTPServerResponse &Response) {
    this->Engine.waitWhilePaused();
    const EngineFaults Faults = this->Engine.faults();
    const bool Silent = Faults.Silent || this->Engine.isSilenced(this->Cookie);
    if (Silent)
      this->Engine.waitWhile([&] { return isPeerConnected(Request); });
    if (Silent || Faults.Close) {
      shutDownConnection(Request, Response);
      return false;
    }
    if (Faults.DelayMs > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Faults.DelayMs));
    const bool IsNewRequest =
        Request.getMethod() == "POST" && Path == ResponsesPath;
    if (IsNewRequest)
      this->Engine.countArrival();
    if (Faults.LeavingServed || (Faults.Leaving && IsNewRequest))
      Response.set("X-Draining", "true");
    if (Faults.Refuse && Faults.PauseSeconds > 0 && IsNewRequest)
      Response.set("Retry-After", std::to_string(Faults.PauseSeconds));
    return !this->sendRefusal(Faults, Path, Request, Response);
  }

  bool sendRefusal(const EngineFaults &Faults, const std::string &Path,
                   HTTPServerRequest &Request, HTTPServerResponse &Response) {
    const bool IsNewRequest =
        Path == ResponsesPath && Request.getMethod() == "POST";
    if (Faults.Leaving && (IsNewRequest || Path == "/metrics"))
      sendError(Response, 503, "draining");
    else if (Faults.Refuse && IsNewRequest)
      sendError(Response, 503, "overloaded");
    else if (Faults.BareRefuse && IsNewRequest)
      sendJson(Response, 503, "");
    else if (Faults.Reject && IsNewRequest)
      sendError(Response, 429, "rate_limit_exceeded");
    else
      return false;
    return true;
  }

  void serve(const Poco::URI &Uri, HTTPServerRequest &Request,
             HTTPServerResponse &Response) {
    const std::string &Path = Uri.getPath();
    if (Path == "/health")
      sendJson(Response, 200, "{}");
    else if (Path == "/metrics")
      sendText(Response, 200, "text/plain; version=0.0.4",
               this->Engine.metrics());
    else if (Path == "/v1/models")
      this->listModels(Response);
    else if (Path.ends_with("load_lora_adapter"))
      this->handleOrder(Path, Request, Response);
    else if (Path == ResponsesPath && Request.getMethod() == "POST")
      this->createResponse(Request, Response);
    else if (Path.starts_with(ResponsesPath))
      this->handleExisting(Uri, Request, Response);
    else
      sendError(Response, 404, "not_found");
  }

  void createResponse(HTTPServerRequest &Request,
                      HTTPServerResponse &Response) {
    const EngineFaults Faults = this->Engine.faults();
    const std::string Body = readBody(Request);
    EngineResponsePtr Created;
    try {
      Created = readRequest(Body, Faults);
    } catch (const Poco::Exception &) {
      sendError(Response, 400, "invalid_request_error");
      return;
    }
    this->Engine.submit(Created);
    if (!Faults.CrashOn.empty() &&
        Body.find(Faults.CrashOn) != std::string::npos) {
      this->Engine.crash(std::chrono::milliseconds(Faults.BackAfterMs));
      shutDownConnection(Request, Response);
      return;
    }
    if (Faults.LoseAnswer) {
      shutDownConnection(Request, Response);
      return;
    }
    const ConnectionPause Pause = this->Engine.takeConnectionPause();
    if (Pause.AfterTokens == 0 && !Faults.PauseInside)
      this->Engine.waitFor(Pause.Length);
    this->Engine.waitWhilePaused();
    EngineStreamWriter(this->Engine, Created, Faults, this->Cookie, Pause)
        .write(Request, Response, 0);
  }

  /// Handles `GET /v1/responses/{id}?stream=true&starting_after=N` and `POST
  /// /v1/responses/{id}/cancel`.
  void handleExisting(const Poco::URI &Uri, HTTPServerRequest &Request,
                      HTTPServerResponse &Response) {
    constexpr std::string_view CancelSuffix = "/cancel";
    std::string Id = Uri.getPath().substr(std::string(ResponsesPath).size());
    if (Id.starts_with('/'))
      Id.erase(0, 1);
    const bool IsCancel = Id.ends_with(CancelSuffix);
    if (IsCancel)
      Id.resize(Id.size() - CancelSuffix.size());
    const EngineResponsePtr Found = this->Engine.find(Id);
    if (!Found) {
      sendError(Response, 404, "not_found");
      return;
    }
    if (IsCancel) {
      this->Engine.cancel(Found);
      sendJson(Response, 200, R"({"id":")" + Id + R"(","status":"cancelled"})");
      return;
    }
    std::size_t Start = 0;
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      if (Name == "starting_after")
        Start = std::strtoull(Value.c_str(), nullptr, 10) + 1;
    const EngineFaults Faults = this->Engine.faults();
    EngineStreamWriter(this->Engine, Found,
                       Faults.OnResume ? Faults : EngineFaults{}, this->Cookie)
        .write(Request, Response, Start);
  }

  void listModels(HTTPServerResponse &Response) {
    std::string List;
    for (const std::string &Name : this->Engine.loadedModels())
      List += (List.empty() ? "" : ",") + std::string(R"({"object":"model",)") +
              R"("id":)" + Poco::toJSON(Name) + "}";
    sendJson(Response, 200, R"({"object":"list","data":[)" + List + "]}");
  }

  void handleOrder(const std::string &Path, HTTPServerRequest &Request,
                   HTTPServerResponse &Response) {
    Poco::JSON::Parser Parser;
    const auto Body =
        Parser.parse(readBody(Request)).extract<Poco::JSON::Object::Ptr>();
    const int Status = this->Engine.executeOrder(
        Path, Body->optValue<std::string>("lora_name", ""),
        std::strtoull(Request.get(FencingHeader, "0").c_str(), nullptr, 10));
    if (this->Engine.faults().LoseAnswer)
      shutDownConnection(Request, Response);
    else if (Status == 200)
      sendText(Response, Status, "text/plain", "Success");
    else
      sendError(Response, Status,
                Status == 409 ? "stale_fencing_number" : "not_found");
  }

  void handleControl(const std::string &Path, HTTPServerRequest &Request,
                     HTTPServerResponse &Response) {
    if (Path == "/standin/executions")
      sendJson(Response, 200,
               R"({"by_identity":)" + countsAsJson(this->Engine.executions()) +
                   R"(,"by_key":)" +
                   countsAsJson(this->Engine.executionsByKey()) +
                   R"(,"arrivals":)" + std::to_string(this->Engine.arrivals()) +
                   "}");
    else if (Path == "/standin/faults")
      this->setFaults(readBody(Request), Response);
    else if (Path == "/standin/silence")
      this->silenceConnections(Response);
    else
      sendError(Response, 404, "not_found");
  }

  void setFaults(const std::string &Json, HTTPServerResponse &Response) {
    this->Engine.setFaults(readFaults(Json));
    sendJson(Response, 200, "{}");
  }

  void silenceConnections(HTTPServerResponse &Response) {
    this->Engine.silenceConnections();
    sendJson(Response, 200, "{}");
  }

  EngineStandIn &Engine;
  std::uint64_t Cookie = 0;
};

} // namespace

Poco::Net::HTTPRequestHandler *EngineHandlerFactory::createRequestHandler(
    const Poco::Net::HTTPServerRequest &) {
  return new EngineHandler(this->Engine);
}

} // namespace parsleywing::standin
