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
constexpr std::string_view TokensMark = "tokens=";
constexpr std::uint64_t DefaultTokens = 16;

std::uint64_t tokensWanted(const std::string &Input) {
  const std::size_t Place = Input.find(TokensMark);
  if (Place == std::string::npos)
    return DefaultTokens;
  return std::strtoull(Input.c_str() + Place + TokensMark.size(), nullptr, 10);
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
      tokensWanted(Body->optValue<std::string>("input", "")),
      Body->optValue<Poco::UInt64>("max_output_tokens", DefaultTokens));
  return Response;
}

class EngineHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit EngineHandler(EngineStandIn &E) : Engine(E) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    this->Cookie = cookieOf(Request);
    try {
      const Poco::URI Uri(Request.getURI());
      if (Uri.getPath().starts_with("/standin/"))
        this->control(Uri.getPath(), Request, Response);
      else if (this->passesFaults(Uri.getPath(), Request, Response))
        this->serve(Uri, Request, Response);
    } catch (const Poco::Exception &) {
      // The other side left, or sent what is not JSON.
      Response.setKeepAlive(false);
    }
  }

private:
  /// Faults that decide before the request is looked at.
  bool passesFaults(const std::string &Path, HTTPServerRequest &Request,
                    HTTPServerResponse &Response) {
    const EngineFaults Faults = this->Engine.faults();
    const bool Silent = Faults.Silent || this->Engine.isSilenced(this->Cookie);
    if (Silent)
      this->Engine.waitWhile([&] { return peerIsThere(Request); });
    if (Silent || Faults.Close) {
      cutConnection(Request, Response);
      return false;
    }
    if (Faults.DelayMs > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Faults.DelayMs));
    if (Faults.Leaving && Request.getMethod() == "POST" &&
        Path == ResponsesPath)
      Response.set("X-Draining", "true");
    return !this->refuses(Faults, Path, Request, Response);
  }

  bool refuses(const EngineFaults &Faults, const std::string &Path,
               HTTPServerRequest &Request, HTTPServerResponse &Response) {
    const bool NewWork = Path == ResponsesPath && Request.getMethod() == "POST";
    if (Faults.Leaving && (NewWork || Path == "/metrics"))
      sendError(Response, 503, "draining");
    else if (Faults.Refuse && NewWork)
      sendError(Response, 503, "overloaded");
    else if (Faults.BareRefuse && NewWork)
      sendJson(Response, 503, "");
    else if (Faults.Reject && NewWork)
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
      this->models(Response);
    else if (Path.ends_with("load_lora_adapter"))
      this->order(Path, Request, Response);
    else if (Path == ResponsesPath && Request.getMethod() == "POST")
      this->create(Request, Response);
    else if (Path.starts_with(ResponsesPath))
      this->existing(Uri, Request, Response);
    else
      sendError(Response, 404, "not_found");
  }

  void create(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    const EngineFaults Faults = this->Engine.faults();
    const std::string Body = readAll(Request);
    EngineResponsePtr Made;
    try {
      Made = readRequest(Body, Faults);
    } catch (const Poco::Exception &) {
      sendError(Response, 400, "invalid_request_error");
      return;
    }
    this->Engine.submit(Made);
    if (!Faults.CrashOn.empty() &&
        Body.find(Faults.CrashOn) != std::string::npos) {
      this->Engine.crash(std::chrono::milliseconds(Faults.BackAfterMs));
      cutConnection(Request, Response);
      return;
    }
    if (Faults.LoseAnswer) {
      cutConnection(Request, Response);
      return;
    }
    EngineStreamWriter(this->Engine, Made, Faults, this->Cookie)
        .write(Request, Response, 0);
  }

  /// `GET /v1/responses/{id}?stream=true&starting_after=N` and
  /// `POST /v1/responses/{id}/cancel`.
  void existing(const Poco::URI &Uri, HTTPServerRequest &Request,
                HTTPServerResponse &Response) {
    constexpr std::string_view CancelEnd = "/cancel";
    std::string Id = Uri.getPath().substr(std::string(ResponsesPath).size());
    if (Id.starts_with('/'))
      Id.erase(0, 1);
    const bool Cancel = Id.ends_with(CancelEnd);
    if (Cancel)
      Id.resize(Id.size() - CancelEnd.size());
    const EngineResponsePtr Found = this->Engine.find(Id);
    if (!Found) {
      sendError(Response, 404, "not_found");
      return;
    }
    if (Cancel) {
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

  void models(HTTPServerResponse &Response) {
    std::string List;
    for (const std::string &Name : this->Engine.loadedModels())
      List += (List.empty() ? "" : ",") + std::string(R"({"object":"model",)") +
              R"("id":)" + Poco::toJSON(Name) + "}";
    sendJson(Response, 200, R"({"object":"list","data":[)" + List + "]}");
  }

  void order(const std::string &Path, HTTPServerRequest &Request,
             HTTPServerResponse &Response) {
    Poco::JSON::Parser Parser;
    const auto Body =
        Parser.parse(readAll(Request)).extract<Poco::JSON::Object::Ptr>();
    const int Status = this->Engine.obey(
        Path, Body->optValue<std::string>("lora_name", ""),
        std::strtoull(Request.get(FencingHeader, "0").c_str(), nullptr, 10));
    if (this->Engine.faults().LoseAnswer)
      cutConnection(Request, Response);
    else if (Status == 200)
      sendText(Response, Status, "text/plain", "Success");
    else
      sendError(Response, Status,
                Status == 409 ? "stale_fencing_number" : "not_found");
  }

  void control(const std::string &Path, HTTPServerRequest &Request,
               HTTPServerResponse &Response) {
    if (Path == "/standin/executions")
      sendJson(Response, 200,
               R"({"by_identity":)" + countsAsJson(this->Engine.executions()) +
                   R"(,"by_key":)" +
                   countsAsJson(this->Engine.executionsByKey()) + "}");
    else if (Path == "/standin/faults")
      this->setFaults(readAll(Request), Response);
    else if (Path == "/standin/silence")
      this->silence(Response);
    else
      sendError(Response, 404, "not_found");
  }

  void setFaults(const std::string &Json, HTTPServerResponse &Response) {
    this->Engine.setFaults(readFaults(Json));
    sendJson(Response, 200, "{}");
  }

  void silence(HTTPServerResponse &Response) {
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
