#ifndef PARSLEYWING_CALLER_RESPONSEWRITER_H
#define PARSLEYWING_CALLER_RESPONSEWRITER_H

#include "Caller/Exchange.h"

#include <ostream>

namespace parsleywing {

/// Writes the response to one engine request, either as server-sent events or
/// as a single JSON document. Used only by the connection's thread.
class ResponseWriter {
public:
  ResponseWriter(Exchange &X, bool S) : E(X), Streaming(S) {}

  /// Whether the event stream has started, so that the status code can no
  /// longer change.
  bool started() const { return this->Out != nullptr; }

  /// Sends or collects a chunk of text. Returns false if the caller has
  /// disconnected or has accepted no byte for `SendTimeout`.
  bool writeDelta(const std::string &Text);

  /// Finishes a complete response.
  void complete(std::uint64_t Tokens, AttemptNumber Attempts);

  /// Finishes an incomplete response: with a problem document if nothing has
  /// been sent yet, otherwise with the final event `response.incomplete`.
  void fail(const FinishRequest &Finish, std::uint64_t Tokens,
            AttemptNumber Attempts);

private:
  std::string finalObject(std::string_view Status, std::string_view Outcome,
                          std::string_view Reason, std::uint64_t Tokens,
                          AttemptNumber Attempts) const;
  void start();
  void writeFinalEvent(std::string_view Name, const std::string &Document);
  bool writeEvent(std::string_view Name, std::string_view Fields);

  Exchange &E;
  bool Streaming;
  std::string CollectedText;
  std::ostream *Out = nullptr;
  std::uint64_t Sequence = 0;
};

} // namespace parsleywing

#endif
