#include "Backend/EngineClient.h"

#include "Backend/EventStreamReader.h"
#include "Runtime/Log.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <sstream>

namespace parsleywing {

namespace {

constexpr const char *ResponsesPath = "/v1/responses";
constexpr const char *DeltaEvent = "response.output_text.delta";
constexpr const char *CompletedEvent = "response.completed";

Poco::Timespan toTimespan(Duration D) { return Poco::Timespan(D.count()); }

std::string bodyOf(const EngineCall &Call) {
  Poco::JSON::Object Metadata;
  Metadata.set("identity", Call.Identity);
  Poco::JSON::Object Body;
  Body.set("model", Call.Model);
  Body.set("input", Call.Input);
  Body.set("max_output_tokens", Call.MaxOutputTokens);
  Body.set("stream", true);
  Body.set("metadata", Metadata);
  std::ostringstream Out;
  Body.stringify(Out);
  return Out.str();
}

std::uint64_t usageOf(const Poco::JSON::Object &Completed) {
  const auto Response = Completed.getObject("response");
  if (!Response)
    return 0;
  const auto Usage = Response->getObject("usage");
  return Usage ? Usage->optValue<Poco::UInt64>("output_tokens", 0) : 0;
}

EngineResult readAnswer(std::istream &In, const EngineListener &Listener) {
  EventStreamReader Reader(In);
  EngineResult Broken{AttemptOutcome::Interrupted, 0};
  while (auto Event = Reader.next()) {
    Poco::JSON::Parser Parser;
    const auto Data =
        Parser.parse(Event->Data).extract<Poco::JSON::Object::Ptr>();
    if (Event->Name == DeltaEvent) {
      ++Broken.Tokens;
      if (!Listener.Delta(Data->getValue<std::string>("delta"), Broken.Tokens))
        return {AttemptOutcome::CallerLeft, Broken.Tokens};
    } else if (Event->Name == CompletedEvent) {
      return {AttemptOutcome::Completed, usageOf(*Data)};
    }
  }
  return Broken;
}

} // namespace

EngineResult runEngineCall(const EngineCall &Call,
                           const EngineListener &Listener) {
  bool MayHaveLeft = false;
  try {
    Poco::Net::HTTPClientSession Session{
        Poco::Net::SocketAddress(Call.Address)};
    Session.setTimeout(toTimespan(Call.SilenceLimit));
    const std::string Body = bodyOf(Call);
    Poco::Net::HTTPRequest Request(Poco::Net::HTTPRequest::HTTP_POST,
                                   ResponsesPath,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.setContentType("application/json");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    std::ostream &Out = Session.sendRequest(Request);
    MayHaveLeft = true;
    Listener.Sent();
    Out << Body;
    Poco::Net::HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
      return {AttemptOutcome::Rejected, 0};
    return readAnswer(In, Listener);
  } catch (const Poco::Exception &Failure) {
    log(LogPart::Backend, LogLevel::Warn,
        "Attempt at " + Call.Address + " broke: " + Failure.displayText());
    return {MayHaveLeft ? AttemptOutcome::Interrupted : AttemptOutcome::NotSent,
            0};
  }
}

} // namespace parsleywing
