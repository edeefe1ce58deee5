#ifndef PARSLEYWING_CALLER_PROBLEM_H
#define PARSLEYWING_CALLER_PROBLEM_H

#include "Decision/Actions.h"

#include <Poco/Net/HTTPResponse.h>
#include <string>

namespace parsleywing {

/// The kinds of error answers. Their names are part of the interface and never
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
};

inline constexpr EnumNames<ProblemType, 22> ProblemTypeNames{{
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
}};

/// An error answer in the form of RFC 9457.
struct Problem {
  ProblemType Type;
  /// One sentence for a person, on this occurrence.
  std::string Detail;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  /// When to come back; zero where coming back is of no use.
  Duration RetryAfter = Duration::zero();
};

/// The status code that goes with the problem.
Poco::Net::HTTPResponse::HTTPStatus statusOf(const Problem &P);

/// The `application/problem+json` document.
std::string documentOf(const Problem &P, const std::string &Identity);

/// Sets the status and headers of the error answer, without its body.
void setProblemHeaders(Poco::Net::HTTPResponse &Response, const Problem &P);

/// The problem that tells a caller of a final answer other than completion.
Problem problemOf(const FinishRequest &Answer);

} // namespace parsleywing

#endif
