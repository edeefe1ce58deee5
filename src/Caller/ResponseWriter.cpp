#include "Caller/ResponseWriter.h"

#include <Poco/JSONString.h>

namespace parsleywing {

namespace {

/// A member of a JSON object, with a comma before it.
std::string member(std::string_view Name, std::string_view Value) {
  return ",\"" + std::string(Name) + "\":" + Poco::toJSON(std::string(Value));
}

std::string member(std::string_view Name, std::uint64_t Value) {
  return ",\"" + std::string(Name) + "\":" + std::to_string(Value);
}

} // namespace

bool ResponseWriter::writeDelta(const std::string &Text) {
  if (!this->Stream) {
    this->Whole += Text;
    return true;
  }
  if (!this->Out)
    this->begin();
  return this->event("response.output_text.delta", member("delta", Text));
}

void ResponseWriter::complete(std::uint64_t Tokens, AttemptNumber Attempts) {
  std::string Final =
      this->finalObject("completed", "completed", "served", Tokens, Attempts);
  if (this->Stream) {
    if (!this->Out)
      this->begin();
    this->finalEvent("response.completed", Final);
    return;
  }
  Final.pop_back();
  Final += member("output_text", this->Whole) + "}";
  this->E.Response.set("X-Attempts", std::to_string(Attempts));
  this->E.sendDocument(Final);
}

void ResponseWriter::fail(const FinishRequest &Answer, std::uint64_t Tokens,
                          AttemptNumber Attempts) {
  if (!this->Out) {
    this->E.Response.set("X-Attempts", std::to_string(Attempts));
    this->E.sendProblem(problemOf(Answer));
    return;
  }
  this->finalEvent(
      "response.incomplete",
      this->finalObject(
          "incomplete", nameOf(RequestOutcomeNames, Answer.Outcome),
          nameOf(ResponseReasonNames, Answer.Reason), Tokens, Attempts));
}

void ResponseWriter::finalEvent(std::string_view Name,
                                const std::string &Final) {
  // The last chunk follows as the response is destroyed.
  this->E.SocketImpl.setMoreFollows(true);
  this->event(Name, ",\"response\":" + Final);
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

void ResponseWriter::begin() {
  this->E.Response.setContentType("text/event-stream");
  this->E.Response.set("Cache-Control", "no-store");
  this->E.Response.setChunkedTransferEncoding(true);
  this->E.finishHeaders();
  // The first piece of the answer follows at once.
  this->E.SocketImpl.setMoreFollows(true);
  this->Out = &this->E.Response.send();
  this->event("response.created", ",\"response\":{\"object\":\"response\"" +
                                      member("id", this->E.Identity) +
                                      member("status", "in_progress") + "}");
  this->E.SocketImpl.setMoreFollows(false);
}

bool ResponseWriter::event(std::string_view Name, std::string_view Fields) {
  *this->Out << "event: " << Name << "\ndata: {\"type\":\"" << Name
             << "\",\"sequence_number\":" << this->Sequence++ << Fields
             << "}\n\n";
  this->Out->flush();
  return this->Out->good();
}

} // namespace parsleywing
