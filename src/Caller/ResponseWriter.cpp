#include "Caller/ResponseWriter.h"

#include <Poco/JSONString.h>

namespace parsleywing {

namespace {

/// Formats a member of a JSON object with a leading comma.
std::string member(std::string_view Name, std::string_view Value) {
  return ",\"" + std::string(Name) + "\":" + Poco::toJSON(std::string(Value));
}

std::string member(std::string_view Name, std::uint64_t Value) {
  return ",\"" + std::string(Name) + "\":" + std::to_string(Value);
}

} // namespace

bool ResponseWriter::writeDelta(const std::string &Text) {
  if (!this->Streaming) {
    this->CollectedText += Text;
    return true;
  }
  if (!this->Out)
    this->start();
  return this->writeEvent("response.output_text.delta", member("delta", Text));
}

void ResponseWriter::complete(std::uint64_t Tokens, AttemptNumber Attempts) {
  std::string Document =
      this->finalObject("completed", "completed", "served", Tokens, Attempts);
  if (this->Streaming) {
    if (!this->Out)
      this->start();
    this->writeFinalEvent("response.completed", Document);
    return;
  }
  Document.pop_back();
  Document += member("output_text", this->CollectedText) + "}";
  this->E.Response.set("X-Attempts", std::to_string(Attempts));
  this->E.sendDocument(Document);
}

void ResponseWriter::fail(const FinishRequest &Finish, std::uint64_t Tokens,
                          AttemptNumber Attempts) {
  if (!this->Out) {
    this->E.Response.set("X-Attempts", std::to_string(Attempts));
    this->E.sendProblem(problemOf(Finish));
    return;
  }
  this->writeFinalEvent(
      "response.incomplete",
      this->finalObject(
          "incomplete", nameOf(RequestOutcomeNames, Finish.Outcome),
          nameOf(ResponseReasonNames, Finish.Reason), Tokens, Attempts));
}

void ResponseWriter::writeFinalEvent(std::string_view Name,
                                     const std::string &Document) {
  // Hold the event back for the last chunk, which POCO sends when the response
  // is destroyed.
  this->E.SocketImpl.setMoreFollows(true);
  this->writeEvent(Name, ",\"response\":" + Document);
  this->E.SocketImpl.setMoreFollows(false);
}

std::string ResponseWriter::finalObject(std::string_view Status,
                                        std::string_view Outcome,
                                        std::string_view Reason,
                                        std::uint64_t Tokens,
                                        AttemptNumber Attempts) const {
  return "{\"object\":\"response\"" + member("id", this->E.Identity) +
         member("status", Status) + member("outcome", Outcome) +
         member("reason", Reason) + member("attempts", Attempts) +
         ",\"usage\":{\"output_tokens\":" + std::to_string(Tokens) + "}}";
}

void ResponseWriter::start() {
  this->E.Response.setContentType("text/event-stream");
  this->E.Response.set("Cache-Control", "no-store");
  this->E.Response.setChunkedTransferEncoding(true);
  this->E.finishHeaders();
  // Hold the head and this event back for the first chunk of text, which
  // follows immediately.
  this->E.SocketImpl.setMoreFollows(true);
  this->Out = &this->E.Response.send();
  this->writeEvent("response.created",
                   ",\"response\":{\"object\":\"response\"" +
                       member("id", this->E.Identity) +
                       member("status", "in_progress") + "}");
  this->E.SocketImpl.setMoreFollows(false);
}

bool ResponseWriter::writeEvent(std::string_view Name,
                                std::string_view Fields) {
  *this->Out << "event: " << Name << "\ndata: {\"type\":\"" << Name
             << "\",\"sequence_number\":" << this->Sequence++ << Fields
             << "}\n\n";
  this->Out->flush();
  return this->Out->good();
}

} // namespace parsleywing
