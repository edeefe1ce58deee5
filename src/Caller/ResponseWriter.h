#ifndef PARSLEYWING_CALLER_RESPONSEWRITER_H
#define PARSLEYWING_CALLER_RESPONSEWRITER_H

#include "Caller/Exchange.h"

#include <ostream>

namespace parsleywing {

/// Writes the answer of one request: as server-sent events, or collected into
/// one JSON document. Used by the thread of the connection only.
class ResponseWriter {
public:
  ResponseWriter(Exchange &X, bool S) : E(X), Stream(S) {}

  /// Whether events have been sent, so that the status can no longer change.
  bool started() const { return this->Out != nullptr; }

  /// Passes a piece of text on. False where the caller is gone or has taken no
  /// byte for the time of `SendTimeout`.
  bool writeDelta(const std::string &Text);

  /// The answer is whole.
  void complete(std::uint64_t Tokens, AttemptNumber Attempts);

  /// The answer ends without being whole: as a problem where nothing has been
  /// sent yet, else as the final event `response.incomplete`.
  void fail(const FinishRequest &Answer, std::uint64_t Tokens,
            AttemptNumber Attempts);

private:
  std::string finalObject(std::string_view Status, std::string_view Outcome,
                          std::string_view Reason, std::uint64_t Tokens,
                          AttemptNumber Attempts) const;
  void begin();
  void finalEvent(std::string_view Name, const std::string &Final);
  bool event(std::string_view Name, std::string_view Fields);

  Exchange &E;
  bool Stream;
  std::string Whole;
  std::ostream *Out = nullptr;
  std::uint64_t Sequence = 0;
};

} // namespace parsleywing

#endif
