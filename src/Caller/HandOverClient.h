#ifndef PARSLEYWING_CALLER_HANDOVERCLIENT_H
#define PARSLEYWING_CALLER_HANDOVERCLIENT_H

#include "Caller/CallerRequest.h"
#include "Caller/ResponseForwarder.h"
#include "Decision/Actions.h"

#include <functional>

namespace parsleywing {

/// Acts as a caller of another router and passes that router's answer on, piece
/// by piece, to the own caller. Only an answer that carries the identity of
/// this hand-over is passed on. One that says that the request did not run, or
/// may have run, is not: the decision what follows stays with this router.
class HandOverClient {
public:
  HandOverClient(Exchange &X, const CallerRequest &A, ResponseForwarder &P)
      : E(X), Asked(A), Passed(P) {}

  /// Blocks until the other router's answer has ended. `Left` is the time until
  /// the request's deadline. `Progress` is called with each piece passed on.
  AttemptOutcome run(const HandOverRequest &Wanted, Duration Left,
                     const std::function<void(std::function<void()>)> &Breaker,
                     const std::function<bool()> &Progress);

  /// Whether the answer passed on has told the caller itself that it is not
  /// whole.
  bool reportedIncomplete() const { return this->Incomplete; }

private:
  PlainCall callFor(const HandOverRequest &Wanted, Duration Left) const;
  bool takeHead(int Status, const HeaderList &Headers);
  bool takeBody(std::string_view Piece);
  AttemptOutcome concludeStream();

  Exchange &E;
  const CallerRequest &Asked;
  ResponseForwarder &Passed;
  std::string Identity;
  AttemptOutcome Said = AttemptOutcome::Interrupted;
  bool PassOn = false;
  bool IsEventStream = false;
  bool Incomplete = false;
  /// The last bytes of a stream, in which its last event stands.
  std::string Tail;
};

} // namespace parsleywing

#endif
