#ifndef PARSLEYWING_BENCH_LOADRESPONSEREADER_H
#define PARSLEYWING_BENCH_LOADRESPONSEREADER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleywing::bench {

/// Parses one HTTP response incrementally as bytes arrive and checks a streamed
/// one: its tokens must be "t0 t1 ..." in order and its sequence numbers
/// without gaps. Searches only for the fields it needs, so that one thread can
/// read a thousand streams.
class LoadResponseReader {
public:
  void feed(std::string_view Bytes);

  int status() const { return this->Status; }

  /// The number of tokens received so far.
  std::uint64_t tokens() const { return this->Tokens; }

  /// The number of tokens that the final event reports.
  std::uint64_t reportedTokens() const { return this->ReportedTokens; }

  /// Whether the final event of a stream has been received.
  bool completed() const { return this->Completed; }

  /// Whether the last byte of the response is known to have been received.
  bool ended() const { return this->Ended; }

  /// Whether a token or a sequence number was out of order.
  bool isOutOfOrder() const { return this->OutOfOrder; }

  /// The outcome that the router reports, such as `completed` or `not-run`;
  /// empty if there is none yet.
  const std::string &outcome() const { return this->Outcome; }

  /// The identity that the router gave the request; empty if none.
  const std::string &requestId() const { return this->RequestId; }

  /// The value of Retry-After in seconds; zero if there is none.
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
  std::uint64_t ReportedTokens = 0;
  std::int64_t LastSequence = -1;
  bool Completed = false;
  bool Ended = false;
  bool OutOfOrder = false;
  std::string Outcome;
  std::string RequestId;
  unsigned RetryAfterSeconds = 0;
};

} // namespace parsleywing::bench

#endif
