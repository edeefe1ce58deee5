#ifndef PARSLEYWING_CALLER_PROBLEM_H
#define PARSLEYWING_CALLER_PROBLEM_H

#include "Decision/Actions.h"

#include <Poco/Net/HTTPServerResponse.h>
#include <string>

namespace parsleywing {

/// An error answer in the form of RFC 9457.
struct Problem {
  Poco::Net::HTTPResponse::HTTPStatus Status;
  std::string Title;
  std::string Detail;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  /// When to come back; zero where coming back is of no use.
  Duration RetryAfter = Duration::zero();
};

/// Sends the problem as the whole answer. Nothing may have been sent before.
void sendProblem(Poco::Net::HTTPServerResponse &Response, const Problem &P);

/// The problem that tells a caller of a final answer other than completion.
Problem problemOf(const AnswerRequest &Answer);

} // namespace parsleywing

#endif
