#ifndef PARSLEYWING_TEST_DECISION_MEMBERSHIPNETWORK_H
#define PARSLEYWING_TEST_DECISION_MEMBERSHIPNETWORK_H

#include "Decision/Membership/MembershipTable.h"
#include "Peer/PeerCounters.h"
#include "Runtime/Overloaded.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace parsleywing::test {

/// Membership tables that exchange messages over a fake network with a paused
/// clock. Datagrams take 2 to 20 ms, plus 100 ms if they are batched, may be
/// lost, and are delivered only between routers on the same side of a
/// partition.
class MembershipNetwork {
public:
  struct Router {
    std::string Name;
    std::string Address;
    Incarnation IncarnationNumber = 0;
    std::unique_ptr<MembershipTable> Table; ///< Null while crashed.
    std::map<RouterId, std::string> PeerAddresses;
    unsigned Side = 0;
    bool Paused = false;
    bool Superseded = false;
    TimePoint Started;
    std::uint64_t Bytes = 0;
    std::uint64_t BulkBytes = 0;
    std::uint64_t Messages = 0;
    std::uint64_t LargestDatagram = 0;
    std::uint64_t ViewChanges = 0;

    RouterId id() const { return idOf<RouterId>(this->Name); }
    bool runs() const {
      return this->Table && !this->Paused && !this->Superseded;
    }
  };

  unsigned LossPercent = 0;
  /// Datagrams between these two addresses are lost in both directions.
  std::pair<std::string, std::string> BrokenPath;
  /// Changes the settings of each router that starts.
  std::function<void(MembershipSettings &)> Adjust;

  explicit MembershipNetwork(std::uint64_t Seed) : Random(Seed) {}

  std::size_t add(const std::string &Name, const std::string &Address) {
    this->Routers.push_back(std::make_unique<Router>());
    Router &Added = *this->Routers.back();
    Added.Name = Name;
    Added.Address = Address;
    this->start(this->Routers.size() - 1);
    return this->Routers.size() - 1;
  }

  void addMany(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const std::size_t Number = this->Routers.size();
      this->add("router-" + std::to_string(Number), addressOf(Number));
    }
  }

  /// Starts a process without state and with a higher incarnation number.
  void start(std::size_t Index) {
    Router &Process = *this->Routers[Index];
    Process.IncarnationNumber = ++this->LastIncarnation;
    Process.PeerAddresses.clear();
    Process.Started = this->Now;
    Process.Superseded = false;
    MembershipSettings Settings;
    Settings.Self = {Process.id(), Process.IncarnationNumber, 0,
                     Process.Name, Process.Address,           "10.0.0.1:8080"};
    Settings.Seeds = {addressOf(0), addressOf(1), addressOf(2)};
    Settings.RandomSeed = this->Random();
    if (this->Adjust)
      this->Adjust(Settings);
    Process.Table = std::make_unique<MembershipTable>(Settings);
  }

  void crash(std::size_t Index) { this->Routers[Index]->Table.reset(); }

  void handle(std::size_t Index, const MembershipEvent &Event) {
    this->perform(*this->Routers[Index],
                  this->Routers[Index]->Table->handle(this->Now, Event));
  }

  void run(Duration Length) {
    const TimePoint End = this->Now + Length;
    while (this->Now < End)
      this->step();
  }

  /// Runs until the condition holds. Returns the elapsed time, or `Limit`.
  Duration runUntil(const std::function<bool()> &Condition, Duration Limit) {
    const TimePoint Start = this->Now;
    while (this->Now - Start < Limit && !Condition())
      this->run(std::chrono::milliseconds(50));
    return this->Now - Start;
  }

  bool sees(std::size_t Viewer, std::size_t Seen) const {
    const Router &Other = *this->Routers[Seen];
    for (const Member &Known : this->Routers[Viewer]->Table->view().Members)
      if (Known.Router == Other.id())
        return Known.IncarnationNumber == Other.IncarnationNumber;
    return false;
  }

  bool lists(std::size_t Viewer, std::size_t Seen) const {
    for (const Member &Known : this->Routers[Viewer]->Table->view().Members)
      if (Known.Router == this->Routers[Seen]->id())
        return true;
    return false;
  }

  /// Whether the view of each running router contains exactly the running
  /// routers, with their current incarnation numbers.
  bool agreed() const {
    std::vector<Member> Expected;
    for (const auto &Each : this->Routers)
      if (Each->runs())
        Expected.push_back({Each->id(), Each->IncarnationNumber});
    std::sort(Expected.begin(), Expected.end(),
              [](const Member &Left, const Member &Right) {
                return Left.Router < Right.Router;
              });
    for (const auto &Each : this->Routers) {
      if (!Each->runs())
        continue;
      const auto &Members = Each->Table->view().Members;
      if (Members.size() != Expected.size())
        return false;
      for (std::size_t Index = 0; Index < Members.size(); ++Index)
        if (Members[Index].Router != Expected[Index].Router ||
            Members[Index].IncarnationNumber !=
                Expected[Index].IncarnationNumber)
          return false;
    }
    return true;
  }

  /// Whether the views of all other running routers contain this router (or, if
  /// `Expected` is false, none of them does).
  bool knownByAll(std::size_t Index, bool Expected) const {
    for (std::size_t Viewer = 0; Viewer < this->Routers.size(); ++Viewer) {
      if (Viewer == Index || !this->Routers[Viewer]->runs())
        continue;
      const bool Has =
          Expected ? this->sees(Viewer, Index) : this->lists(Viewer, Index);
      if (Has != Expected)
        return false;
    }
    return true;
  }

  Router &at(std::size_t Index) { return *this->Routers[Index]; }
  std::size_t size() const { return this->Routers.size(); }
  TimePoint now() const { return this->Now; }

  static std::string addressOf(std::size_t Number) {
    return "10.1." + std::to_string(Number / 250) + "." +
           std::to_string(Number % 250 + 1) + ":7400";
  }

private:
  struct Delivery {
    std::string To;
    std::string FromAddress;
    unsigned Side = 0;
    RouterId From;
    Incarnation IncarnationNumber = 0;
    RouterId Target; ///< Zero if only an address is known.
    MembershipMessage Message;
    bool Bulk = false;
  };

  void step() {
    this->Now += std::chrono::milliseconds(10);
    while (!this->InFlight.empty() &&
           this->InFlight.begin()->first <= this->Now) {
      const Delivery Received = std::move(this->InFlight.begin()->second);
      this->InFlight.erase(this->InFlight.begin());
      this->deliver(Received);
    }
    const std::size_t Turn = ++this->Steps;
    for (std::size_t Index = 0; Index < this->Routers.size(); ++Index)
      if ((Turn + Index) % 5 == 0 && this->Routers[Index]->Table &&
          !this->Routers[Index]->Paused)
        this->handle(Index, MembershipTick{});
  }

  void deliver(const Delivery &Received) {
    for (auto &Each : this->Routers) {
      // Only a running process receives datagrams at its address.
      if (!Each->runs() || Each->Address != Received.To ||
          Each->Side != Received.Side)
        continue;
      if (Received.Target != RouterId{} && Received.Target != Each->id())
        continue;
      this->perform(
          *Each, Each->Table->handle(
                     this->Now, MembershipMessageReceived{
                                    Received.From, Received.IncarnationNumber,
                                    Received.Message, Received.FromAddress}));
      return;
    }
  }

  void perform(Router &Actor, const std::vector<MembershipAction> &Actions) {
    for (const MembershipAction &Action : Actions)
      std::visit(Overloaded{
                     [&](const SendMembershipMessage &Send) {
                       const auto Known = Actor.PeerAddresses.find(Send.To);
                       if (Known != Actor.PeerAddresses.end())
                         this->transmit(Actor, Known->second, Send.To,
                                        Send.Message, Send.Urgent, Send.Bulk);
                     },
                     [&](const ContactAddress &Contact) {
                       this->transmit(Actor, Contact.Address, {},
                                      Contact.Message, false, false);
                     },
                     [&](const PeerAddressLearned &Learned) {
                       Actor.PeerAddresses[Learned.Router] = Learned.Address;
                     },
                     [&](const ViewChanged &) { ++Actor.ViewChanges; },
                     [&](const Superseded &) { Actor.Superseded = true; },
                 },
                 Action);
  }

  void transmit(Router &Actor, const std::string &To, RouterId Target,
                const MembershipMessage &Message, bool Urgent, bool Bulk) {
    const std::size_t Size = PeerCodec::encodePart(Message).size() +
                             PeerHeaderBytes + UdpOverheadBytes;
    ++Actor.Messages;
    (Bulk ? Actor.BulkBytes : Actor.Bytes) += Size;
    if (!Bulk)
      Actor.LargestDatagram =
          std::max<std::uint64_t>(Actor.LargestDatagram, Size);
    if (!Bulk && this->Random() % 100 < this->LossPercent)
      return;
    const auto &[End1, End2] = this->BrokenPath;
    if ((Actor.Address == End1 && To == End2) ||
        (Actor.Address == End2 && To == End1))
      return;
    const Duration Delay = std::chrono::milliseconds(
        (Urgent ? 0 : 100) + 2 + static_cast<int>(this->Random() % 19));
    this->InFlight.emplace(this->Now + Delay,
                           Delivery{To, Bulk ? "" : Actor.Address, Actor.Side,
                                    Actor.id(), Actor.IncarnationNumber, Target,
                                    Message, Bulk});
  }

  std::mt19937_64 Random;
  TimePoint Now;
  Incarnation LastIncarnation = 0;
  std::size_t Steps = 0;
  std::vector<std::unique_ptr<Router>> Routers;
  std::multimap<TimePoint, Delivery> InFlight;
};

} // namespace parsleywing::test

#endif
