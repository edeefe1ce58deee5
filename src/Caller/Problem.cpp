#include "Caller/Problem.h"

#include <Poco/JSON/Object.h>
#include <sstream>

namespace parsleywing {

using Poco::Net::HTTPResponse;

namespace {

/// Rounds up to whole seconds, as required for `Retry-After`.
std::int64_t wholeSeconds(Duration D) {
  return std::chrono::ceil<std::chrono::seconds>(D).count();
}

std::string_view sentenceFor(RequestOutcome Outcome) {
  switch (Outcome) {
  case RequestOutcome::Completed:
    return "An earlier request with this Idempotency-Key ran to its end";
  case RequestOutcome::NotRun:
    return "The request did not run";
  case RequestOutcome::Unknown:
    break;
  }
  return "The request may have run";
}

ProblemType typeOf(ResponseReason Reason) {
  switch (Reason) {
  case ResponseReason::DeadlinePassed:
    return ProblemType::DeadlinePassed;
  case ResponseReason::AccountQueueFull:
    return ProblemType::AccountLimit;
  case ResponseReason::RouterQueueFull:
  case ResponseReason::Overloaded:
  case ResponseReason::RetryBudgetSpent:
  case ResponseReason::ServersPaused:
    return ProblemType::Overloaded;
  case ResponseReason::NoServer:
    return ProblemType::NoServer;
  case ResponseReason::AlreadyRun:
    return ProblemType::AlreadyRun;
  case ResponseReason::RecordUnavailable:
    return ProblemType::RecordUnavailable;
  case ResponseReason::Draining:
    return ProblemType::Draining;
  case ResponseReason::CallerDisconnected:
    return ProblemType::CallerDisconnected;
  case ResponseReason::CrashesServers:
    return ProblemType::CrashesServers;
  default:
    return ProblemType::ServerFailed;
  }
}

} // namespace

HTTPResponse::HTTPStatus statusOf(const Problem &P) {
  switch (P.Type) {
  case ProblemType::InvalidRequest:
  case ProblemType::InvalidBody:
  case ProblemType::InvalidHeader:
    return HTTPResponse::HTTP_BAD_REQUEST;
  case ProblemType::UnknownKey:
    return HTTPResponse::HTTP_UNAUTHORIZED;
  case ProblemType::ServiceNotAllowed:
    return HTTPResponse::HTTP_FORBIDDEN;
  case ProblemType::NotFound:
    return HTTPResponse::HTTP_NOT_FOUND;
  case ProblemType::MethodNotAllowed:
    return HTTPResponse::HTTP_METHOD_NOT_ALLOWED;
  case ProblemType::LengthRequired:
    return HTTPResponse::HTTP_LENGTH_REQUIRED;
  case ProblemType::BodyTooLarge:
    return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
  case ProblemType::UriTooLong:
    return HTTPResponse::HTTP_REQUEST_URI_TOO_LONG;
  case ProblemType::HeadersTooLarge:
    return HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
  case ProblemType::ReceiveTimeout:
    return HTTPResponse::HTTP_REQUEST_TIMEOUT;
  case ProblemType::AccountLimit:
    return HTTPResponse::HTTP_TOO_MANY_REQUESTS;
  case ProblemType::DeadlinePassed:
    return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
  case ProblemType::AlreadyRun:
    return HTTPResponse::HTTP_CONFLICT;
  default:
    return P.Outcome == RequestOutcome::Unknown
               ? HTTPResponse::HTTP_BAD_GATEWAY
               : HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
  }
}

std::string documentOf(const Problem &P, const std::string &Identity) {
  const std::string Name(nameOf(ProblemTypeNames, P.Type));
  const HTTPResponse::HTTPStatus Status = statusOf(P);
  Poco::JSON::Object Body;
  Body.set("type", "urn:parsleywing:problem:" + Name);
  Body.set("title", HTTPResponse::getReasonForStatus(Status));
  Body.set("status", static_cast<int>(Status));
  Body.set("detail", P.Detail);
  Body.set("request_id", Identity);
  Body.set("outcome", std::string(nameOf(RequestOutcomeNames, P.Outcome)));
  std::ostringstream Out;
  Body.stringify(Out);
  return Out.str();
}

void setProblemHeaders(HTTPResponse &Response, const Problem &P) {
  Response.setStatusAndReason(statusOf(P));
  Response.setContentType("application/problem+json");
  Response.set("X-Outcome",
               std::string(nameOf(RequestOutcomeNames, P.Outcome)));
  if (P.RetryAfter > Duration::zero())
    Response.set("Retry-After", std::to_string(wholeSeconds(P.RetryAfter)));
}

Problem problemOf(const FinishRequest &Finish) {
  const std::string Reason(nameOf(ResponseReasonNames, Finish.Reason));
  return {typeOf(Finish.Reason),
          std::string(sentenceFor(Finish.Outcome)) + ": " + Reason + ".",
          Finish.Outcome, Finish.RetryAfter};
}

} // namespace parsleywing
