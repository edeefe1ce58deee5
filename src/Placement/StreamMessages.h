#ifndef PARSLEYWING_PLACEMENT_STREAMMESSAGES_H
#define PARSLEYWING_PLACEMENT_STREAMMESSAGES_H

#include "Placement/CorrelationId.h"
#include "Placement/SoftwareId.h"
#include "Placement/StreamKey.h"
#include "Runtime/EnumNames.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace parsleywing {

/// The software that a stream is bound to, as one router tells another.
struct StreamBinding {
  StreamKey Key;
  SoftwareId Software;
  /// How much longer a caller may take the stream up, in tenths of a second.
  std::uint16_t LifetimeTenths = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key.Value, this->Software.Value, this->LifetimeTenths);
  }
};

/// Tells a router that keeps copies to which software streams are bound.
struct StreamsBound {
  /// The largest number of bindings in one message.
  static constexpr std::size_t MaxBindings = 70;

  /// Not serialized: the message has no reply.
  CorrelationId Id;
  std::vector<StreamBinding> Bindings;

  template <class Archive> void serialize(Archive &Ar) {
    serializeCompactList(Ar, this->Bindings);
  }
};

/// Asks a router to which software a stream is bound.
struct StreamQuery {
  CorrelationId Id;
  StreamKey Key;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Key.Value);
  }
};

/// What a router knows of a stream.
enum class StreamLookupResult : std::uint8_t {
  Unknown,
  Known,
  /// Two streams of one account have the same key, so neither is known.
  Disputed,
};

inline constexpr EnumNames<StreamLookupResult, 3> StreamLookupResultNames{{
    {StreamLookupResult::Unknown, "unknown"},
    {StreamLookupResult::Known, "known"},
    {StreamLookupResult::Disputed, "disputed"},
}};

/// The reply to a `StreamQuery`.
struct StreamAnswer {
  /// As in the query.
  CorrelationId Id;
  /// The hash of the answering router's name.
  std::uint64_t Router = 0;
  StreamLookupResult Result = StreamLookupResult::Unknown;
  /// Set if `Result` is `Known`.
  SoftwareId Software{};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Router, this->Result, this->Software.Value);
  }
};

/// Sent by a router process that has just started: the receiver replies with
/// the bindings of which the sender is to keep copies.
struct StreamSyncRequest {
  /// Not serialized: the reply is a `StreamsBound`.
  CorrelationId Id;
  /// The hash of the sender's name.
  std::uint64_t Router = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Router); }
};

} // namespace parsleywing

#endif
