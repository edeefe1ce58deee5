#ifndef PARSLEYWING_HTTP_BODYDECODER_H
#define PARSLEYWING_HTTP_BODYDECODER_H

#include "Http/HttpHead.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleywing {

/// How the end of a body is told.
enum class BodyFraming { None, ContentLength, Chunked, CloseDelimited };

/// What a head says of the body behind it.
struct BodyLength {
  BodyFraming Framing = BodyFraming::None;
  std::uint64_t ContentLength = 0;
};

/// The body behind a request. Fails where the head states two lengths, or a
/// length and chunks: the next party could take another end than this one, and
/// would run the rest as a request that nobody sent.
Result<BodyLength> requestBodyLength(const HttpHead &Head);

/// The body behind a response to a request of this method.
Result<BodyLength> responseBodyLength(const HttpHead &Head,
                                      std::string_view Method);

/// Takes a body out of the bytes of a connection, as they come.
class BodyDecoder {
public:
  explicit BodyDecoder(BodyLength P = {});

  /// Appends the payload in `In` to `Out`. Returns the bytes used; those
  /// behind the end of the body are left.
  std::size_t feed(std::string_view In, std::string &Out);

  /// The whole body has come. Never so for a body that ends with its
  /// connection.
  bool complete() const { return this->Current == State::Done; }
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

  std::size_t consumePayload(std::string_view In, std::string &Out);
  /// Collects a line of the chunk framing; true once it is whole.
  bool consumeLine(std::string_view In, std::size_t &Used);
  void processLine();

  BodyLength Expected;
  State Current = State::Done;
  std::uint64_t RemainingBytes = 0;
  std::string Line;
};

} // namespace parsleywing

#endif
