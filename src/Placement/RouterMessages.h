#ifndef PARSLEYWING_PLACEMENT_ROUTERMESSAGES_H
#define PARSLEYWING_PLACEMENT_ROUTERMESSAGES_H

#include "Placement/CrashBook.h"
#include "Placement/ServerBook.h"
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
struct AskId {
  std::uint64_t Process = 0;
  std::uint64_t Number = 0;

  friend bool operator==(const AskId &, const AskId &) = default;
  friend bool operator<(const AskId &Left, const AskId &Right) {
    return std::tie(Left.Process, Left.Number) <
           std::tie(Right.Process, Right.Number);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Process, this->Number);
  }
};

/// An ask's identity in log lines, the same at router and allocator.
std::string textOf(const AskId &Id);

/// A router wants a server for a request.
struct ServerAsk {
  AskId Id;
  /// Hashes of names, as everywhere between routers.
  std::uint64_t Service = 0;
  std::uint64_t Account = 0;
  std::uint64_t Zone = 0;
  std::vector<PromptPart> Parts;
  std::uint32_t PromptTokens = 0;
  /// The most that may be generated.
  std::uint32_t OutputTokens = 0;
  /// Servers that have been tried.
  std::vector<std::uint64_t> Excluded;
  /// Milliseconds to the last moment at which the answer's first piece is on
  /// time; not positive where it is late already.
  std::int32_t OnTimeForMs = 0;
  /// Milliseconds that the request may wait at all.
  std::int32_t WaitForMs = 0;
  /// As in `PlacementQuestion`.
  std::optional<std::uint32_t> SpreadBy;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Service, this->Account, this->Zone, this->PromptTokens,
       this->OutputTokens, this->OnTimeForMs, this->WaitForMs);
    Ar(this->SpreadBy);
    compactList(Ar, this->Parts);
    compactList(Ar, this->Excluded);
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
struct AskQueued {
  AskId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// The request no longer needs a server.
struct AskWithdrawn {
  AskId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// The request may be sent to this server now.
struct ServerGranted {
  AskId Id;
  std::uint64_t Server = 0;
  std::uint32_t UnreadTokens = 0;
  /// Prompt tokens that the server has to read before.
  std::uint32_t Backlog = 0;
  /// The start of the server's process that the allocator knows: a router may
  /// hear of a restart here first.
  std::int64_t ServerStartedMs = 0;
  /// The server to fetch the kept start of the prompt from; 0 for none.
  std::uint64_t Source = 0;
  /// Where above zero, the server warms up, and the request must not be sent
  /// later than so long after its router first asked this allocator.
  std::uint32_t SendWithinMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Server, this->UnreadTokens, this->Backlog,
       this->ServerStartedMs, this->Source, this->SendWithinMs);
  }
};

/// The request cannot be served in time.
struct ServerRefused {
  AskId Id;
  /// When there is likely to be room for it.
  std::uint32_t ReturnAfterMs = 0;
  /// The service (or group) that it was asked for. For the allocator's own log:
  /// it does not travel.
  std::uint64_t Service = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->ReturnAfterMs);
  }
};

/// The server has begun to answer: the prompt is read.
struct GrantBegan {
  AskId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// The request has ended at its server.
struct GrantEnded {
  AskId Id;
  ServerVerdict Verdict = ServerVerdict::Sound;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Verdict);
  }
};

/// A request is at a server. Sent again and again while that is so: an
/// allocator that is new learns what runs, and one that missed an end forgets
/// what is no longer told.
struct SendOpen {
  AskId Id;
  std::uint64_t Server = 0;
  /// Zero once the prompt is read.
  std::uint32_t UnreadTokens = 0;
  std::uint32_t OutputTokens = 0;
  /// The start of the server's process that the request was sent to.
  std::int64_t ServerStartedMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Server, this->UnreadTokens, this->OutputTokens,
       this->ServerStartedMs);
  }
};

/// A router asks its relay how fresh the relay's view is, and for the changes
/// behind what it has seen itself.
struct FleetAsk {
  AskId Id;
  /// All changes up to this revision are known; 0 where nothing is.
  std::int64_t SeenAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->SeenAt);
  }
};

/// What the relay knows, in answer to a question and again with each proof that
/// comes behind it. The one that asked dates the proof from the moment of its
/// own question, which was before the relay received it: so a message that
/// comes late proves less, never more.
struct FleetTold {
  AskId Id;
  /// From the moment at which the relay received the question to the one that
  /// its proof holds for; negative where that was before.
  std::int32_t ProvenAfterMs = 0;
  /// The revision of the relay's configuration.
  std::int64_t ConfigurationAt = 0;
  /// All changes up to this revision are known to the relay.
  std::int64_t SeenAt = 0;
  /// The relay can tell of all changes behind this revision.
  std::int64_t TellsSince = 0;
  /// It reads the store itself: where its proof is old, it has not reached it.
  bool ReadsStore = false;
  /// The lists lacked nothing at this moment, told like `ProvenAfterMs`.
  std::int32_t ListsProvenAfterMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->ProvenAfterMs, this->ConfigurationAt, this->SeenAt,
       this->TellsSince, this->ReadsStore, this->ListsProvenAfterMs);
  }
};

enum class NewsKind : std::uint8_t {
  ServerListed,
  ServerRemoved,
  ServerUnusable,
  RouterListed,
  RouterRemoved,
  ZoneEvacuated,
  ZoneReturned,
};

/// One change of the lists. What a kind does not need is empty.
struct NewsItem {
  NewsKind Kind = NewsKind::ServerListed;
  /// The server's identity, or the router's or zone's name.
  std::string Name;
  std::int64_t At = 0;
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
  double Capacity = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Name, this->At, this->Address, this->Service,
       this->Zone, this->Slots, this->Draining, this->StartedMs,
       this->WarmUpLeftMs, this->Capacity);
  }
};

/// Changes of the lists: all that were made behind `From` and up to `To`.
struct FleetNews {
  AskId Id;
  std::int64_t From = 0;
  std::int64_t To = 0;
  std::vector<NewsItem> Items;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->From, this->To);
    ServerAsk::compactList(Ar, this->Items);
  }
};

/// Which requests were in hand at servers that crashed, as far as the sender
/// knows.
struct CrashNews {
  AskId Id;
  /// The sender has begun and wants to hear what others know.
  bool Wanted = false;
  std::vector<CrashFact> Facts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Wanted);
    ServerAsk::compactList(Ar, this->Facts);
  }
};

using RouterMessage =
    std::variant<ServerAsk, AskQueued, AskWithdrawn, ServerGranted,
                 ServerRefused, GrantBegan, GrantEnded, SendOpen, FleetAsk,
                 FleetTold, FleetNews, CrashNews>;

/// The datagram of some messages, and back. `Malformed` where the bytes are
/// none.
std::string encodeMessages(const std::vector<RouterMessage> &Messages);
Result<std::vector<RouterMessage>> decodeMessages(std::string_view Bytes);

} // namespace parsleywing

#endif
