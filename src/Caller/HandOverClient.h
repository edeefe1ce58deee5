#ifndef PARSLEYWING_CALLER_HANDOVERCLIENT_H
#define PARSLEYWING_CALLER_HANDOVERCLIENT_H

#include "Caller/CallerRequest.h"
#include "Caller/ResponseForwarder.h"
#include "Decision/Actions.h"

#include <functional>

namespace parsleywing {

/// Hands a request over to another router and streams that router's response to
/// the caller. Forwards only a response that carries the identity of this
/// hand-over. A response that says that the request did not run, or may have
/// run, is not forwarded: this router decides how to continue.
class HandOverClient {
public:
  HandOverClient(Exchange &X, const CallerRequest &R, ResponseForwarder &F)
      : E(X), Request(R), Forwarder(F) {}

  /// Blocks until the other router's response has ended. `TimeLeft` is the time
  /// until the request's deadline. `Progress` is called before each forwarded
  /// chunk; it returns false to stop.
  AttemptOutcome
  run(const HandOverRequest &HandOver, Duration TimeLeft,
      const std::function<void(std::function<void()>)> &SetCanceller,
      const std::function<bool()> &Progress);

  /// Whether the forwarded response itself told the caller that it is
  /// incomplete.
  bool reportedIncomplete() const { return this->Incomplete; }

private:
  PlainCall makeCall(const HandOverRequest &HandOver, Duration TimeLeft) const;
  bool onHead(int Status, const HeaderList &Headers);
  bool onBody(std::string_view Chunk);
  AttemptOutcome streamOutcome();

  Exchange &E;
  const CallerRequest &Request;
  ResponseForwarder &Forwarder;
  std::string Identity;
  AttemptOutcome ReportedOutcome = AttemptOutcome::Interrupted;
  bool Forwarding = false;
  bool IsEventStream = false;
  bool Incomplete = false;
  /// The last bytes of a stream, which contain its last event.
  std::string StreamTail;
};

} // namespace parsleywing

#endif
