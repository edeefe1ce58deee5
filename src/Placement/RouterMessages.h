#ifndef PARSLEYWING_PLACEMENT_ROUTERMESSAGES_H
#define PARSLEYWING_PLACEMENT_ROUTERMESSAGES_H

#include "Crash/CrashRegistry.h"
#include "Crash/PartCrash.h"
#include "Placement/CorrelationId.h"
#include "Placement/HeadroomMessages.h"
#include "Placement/MessageFormat.h"
#include "Placement/ServerTable.h"
#include "Placement/StreamMessages.h"
#include "Runtime/Id.h"
#include "Runtime/Result.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace parsleywing {

/// Asks the allocator of a group of servers for one that can run a request.
/// Routers identify accounts, zones and servers to each other by the hashes of
/// their names (`hashName`).
struct AllocationRequest {
  CorrelationId Id;
  /// The group of servers (`ServerGroups`) for the request; the hash of the
  /// service if that has only one group. Whoever creates the request sets the
  /// hash of the service, which `AllocationAgent` replaces by the group.
  std::uint64_t Group = 0;
  std::uint64_t Account = 0;
  std::uint64_t Zone = 0;
  std::vector<PromptPart> Parts;
  std::uint32_t PromptTokens = 0;
  /// The maximum number of tokens that may be generated.
  std::uint32_t MaxOutputTokens = 0;
  /// Servers that earlier attempts have used.
  std::vector<std::uint64_t> ExcludedServers;
  /// Milliseconds until the latency objective expires, in which the first chunk
  /// of the response should arrive; zero or negative if it has expired.
  std::int32_t ObjectiveLeftMs = 0;
  /// The maximum time in the allocator's queue, in milliseconds.
  std::int32_t MaxWaitMs = 0;
  /// See `PlacementQuery::SpreadKey`.
  std::optional<std::uint32_t> SpreadKey;
  /// The tokens that the account was granted through the sender in other groups
  /// of the service since its last request to this one (`AccountUsage`).
  std::uint32_t UsedElsewhere = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Group, this->Account, this->Zone, this->PromptTokens,
       this->MaxOutputTokens, this->ObjectiveLeftMs, this->MaxWaitMs);
    Ar(this->SpreadKey);
    serializeCompactList(Ar, this->Parts);
    serializeCompactList(Ar, this->ExcludedServers);
    if (Ar.format() >=
        static_cast<std::uint32_t>(MessageFormat::WithAccountUsage))
      Ar(this->UsedElsewhere);
  }
};

/// What a request counts in the usage of its account, in tokens: a generated
/// token counts as `OutputWeight` prompt tokens, as in the token throughput
/// that the operators state.
inline constexpr double OutputWeight = 2;
inline double usageOf(const AllocationRequest &Request) {
  return Request.PromptTokens + OutputWeight * Request.MaxOutputTokens;
}

/// Acknowledges an allocation request that waits in the allocator's queue.
struct AllocationQueued {
  CorrelationId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// Withdraws an allocation request: the router no longer needs a server for it.
struct AllocationCancelled {
  CorrelationId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// Permits the router to send the request to this server now.
struct AllocationGrant {
  CorrelationId Id;
  std::uint64_t Server = 0;
  std::uint32_t PrefillTokens = 0;
  /// The estimated work ahead of the request at the server, in prompt tokens:
  /// the pending prefill, and a fixed cost for each running request. 0 if the
  /// grant is sent again.
  std::uint32_t BacklogTokens = 0;
  /// When the server's process started, as far as the allocator knows. The
  /// grant may be the first message that tells the router of a restart.
  std::int64_t ServerStartedMs = 0;
  /// The server from which to fetch the cached prefix of the prompt; 0 for
  /// none.
  std::uint64_t FetchSource = 0;
  /// If above zero, the server is warming up, and the request must be sent
  /// within this time after the router first sent its request to this
  /// allocator.
  std::uint32_t SendWithinMs = 0;
  /// Set if the cheapest server had no room and the request did not wait for
  /// it. Used only in the allocator's own log; not serialized.
  std::optional<PrefillDecision> Decision{};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Server, this->PrefillTokens, this->BacklogTokens,
       this->ServerStartedMs, this->FetchSource, this->SendWithinMs);
  }
};

/// Refuses an allocation request that cannot be served in time.
struct AllocationRefusal {
  CorrelationId Id;
  /// When capacity is likely to be available again.
  std::uint32_t RetryAfterMs = 0;
  /// The group of the request. Used only in the allocator's own log; not
  /// serialized.
  std::uint64_t Group = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->RetryAfterMs);
  }
};

/// Reports that the first chunk of the response has arrived, so the prompt is
/// prefilled.
struct GrantStarted {
  CorrelationId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// Reports that the attempt at the granted server has ended.
struct GrantEnded {
  CorrelationId Id;
  ServerVerdict Verdict = ServerVerdict::Healthy;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Verdict);
  }
};

/// Reports an attempt that is in progress at a server. Sent periodically, so
/// that a new allocator learns what is running, and an allocator that missed a
/// `GrantEnded` drops the grant once the reports stop.
struct GrantActive {
  CorrelationId Id;
  std::uint64_t Server = 0;
  /// Zero once the prompt is prefilled.
  std::uint32_t PrefillTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// When the server process that received the request started.
  std::int64_t ServerStartedMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Server, this->PrefillTokens, this->MaxOutputTokens,
       this->ServerStartedMs);
  }
};

/// Asks a relay for the age of its view and for the changes after the given
/// revision.
struct FleetStatusRequest {
  CorrelationId Id;
  /// The sender knows all changes up to this revision; 0 if it knows none.
  std::int64_t SeenRevision = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->SeenRevision);
  }
};

/// The state of a relay's view, sent in response to a `FleetStatusRequest` and
/// again after each later proof that the view is the newest. The times of
/// proofs are relative to the receipt of the request. The receiver counts them
/// from when it sent the request, which is before the relay received it. A
/// delayed message therefore makes a proof look older, never newer.
struct FleetStatus {
  CorrelationId Id;
  /// When the relay's configuration was last proven to be the newest, in
  /// milliseconds after the relay received the request; negative if before.
  std::int32_t ProvenAfterMs = 0;
  /// The revision of the relay's configuration.
  std::int64_t ConfigurationRevision = 0;
  /// The relay knows all changes up to this revision.
  std::int64_t SeenRevision = 0;
  /// The relay's history holds all changes after this revision.
  std::int64_t CompactRevision = 0;
  /// The relay reads the store itself, so an old proof means that it cannot
  /// reach the store.
  bool ReadsStore = false;
  /// When the relay's lists were last proven to be complete, counted in the
  /// same way as `ProvenAfterMs`.
  std::int32_t ListsProvenAfterMs = 0;
  /// The relay's history has every change. That of a relay of an earlier
  /// release lacks those that it has read in its lists.
  bool HistoryIsComplete = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->ProvenAfterMs, this->ConfigurationRevision,
       this->SeenRevision, this->CompactRevision, this->ReadsStore,
       this->ListsProvenAfterMs);
    if (Ar.format() >=
        static_cast<std::uint32_t>(MessageFormat::WithUpdateSource))
      Ar(this->HistoryIsComplete);
  }
};

/// How the sender of changes knows them.
enum class FleetUpdateSource : std::uint8_t {
  /// The sender is of an earlier release: some changes may be missing.
  Unknown,
  /// Every change, as the store's watch reported it.
  Watch,
  /// What differs between complete lists and the state before them. An entry
  /// that was both written and removed in between is missing, so a receiver
  /// must know exactly that state.
  Lists,
};

enum class FleetUpdateKind : std::uint8_t {
  ServerListed,
  ServerRemoved,
  /// The server's entry exists but cannot be used.
  ServerUnusable,
  RouterListed,
  RouterRemoved,
  ZoneEvacuated,
  ZoneRestored,
};

/// One change of the server, router or zone list. Fields that do not apply to
/// the kind of change are empty.
struct FleetUpdateItem {
  FleetUpdateKind Kind = FleetUpdateKind::ServerListed;
  /// The identity of the server, or the name of the router or zone.
  std::string Name;
  std::int64_t ModRevision = 0;
  std::string Address;
  /// The service of a server.
  std::string Service;
  std::string Zone;
  std::uint32_t Slots = 0;
  bool Draining = false;
  std::int64_t StartedMs = 0;
  /// The remaining warm-up in milliseconds when the entry was written; negative
  /// if the entry does not state it.
  std::int32_t WarmUpLeftMs = -1;
  /// The number of CPU cores of a router.
  double Cores = 0;
  /// The version of a server's software; empty if unknown, as from a relay that
  /// sends the format before.
  std::string Version{};
  /// The message format that a router reads.
  MessageFormat Format = MessageFormat::WithoutStreams;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Name, this->ModRevision, this->Address, this->Service,
       this->Zone, this->Slots, this->Draining, this->StartedMs,
       this->WarmUpLeftMs, this->Cores);
    if (Ar.format() >= static_cast<std::uint32_t>(MessageFormat::WithStreams))
      Ar(this->Version, this->Format);
  }
};

/// Maximum number of items in a message, which encodes their number in one
/// byte.
inline constexpr std::size_t MaxUpdateItems = 255;

/// All changes of the lists after `AfterRevision`, up to and including
/// `ToRevision`, or what differs between the two.
struct FleetUpdate {
  /// Identifies the receiver's last `FleetStatusRequest`.
  CorrelationId Id;
  std::int64_t AfterRevision = 0;
  std::int64_t ToRevision = 0;
  std::vector<FleetUpdateItem> Items;
  FleetUpdateSource Source = FleetUpdateSource::Unknown;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->AfterRevision, this->ToRevision);
    serializeCompactList(Ar, this->Items);
    if (Ar.format() >=
        static_cast<std::uint32_t>(MessageFormat::WithUpdateSource))
      Ar(this->Source);
  }
};

/// Reports which requests were in progress at servers that crashed, as far as
/// the sender knows.
struct CrashReport {
  CorrelationId Id;
  /// Set by a router that has just started: the receiver sends back all facts
  /// that it knows.
  bool WantsReport = false;
  std::vector<CrashFact> Facts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->WantsReport);
    serializeCompactList(Ar, this->Facts);
  }
};

/// Reports which prompt parts were in progress at servers that crashed, and
/// which have been answered since, as far as the sender knows.
struct PartCrashReport {
  CorrelationId Id;
  /// Set by a router that has just started: the receiver sends back all facts
  /// that it knows.
  bool WantsReport = false;
  std::vector<PartCrash> Facts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->WantsReport);
    serializeCompactList(Ar, this->Facts);
  }
};

/// The load that a server stated in its response to a request. Sent to the
/// allocator of the server's group before the `GrantEnded` of the same request.
struct ServerLoadReport {
  CorrelationId Id;
  std::uint64_t Server = 0;
  /// When the server process that responded started.
  std::int64_t ServerStartedMs = 0;
  /// The time since the router received the figures.
  std::uint32_t AgeMs = 0;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// See `ServerLoad::WorkTimePercent`; 0 if the server did not state it.
  std::uint32_t WorkTimePercent = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Server, this->ServerStartedMs, this->AgeMs,
       this->Running, this->Waiting, this->Slots, this->WorkTimePercent);
  }
};

/// A message between routers. The index of the alternative and the order of the
/// serialized fields are the wire format. If either changes, there must be a
/// new `MessageFormat`; new alternatives are added at the end.
using RouterMessage =
    std::variant<AllocationRequest, AllocationQueued, AllocationCancelled,
                 AllocationGrant, AllocationRefusal, GrantStarted, GrantEnded,
                 GrantActive, FleetStatusRequest, FleetStatus, FleetUpdate,
                 CrashReport, StreamsBound, StreamQuery, StreamAnswer,
                 StreamSyncRequest, PartCrashReport, HeadroomQuery,
                 HeadroomReport, RelayedConnectionsClose, ServerLoadReport>;

/// Whether the message is for a router's `StreamDirectory`.
bool isAboutStreams(const RouterMessage &Message);
/// Whether routers that read this format know messages of this kind.
bool isKnownIn(MessageFormat Format, const RouterMessage &Message);

/// Encodes messages into one datagram. All must be known in the format.
std::string encodeMessages(const std::vector<RouterMessage> &Messages,
                           MessageFormat Format = NewestMessageFormat);
/// The format of a datagram; empty if it is in none of them.
std::optional<MessageFormat> formatOf(std::string_view Bytes);
/// Decodes a datagram of any format; fails with `Malformed` if the bytes are in
/// none of them.
Result<std::vector<RouterMessage>> decodeMessages(std::string_view Bytes);

} // namespace parsleywing

#endif
