#ifndef PARSLEYWING_CALLER_RESPONSEFORWARDER_H
#define PARSLEYWING_CALLER_RESPONSEFORWARDER_H

#include "Backend/PlainServiceClient.h"
#include "Caller/Exchange.h"
#include "Decision/Request/RequestTypes.h"

#include <ostream>

namespace parsleywing {

/// Passes the answer of a plain service, or of another router, on unchanged.
/// A short answer of stated length is held until it is whole: it can then carry
/// its outcome in the head, and one that breaks can be replaced by another.
/// Every other answer is passed on as it comes.
class ResponseForwarder {
public:
  explicit ResponseForwarder(Exchange &X) : E(X) {}

  /// Longest answer that is held, in bytes.
  static constexpr std::uint64_t MaxBufferedBytes = 64 << 10;

  /// The head of an answer. What is held of an earlier one is thrown away.
  /// False where the caller is gone.
  bool forwardHead(int Status, const HeaderList &Headers);

  /// A piece of the body. False where the caller is gone.
  bool forwardBody(std::string_view Piece);

  /// Throws away what is held, before another attempt.
  void discardBuffered() {
    if (!this->Out)
      this->Status = 0;
  }

  /// Whether there is an answer, held or passed on.
  bool hasResponse() const { return this->Status != 0; }

  /// Whether part of it has left, so that nothing can replace it.
  bool hasStarted() const { return this->Out != nullptr; }

  /// The answer is whole.
  void complete(AttemptNumber Attempts);

  /// Ends the connection short of the end that the head has announced, or with
  /// a reset where it has announced none, which is how a caller sees that the
  /// answer is not whole.
  void abortResponse();

private:
  void begin();

  Exchange &E;
  int Status = 0;
  HeaderList Headers;
  std::string Held;
  std::ostream *Out = nullptr;
};

} // namespace parsleywing

#endif
