#ifndef PARSLEYWING_CALLER_RESPONSEFORWARDER_H
#define PARSLEYWING_CALLER_RESPONSEFORWARDER_H

#include "Backend/PlainServiceClient.h"
#include "Caller/Exchange.h"
#include "Decision/Request/RequestTypes.h"

#include <ostream>

namespace parsleywing {

/// Forwards the response of a plain service or of another router unchanged. A
/// short response with a Content-Length is buffered until it is complete, so
/// that its head can state the outcome and a truncated one can be replaced by
/// that of another attempt. All other responses are forwarded as they arrive.
class ResponseForwarder {
public:
  explicit ResponseForwarder(Exchange &X) : E(X) {}

  /// Maximum size of a buffered response in bytes.
  static constexpr std::uint64_t MaxBufferedBytes = 64 << 10;

  /// Starts a response with its head and discards a buffered earlier one.
  /// Returns false if the caller has disconnected.
  bool forwardHead(int Status, const HeaderList &Headers);

  /// Forwards or buffers a chunk of the body. Returns false if the caller has
  /// disconnected.
  bool forwardBody(std::string_view Chunk);

  /// Discards a buffered response before another attempt.
  void discardBuffered() {
    if (!this->Out)
      this->Status = 0;
  }

  /// Whether there is a response, buffered or already being sent.
  bool hasResponse() const { return this->Status != 0; }

  /// Whether part of the response has been sent, so that it can no longer be
  /// replaced.
  bool hasStarted() const { return this->Out != nullptr; }

  /// Finishes a complete response.
  void complete(AttemptNumber Attempts);

  /// Ends the connection so that the caller can detect the truncation: before
  /// the end that the head announced, or with a reset if it announced none.
  void abortResponse();

private:
  void start();

  Exchange &E;
  int Status = 0;
  HeaderList Headers;
  std::string BufferedBody;
  std::ostream *Out = nullptr;
};

} // namespace parsleywing

#endif
