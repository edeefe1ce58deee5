#include "Caller/Exchange.h"

namespace parsleywing {

void Exchange::finishHeaders() {
  // After a body that was not read completely, the start of the next request
  // cannot be determined.
  if (!this->BodyRead || this->Context.Draining)
    this->Response.setKeepAlive(false);
}

void Exchange::sendProblem(const Problem &P) {
  this->Context.Counters.countProblem(P.Type);
  this->Context.Counters.countOutcome(P.Outcome);
  setProblemHeaders(this->Response, P);
  this->finishHeaders();
  const std::string Body = documentOf(P, this->Identity);
  this->Response.sendBuffer(Body.data(), Body.size());
}

void Exchange::sendDocument(const std::string &Json) {
  this->Response.setContentType("application/json");
  this->Response.set("X-Outcome", "completed");
  this->finishHeaders();
  this->Response.sendBuffer(Json.data(), Json.size());
}

} // namespace parsleywing
