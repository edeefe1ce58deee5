#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRMESSAGE_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRMESSAGE_H

#include "Decision/Membership/View.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace parsleywing {

/// Identifies an (account, service) pair in messages; see `pairOf`.
using PairId = std::uint64_t;

/// The state of a router's queue for one service.
struct ServiceDigest {
  std::uint64_t Service = 0;
  /// Tokens per share. If no request is queued, the virtual time of the service
  /// at that router.
  double LowestTag = 0;
  /// The number of queued requests, at most 32,767, and `StarvedBit`.
  std::uint16_t Waiting = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->LowestTag, this->Waiting);
  }
};

/// Sent by an entry router to the home of the pair. The sequence number of the
/// message is the version of the contribution.
struct Contribution {
  PairId Pair = 0;
  /// Tokens charged by the sending process so far.
  double Own = 0;
  /// The sender's estimate of the tokens charged by all other processes; used
  /// only by a new home.
  float Others = 0;
  /// Tokens per share added for idle times.
  float Lift = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Pair, this->Own, this->Others, this->Lift);
  }
};

/// Sent by the home of a pair to an entry router. It excludes the entry
/// router's own contribution, so that the receiver can add its exact own value.
struct ContributionReply {
  PairId Pair = 0;
  double Others = 0;
  float Lift = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Pair, this->Others, this->Lift);
  }
};

/// Sent by the owner of a server to a holder of slots. The counters only
/// increase, so that loss, duplication and reordering of messages do no harm.
struct SlotGrant {
  std::uint64_t Server = 0;
  std::uint32_t Granted = 0;
  std::uint32_t ReturnedSeen = 0;
  /// The holder returns the slots that it holds above this number.
  std::uint16_t MaxHeld = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Server, this->Granted, this->ReturnedSeen, this->MaxHeld);
  }
};

/// Sent by a holder of slots to the owner of the server.
struct SlotReport {
  std::uint64_t Server = 0;
  std::uint32_t GrantedSeen = 0;
  std::uint32_t Returned = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Server, this->GrantedSeen, this->Returned);
  }
};

/// All data that one router sends to another at one time.
struct FairMessage {
  /// Increases with each message that a process sends, to any receiver.
  std::uint32_t Sequence = 0;
  /// The low half of the receiver's incarnation number. Slot counters for an
  /// earlier process of the same name are ignored.
  std::uint32_t ToIncarnation = 0;
  std::vector<ServiceDigest> Digests;
  std::vector<Contribution> Contributions;
  std::vector<ContributionReply> Replies;
  std::vector<SlotGrant> Grants;
  std::vector<SlotReport> Reports;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Sequence, this->ToIncarnation);
    compact(Ar, this->Digests);
    compact(Ar, this->Contributions);
    compact(Ar, this->Replies);
    compact(Ar, this->Grants);
    compact(Ar, this->Reports);
  }

  /// The number of bytes that `serialize` writes to a portable binary archive,
  /// without datagram headers.
  std::size_t bytes() const {
    return 18 + 18 * this->Digests.size() + 24 * this->Contributions.size() +
           20 * this->Replies.size() + 18 * this->Grants.size() +
           16 * this->Reports.size();
  }

private:
  /// Serializes a list with a length field of two bytes instead of cereal's
  /// eight.
  template <class Archive, class Entry>
  static void compact(Archive &Ar, std::vector<Entry> &Entries) {
    auto Count = static_cast<std::uint16_t>(Entries.size());
    Ar(Count);
    Entries.resize(Count);
    for (Entry &E : Entries)
      Ar(E);
  }
};

/// A message from the scheduler of another router was received.
struct FairMessageReceived {
  RouterId From;
  Incarnation IncarnationNumber = 0;
  FairMessage Message;
};

/// Send this message to the scheduler of another router. It may be lost;
/// important data is sent again. An urgent message must not wait for other
/// traffic.
struct SendFairMessage {
  RouterId To;
  bool Urgent = false;
  FairMessage Message;
};

} // namespace parsleywing

#endif
