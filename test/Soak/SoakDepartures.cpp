#include "Soak/SoakFleet.h"

#include "platform/WireNames.h"

#include <fstream>

namespace parsleywing::test {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// How long after the store has accepted that a server leaves, requests may
/// still be sent there.
constexpr auto DepartureBound = 2s;
/// How long after its start a router may lack what the store has accepted.
constexpr auto InTouchTime = 3s;
/// How long a server goes on serving once the callers go on: minimum and range
/// of its random part.
constexpr int MinDepartureMs = 2500;
constexpr unsigned DepartureRangeMs = 1000;
/// How long callers are quiet before the relay is killed, and after its start.
/// Requests that wait for it would let the others follow another router.
constexpr auto QuietBefore = 300ms;
constexpr auto QuietAfter = 1200ms;
/// The most servers on a page, and the ages of the store's copies.
constexpr std::size_t PageSize = 2;
constexpr auto YoungCopy = 100ms;
constexpr auto OldCopy = 2500ms;
/// The pages of servers, and the lists of routers and of evacuated zones.
constexpr unsigned ServerPages = 3;
constexpr unsigned CopyCount = ServerPages + 2;
/// Each of them may be the older or the younger one.
constexpr std::uint64_t DrawCount = std::uint64_t{2} * CopyCount;

} // namespace

/// One page or list comes from another copy than all others. Which one it is,
/// and whether that copy is the older one, is drawn anew for each departure.
void SoakFleet::setCopies() {
  this->Store.setPageSize(PageSize);
  this->Store.setCopies([this](const std::string &Prefix, int Page) {
    unsigned Copy = CopyCount;
    if (Prefix == wire::ServerPrefix)
      Copy = static_cast<unsigned>(Page);
    else if (Prefix == wire::RouterPrefix)
      Copy = ServerPages;
    else if (Prefix == wire::EvacuationPrefix)
      Copy = ServerPages + 1;
    const unsigned Drawn = this->DrawnCopy;
    const bool IsOld = (Copy == Drawn % CopyCount) == (Drawn >= CopyCount);
    return this->Store.revisionBefore(IsOld ? OldCopy : YoungCopy);
  });
}

void SoakFleet::waitWhileQuiet() const {
  while (this->CallersAreQuiet && !this->Stopping)
    std::this_thread::sleep_for(10ms);
}

/// The relay that a router has named last in its log.
std::string SoakFleet::relayName() const {
  std::string Name;
  for (const Router &Each : this->Routers) {
    std::ifstream Log(this->Folder.path(Each.Name + ".log"));
    for (std::string Line; std::getline(Log, Line);)
      if (const std::size_t At = Line.find(" relay="); At != std::string::npos)
        Name = Line.substr(At + 7, Line.find(' ', At + 7) - At - 7);
  }
  return Name;
}

/// Kills the relay, lets a server leave that says so to the store alone, or
/// whose entry just vanishes, and starts the relay again.
void SoakFleet::departWhileRelayRestarts(std::mt19937_64 &Random) {
  pauseFor(Random, 300, 1000);
  this->DrawnCopy = static_cast<unsigned>(Random() % DrawCount);
  this->CallersAreQuiet = true;
  std::this_thread::sleep_for(QuietBefore);
  const std::string Name = this->relayName();
  const std::size_t Server = Random() % this->ServerLinks.size();
  Departure Leaving;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Leaving.Identity = this->identityOf(Server);
  }
  Router *Relay = nullptr;
  for (Router &Each : this->Routers)
    if (Each.Name == Name)
      Relay = &Each;
  if (Relay != nullptr)
    this->recordDuring(Relay->Killed, [&] { Relay->Process->kill(); });
  pauseFor(Random, 0, 100);
  if (Random() % 2 == 0)
    this->registerServer(Server, "draining");
  else
    this->Store.remove("servers/" + Leaving.Identity);
  Leaving.AcceptedAt = SteadyClock::now();
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Leaving.Identity == this->identityOf(Server))
      this->Departures.push_back(Leaving);
  }
  pauseFor(Random, 50, 400);
  if (Relay != nullptr)
    this->startRouter(*Relay);
  std::this_thread::sleep_for(QuietAfter);
  this->CallersAreQuiet = false;
  pauseFor(Random, MinDepartureMs, DepartureRangeMs);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (Leaving.Identity == this->identityOf(Server))
    this->ServersToCrash.push_back(Server);
}

bool SoakFleet::isInTouch(const Router &Target,
                          SteadyClock::time_point At) const {
  for (const auto *Intervals :
       {&Target.Started, &Target.Killed, &Target.Frozen, &Target.Drained})
    if (anyOverlaps(*Intervals, At - InTouchTime, At))
      return false;
  return true;
}

/// No request that is sent later than `DepartureBound` after the store has
/// accepted that a server leaves reaches it from a router in touch.
void SoakFleet::checkDepartures(std::vector<std::string> &Violations) {
  for (const Departure &Leaving : this->Departures) {
    std::size_t Late = 0;
    std::string Text;
    for (const ServerSignal &Arrival : this->Arrivals) {
      const auto Sent = this->Results.find(Arrival.RequestId);
      if (Arrival.Identity != Leaving.Identity || Sent == this->Results.end())
        continue;
      const Router &Sender = this->Routers.at(Sent->second.Router);
      if (Sent->second.SentAt < Leaving.AcceptedAt + DepartureBound ||
          !this->isInTouch(Sender, Arrival.At))
        continue;
      ++Late;
      Text =
          Arrival.RequestId + " from " + Sender.Name + " after " +
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             Arrival.At - Leaving.AcceptedAt)
                             .count()) +
          " ms";
    }
    if (Late > 0)
      Violations.push_back(std::to_string(Late) +
                           " late requests reached the server " +
                           Leaving.Identity + " that left, the last: " + Text);
  }
}

} // namespace parsleywing::test
