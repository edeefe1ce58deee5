#ifndef PARSLEYWING_PLACEMENT_ROUTERMESSAGES_H
#define PARSLEYWING_PLACEMENT_ROUTERMESSAGES_H

#include "Placement/CrashRegistry.h"
#include "Placement/ServerTable.h"
#include "Runtime/Id.h"
#include "Runtime/Result.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace parsleywing {

/// Names a request for a server at its allocator: the router's process and a
/// number of its own.
struct CorrelationId {
  std::uint64_t Process = 0;
  std::uint64_t Number = 0;

  friend bool operator==(const CorrelationId &,
                         const CorrelationId &) = default;
  friend bool operator<(const CorrelationId &Left, const CorrelationId &Right) {
    return std::tie(Left.Process, Left.Number) <
           std::tie(Right.Process, Right.Number);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Process, this->Number);
  }
};

/// An ask's identity in log lines, the same at router and allocator.
std::string textOf(const CorrelationId &Id);

/// A router wants a server for a request.
struct AllocationRequest {
  CorrelationId Id;
  /// Hashes of names, as everywhere between routers.
  std::uint64_t Service = 0;
  std::uint64_t Account = 0;
  std::uint64_t Zone = 0;
  std::vector<PromptPart> Parts;
  std::uint32_t PromptTokens = 0;
  /// The most that may be generated.
  std::uint32_t OutputTokens = 0;
  /// Servers that have been tried.
  std::vector<std::uint64_t> ExcludedServers;
  /// Milliseconds to the last moment at which the answer's first piece is on
  /// time; not positive where it is late already.
  std::int32_t ObjectiveLeftMs = 0;
  /// Milliseconds that the request may wait at all.
  std::int32_t MaxWaitMs = 0;
  /// As in `PlacementQuestion`.
  std::optional<std::uint32_t> SpreadKey;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Service, this->Account, this->Zone, this->PromptTokens,
       this->OutputTokens, this->ObjectiveLeftMs, this->MaxWaitMs);
    Ar(this->SpreadKey);
    compactList(Ar, this->Parts);
    compactList(Ar, this->ExcludedServers);
  }

  /// A list with a length of one byte.
  template <class Archive, class Entry>
  static void compactList(Archive &Ar, std::vector<Entry> &Entries) {
    auto Count = static_cast<std::uint8_t>(Entries.size());
    Ar(Count);
    Entries.resize(Count);
    for (Entry &Each : Entries)
      Ar(Each);
  }
};

/// The ask has arrived and waits.
struct AllocationQueued {
  CorrelationId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// The request no longer needs a server.
struct AllocationCancelled {
  CorrelationId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// The request may be sent to this server now.
struct AllocationGrant {
  CorrelationId Id;
  std::uint64_t Server = 0;
  std::uint32_t PrefillTokens = 0;
  /// Prompt tokens that the server has to read before.
  std::uint32_t BacklogTokens = 0;
  /// The start of the server's process that the allocator knows: a router may
  /// hear of a restart here first.
  std::int64_t ServerStartedMs = 0;
  /// The server to fetch the kept start of the prompt from; 0 for none.
  std::uint64_t FetchSource = 0;
  /// Where above zero, the server warms up, and the request must not be sent
  /// later than so long after its router first asked this allocator.
  std::uint32_t SendWithinMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Server, this->PrefillTokens, this->BacklogTokens,
       this->ServerStartedMs, this->FetchSource, this->SendWithinMs);
  }
};

/// The request cannot be served in time.
struct AllocationRefusal {
  CorrelationId Id;
  /// When there is likely to be room for it.
  std::uint32_t RetryAfterMs = 0;
  /// The service (or group) that it was asked for. For the allocator's own log:
  /// it does not travel.
  std::uint64_t Service = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->RetryAfterMs);
  }
};

/// The server has begun to answer: the prompt is read.
struct GrantStarted {
  CorrelationId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// The request has ended at its server.
struct GrantEnded {
  CorrelationId Id;
  ServerVerdict Verdict = ServerVerdict::Healthy;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Verdict);
  }
};

/// A request is at a server. Sent again and again while that is so: an
/// allocator that is new learns what runs, and one that missed an end forgets
/// what is no longer told.
struct GrantActive {
  CorrelationId Id;
  std::uint64_t Server = 0;
  /// Zero once the prompt is read.
  std::uint32_t PrefillTokens = 0;
  std::uint32_t OutputTokens = 0;
  /// The start of the server's process that the request was sent to.
  std::int64_t ServerStartedMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Server, this->PrefillTokens, this->OutputTokens,
       this->ServerStartedMs);
  }
};

/// A router asks its relay how fresh the relay's view is, and for the changes
/// behind what it has seen itself.
struct FleetStatusRequest {
  CorrelationId Id;
  /// All changes up to this revision are known; 0 where nothing is.
  std::int64_t SeenRevision = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->SeenRevision);
  }
};

/// What the relay knows, in answer to a question and again with each proof that
/// comes behind it. The one that asked dates the proof from the moment of its
/// own question, which was before the relay received it: so a message that
/// comes late proves less, never more.
struct FleetStatus {
  CorrelationId Id;
  /// From the moment at which the relay received the question to the one that
  /// its proof holds for; negative where that was before.
  std::int32_t ProvenAfterMs = 0;
  /// The revision of the relay's configuration.
  std::int64_t ConfigurationRevision = 0;
  /// All changes up to this revision are known to the relay.
  std::int64_t SeenRevision = 0;
  /// The relay can tell of all changes behind this revision.
  std::int64_t CompactRevision = 0;
  /// It reads the store itself: where its proof is old, it has not reached it.
  bool ReadsStore = false;
  /// The lists lacked nothing at this moment, told like `ProvenAfterMs`.
  std::int32_t ListsProvenAfterMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->ProvenAfterMs, this->ConfigurationRevision,
       this->SeenRevision, this->CompactRevision, this->ReadsStore,
       this->ListsProvenAfterMs);
  }
};

enum class FleetUpdateKind : std::uint8_t {
  ServerListed,
  ServerRemoved,
  ServerUnusable,
  RouterListed,
  RouterRemoved,
  ZoneEvacuated,
  ZoneRestored,
};

/// One change of the lists. What a kind does not need is empty.
struct FleetUpdateItem {
  FleetUpdateKind Kind = FleetUpdateKind::ServerListed;
  /// The server's identity, or the router's or zone's name.
  std::string Name;
  std::int64_t ModRevision = 0;
  std::string Address;
  /// Of a server.
  std::string Service;
  std::string Zone;
  std::uint32_t Slots = 0;
  bool Draining = false;
  std::int64_t StartedMs = 0;
  /// Milliseconds of its warm-up that were left when its entry was written;
  /// negative where it does not say.
  std::int32_t WarmUpLeftMs = -1;
  /// Cores of a router.
  double Cores = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Name, this->ModRevision, this->Address, this->Service,
       this->Zone, this->Slots, this->Draining, this->StartedMs,
       this->WarmUpLeftMs, this->Cores);
  }
};

/// Changes of the lists: all that were made behind `From` and up to `To`.
struct FleetUpdate {
  CorrelationId Id;
  std::int64_t AfterRevision = 0;
  std::int64_t ToRevision = 0;
  std::vector<FleetUpdateItem> Items;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->AfterRevision, this->ToRevision);
    AllocationRequest::compactList(Ar, this->Items);
  }
};

/// Which requests were in hand at servers that crashed, as far as the sender
/// knows.
struct CrashReport {
  CorrelationId Id;
  /// The sender has begun and wants to hear what others know.
  bool WantsReport = false;
  std::vector<CrashFact> Facts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->WantsReport);
    AllocationRequest::compactList(Ar, this->Facts);
  }
};

using RouterMessage =
    std::variant<AllocationRequest, AllocationQueued, AllocationCancelled,
                 AllocationGrant, AllocationRefusal, GrantStarted, GrantEnded,
                 GrantActive, FleetStatusRequest, FleetStatus, FleetUpdate,
                 CrashReport>;

/// The datagram of some messages, and back. `Malformed` where the bytes are
/// none.
std::string encodeMessages(const std::vector<RouterMessage> &Messages);
Result<std::vector<RouterMessage>> decodeMessages(std::string_view Bytes);

} // namespace parsleywing

#endif
