#include "Caller/Problem.h"

#include <Poco/JSON/Object.h>
#include <ostream>

namespace parsleywing {

using Poco::Net::HTTPResponse;

namespace {

HTTPResponse::HTTPStatus statusOf(const AnswerRequest &Answer) {
  switch (Answer.Reason) {
  case AnswerReason::AccountQueueFull:
    return HTTPResponse::HTTP_TOO_MANY_REQUESTS;
  case AnswerReason::DeadlinePassed:
    return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
  case AnswerReason::AlreadyRun:
    return HTTPResponse::HTTP_CONFLICT;
  default:
    return Answer.Outcome == RequestOutcome::Unknown
               ? HTTPResponse::HTTP_BAD_GATEWAY
               : HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
  }
}

/// Whole seconds, rounded up, as `Retry-After` wants them.
std::int64_t wholeSeconds(Duration D) {
  return std::chrono::ceil<std::chrono::seconds>(D).count();
}

} // namespace

void sendProblem(Poco::Net::HTTPServerResponse &Response, const Problem &P) {
  Poco::JSON::Object Body;
  Body.set("type", "about:blank");
  Body.set("title", P.Title);
  Body.set("status", static_cast<int>(P.Status));
  Body.set("detail", P.Detail);
  Body.set("outcome", std::string(nameOf(RequestOutcomeNames, P.Outcome)));
  Response.setStatusAndReason(P.Status);
  Response.setContentType("application/problem+json");
  Response.set("X-Outcome",
               std::string(nameOf(RequestOutcomeNames, P.Outcome)));
  if (P.RetryAfter > Duration::zero())
    Response.set("Retry-After", std::to_string(wholeSeconds(P.RetryAfter)));
  Body.stringify(Response.send());
}

Problem problemOf(const AnswerRequest &Answer) {
  const std::string Reason(nameOf(AnswerReasonNames, Answer.Reason));
  const std::string Detail = Answer.Outcome == RequestOutcome::NotRun
                                 ? "The request did not run."
                                 : "The request may have run.";
  return {statusOf(Answer), Reason, Detail, Answer.Outcome, Answer.RetryAfter};
}

} // namespace parsleywing
