#ifndef PARSLEYWING_HTTP_BODYDECODER_H
#define PARSLEYWING_HTTP_BODYDECODER_H

#include "Http/HttpHead.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleywing {

/// How the end of a body is determined (RFC 9112, 6.3).
enum class BodyFraming { None, ContentLength, Chunked, CloseDelimited };

/// The body length that a head specifies.
struct BodyLength {
  BodyFraming Framing = BodyFraming::None;
  std::uint64_t ContentLength = 0;
};

/// Determines the body length of a request. Fails if the head contains two
/// lengths, or a length and a transfer encoding: the next recipient could
/// assume another end of the body and run the rest as a request that nobody
/// sent (request smuggling).
Result<BodyLength> requestBodyLength(const HttpHead &Head);

/// Determines the body length of a response to a request with this method.
Result<BodyLength> responseBodyLength(const HttpHead &Head,
                                      std::string_view Method);

/// Incrementally decodes a body from the bytes of a connection.
class BodyDecoder {
public:
  explicit BodyDecoder(BodyLength Length = {});

  /// Decodes `Input` and appends the payload to `Output`. Returns the number of
  /// bytes consumed; bytes after the end of the body are not consumed.
  std::size_t feed(std::string_view Input, std::string &Output);

  /// Whether the body is complete. Never true for a close-delimited body.
  bool complete() const { return this->Current == State::Done; }
  /// The memory of what is kept between two calls of `feed`.
  std::size_t heapBytes() const { return this->Line.capacity(); }
  bool malformed() const { return this->Current == State::Malformed; }
  bool isCloseDelimited() const {
    return this->Expected.Framing == BodyFraming::CloseDelimited;
  }

private:
  enum class State {
    Payload,
    ChunkSize,
    ChunkEnd,
    Trailer,
    Done,
    Malformed,
  };

  std::size_t consumePayload(std::string_view Input, std::string &Output);
  /// Collects a line of the chunked framing. Returns true once it is complete.
  bool consumeLine(std::string_view Input, std::size_t &Consumed);
  void processLine();

  BodyLength Expected;
  State Current = State::Done;
  std::uint64_t RemainingBytes = 0;
  std::size_t TrailerBytes = 0;
  std::string Line;
};

} // namespace parsleywing

#endif
