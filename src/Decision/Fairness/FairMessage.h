#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRMESSAGE_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRMESSAGE_H

#include "Decision/Membership/View.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace parsleywing {

/// Names an (account, service) pair in messages; see `pairOf`.
using PairId = std::uint64_t;

/// What a router says of its queue for one service.
struct ServiceDigest {
  std::uint64_t Service = 0;
  /// Tokens a share; where nothing waits, the service's virtual time there.
  double LowestTag = 0;
  /// Requests waiting, at most 65,535.
  std::uint16_t Waiting = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->LowestTag, this->Waiting);
  }
};

/// From an entry router to the account's home. The message's sequence number
/// is its version.
struct Contribution {
  PairId Pair = 0;
  /// Tokens charged by this process so far.
  double Own = 0;
  /// What it believes all others charged; only a new home makes use of it.
  float Others = 0;
  /// Tokens a share by which idle times lifted the position.
  float Lift = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Pair, this->Own, this->Others, this->Lift);
  }
};

/// From an account's home to an entry router. It leaves out what the entry
/// router itself contributed, so that the receiver adds its own exact figure.
struct ContributionReply {
  PairId Pair = 0;
  double Others = 0;
  float Lift = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Pair, this->Others, this->Lift);
  }
};

/// From a server's owner to a holder of slots. The counters only grow, so that
/// loss, doubling and reordering of messages do no harm.
struct SlotGrant {
  std::uint64_t Server = 0;
  std::uint32_t Granted = 0;
  std::uint32_t ReturnedSeen = 0;
  /// The holder gives back what it holds above this.
  std::uint16_t MaxHeld = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Server, this->Granted, this->ReturnedSeen, this->MaxHeld);
  }
};

/// From a holder of slots to the server's owner.
struct SlotReport {
  std::uint64_t Server = 0;
  std::uint32_t GrantedSeen = 0;
  std::uint32_t Returned = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Server, this->GrantedSeen, this->Returned);
  }
};

/// Everything that one router has to say to another at one time.
struct FairMessage {
  /// Grows with each message of a process, whoever receives it.
  std::uint32_t Sequence = 0;
  /// Low half of the receiver's incarnation; slot counters of an earlier
  /// process of that name are void.
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

  /// The bytes that `serialize` gives in a portable binary archive, without
  /// the datagram's own headers.
  std::size_t bytes() const {
    return 18 + 18 * this->Digests.size() + 24 * this->Contributions.size() +
           20 * this->Replies.size() + 18 * this->Grants.size() +
           16 * this->Reports.size();
  }

private:
  /// A list with a length of two bytes rather than the library's eight.
  template <class Archive, class Entry>
  static void compact(Archive &Ar, std::vector<Entry> &Entries) {
    auto Count = static_cast<std::uint16_t>(Entries.size());
    Ar(Count);
    Entries.resize(Count);
    for (Entry &E : Entries)
      Ar(E);
  }
};

/// Another router's scheduler has something to say.
struct FairMessageReceived {
  RouterId From;
  Incarnation IncarnationNumber = 0;
  FairMessage Message;
};

/// Pass this on to another router's scheduler. It may be lost; what matters is
/// said again. An urgent one should not wait for other traffic.
struct SendFairMessage {
  RouterId To;
  bool Urgent = false;
  FairMessage Message;
};

} // namespace parsleywing

#endif
