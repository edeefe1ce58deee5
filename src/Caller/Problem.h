#ifndef PARSLEYWING_CALLER_PROBLEM_H
#define PARSLEYWING_CALLER_PROBLEM_H

#include "Decision/Actions.h"

#include <Poco/Net/HTTPResponse.h>
#include <string>

namespace parsleywing {

/// The types of error responses. Their names are part of the API and must not
/// change: `urn:parsleywing:problem:NAME`.
enum class ProblemType {
  InvalidRequest,
  InvalidBody,
  InvalidHeader,
  UnknownKey,
  ServiceNotAllowed,
  NotFound,
  MethodNotAllowed,
  LengthRequired,
  BodyTooLarge,
  UriTooLong,
  HeadersTooLarge,
  ReceiveTimeout,
  AccountLimit,
  ConnectionLimit,
  Draining,
  Overloaded,
  NoServer,
  ServerFailed,
  DeadlinePassed,
  AlreadyRun,
  RecordUnavailable,
  CallerDisconnected,
  CrashesServers,
};

inline constexpr EnumNames<ProblemType, 23> ProblemTypeNames{{
    {ProblemType::InvalidRequest, "invalid-request"},
    {ProblemType::InvalidBody, "invalid-body"},
    {ProblemType::InvalidHeader, "invalid-header"},
    {ProblemType::UnknownKey, "unknown-key"},
    {ProblemType::ServiceNotAllowed, "service-not-allowed"},
    {ProblemType::NotFound, "not-found"},
    {ProblemType::MethodNotAllowed, "method-not-allowed"},
    {ProblemType::LengthRequired, "length-required"},
    {ProblemType::BodyTooLarge, "body-too-large"},
    {ProblemType::UriTooLong, "uri-too-long"},
    {ProblemType::HeadersTooLarge, "headers-too-large"},
    {ProblemType::ReceiveTimeout, "receive-timeout"},
    {ProblemType::AccountLimit, "account-limit"},
    {ProblemType::ConnectionLimit, "connection-limit"},
    {ProblemType::Draining, "draining"},
    {ProblemType::Overloaded, "overloaded"},
    {ProblemType::NoServer, "no-server"},
    {ProblemType::ServerFailed, "server-failed"},
    {ProblemType::DeadlinePassed, "deadline-passed"},
    {ProblemType::AlreadyRun, "already-run"},
    {ProblemType::RecordUnavailable, "record-unavailable"},
    {ProblemType::CallerDisconnected, "caller-left"},
    {ProblemType::CrashesServers, "crashes-servers"},
}};

/// An error response as defined by RFC 9457 (Problem Details for HTTP APIs).
struct Problem {
  ProblemType Type;
  /// One human-readable sentence that explains this occurrence.
  std::string Detail;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  /// Value of `Retry-After`; zero if a retry would not help.
  Duration RetryAfter = Duration::zero();
};

/// Returns the HTTP status code of a problem.
Poco::Net::HTTPResponse::HTTPStatus statusOf(const Problem &P);

/// Returns the `application/problem+json` document.
std::string documentOf(const Problem &P, const std::string &Identity);

/// Sets the status and headers of an error response, without its body.
void setProblemHeaders(Poco::Net::HTTPResponse &Response, const Problem &P);

/// Returns the problem that reports the end of a request that got no complete
/// response.
Problem problemOf(const FinishRequest &Finish);

} // namespace parsleywing

#endif
