#ifndef PARSLEYWING_BENCH_LOADANSWERREADER_H
#define PARSLEYWING_BENCH_LOADANSWERREADER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleywing::bench {

/// Reads one HTTP answer piece by piece as bytes arrive, and checks a streamed
/// one: its tokens must be "t0 t1 ..." in order and its sequence numbers
/// without holes. Looks only for the fields it needs, so that one thread can
/// read a thousand streams.
class LoadAnswerReader {
public:
  void feed(std::string_view Bytes);

  int status() const { return this->Status; }

  /// Tokens received so far.
  std::uint64_t tokens() const { return this->Tokens; }

  /// Tokens that the final event names.
  std::uint64_t statedTokens() const { return this->StatedTokens; }

  /// True once the final event of a stream has come.
  bool completed() const { return this->Completed; }

  /// True once the last byte of the answer is known to have come.
  bool ended() const { return this->Ended; }

  /// True where a token or a sequence number was out of order.
  bool disordered() const { return this->Disordered; }

  /// `completed`, `not run` and so on as the router names it, or empty where
  /// it has not said.
  const std::string &outcome() const { return this->Outcome; }

  /// The identity that the router gave the request, or empty.
  const std::string &requestId() const { return this->RequestId; }

  /// The value of Retry-After in seconds; zero where there is none.
  unsigned retryAfterSeconds() const { return this->RetryAfterSeconds; }

private:
  bool readHeader();
  bool readChunk();
  void readBody(std::string_view Bytes);
  void readEvent(std::string_view Event);
  void readDelta(std::string_view Event);
  void checkSequence(std::string_view Event);
  std::string headerValue(std::string_view Name) const;

  std::string Pending;
  std::string Header;
  std::string Body;
  std::size_t BodyBytes = 0;
  std::size_t ContentLength = 0;
  bool InBody = false;
  bool Chunked = false;
  bool Stream = false;
  int Status = 0;
  std::uint64_t Tokens = 0;
  std::uint64_t StatedTokens = 0;
  std::int64_t LastSequence = -1;
  bool Completed = false;
  bool Ended = false;
  bool Disordered = false;
  std::string Outcome;
  std::string RequestId;
  unsigned RetryAfterSeconds = 0;
};

} // namespace parsleywing::bench

#endif
