#include "Placement/StreamFleet.h"

#include "Runtime/Id.h"

#include <algorithm>
#include <iterator>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

constexpr const char *Service = "engines";
constexpr Duration TickStep = 5ms;
constexpr Duration Drain = 3s;
/// Longer than a caller has for its stream.
constexpr Duration StreamLifetime = 20s;

GatewayServer makeServer(std::uint64_t Number, const std::string &Version) {
  GatewayServer Server;
  Server.Id = "s" + std::to_string(Number);
  Server.Service = Service;
  Server.Slots = 1000;
  Server.Version = Version;
  return Server;
}

} // namespace

StreamFleet::StreamFleet(Options O) : Settings(O), Random(O.Seed) {
  for (std::size_t I = 0; I < this->Settings.Routers; ++I) {
    this->Routers.emplace_back();
    this->Routers.back().Name = "r" + std::to_string(I);
    this->startProcess(I);
  }
  this->publish();
}

void StreamFleet::startProcess(std::size_t Number) {
  Router &Started = this->Routers.at(Number);
  Started.Directory = std::make_unique<StreamDirectory>(Started.Name);
  Started.Servers = ServerTable();
  Started.Process = ++this->LastProcess;
  Started.EndsAt.reset();
  Started.Listed = true;
  std::erase_if(this->TakeUps, [Number](const auto &Each) {
    return Each.second.Router == Number;
  });
}

/// All routers that are not cut off get the present lists.
void StreamFleet::publish() {
  RouterList Listed;
  for (std::size_t I = 0; I < this->Routers.size(); ++I)
    if (this->Routers[I].Listed) {
      RouterEndpoint &Entry = Listed[this->Routers[I].Name];
      Entry.Zone = "z" + std::to_string(I % this->Settings.Zones);
      Entry.Format = I < this->Settings.FirstOldRouter
                         ? MessageFormat::WithStreams
                         : MessageFormat::WithoutStreams;
    }
  for (std::size_t I = 0; I < this->Routers.size(); ++I) {
    if (this->Routers[I].CutOff)
      continue;
    this->Routers[I].Servers.setServers(
        std::make_shared<ServerList>(this->Servers), nullptr);
    this->Routers[I].Directory->setRouters(Listed);
    this->sendAll(I);
  }
}

void StreamFleet::post(std::size_t From, std::size_t To,
                       const RouterMessage &Message) {
  if (this->chance(100) < this->Settings.LostPercent)
    return;
  const Duration Delay = std::chrono::milliseconds(1 + this->chance(10));
  this->Network.emplace(this->Now + Delay, Datagram{From, To, Message});
}

void StreamFleet::sendAll(std::size_t Router) {
  for (const auto &Each : this->Routers[Router].Directory->takeOutgoing())
    for (std::size_t To = 0; To < this->Routers.size(); ++To)
      if (this->Routers[To].Name == Each.Router)
        this->post(Router, To, Each.Message);
}

void StreamFleet::deliver(const Datagram &Each) {
  Router &Receiver = this->Routers.at(Each.To);
  if (Receiver.CutOff || this->Routers.at(Each.From).CutOff ||
      Each.To >= this->Settings.FirstOldRouter)
    return;
  StreamDirectory &Directory = *Receiver.Directory;
  if (const auto *Bound = std::get_if<StreamsBound>(&Each.Message))
    Directory.onBound(*Bound, this->Now);
  else if (const auto *Query = std::get_if<StreamQuery>(&Each.Message))
    this->post(Each.To, Each.From, Directory.answerTo(*Query, this->Now));
  else if (const auto *Answer = std::get_if<StreamAnswer>(&Each.Message))
    Directory.onAnswer(*Answer, this->Now);
  else if (const auto *Wanted = std::get_if<StreamSyncRequest>(&Each.Message))
    for (const StreamsBound &Reply : Directory.repliesTo(*Wanted, this->Now))
      this->post(Each.To, Each.From, Reply);
  this->finishLookups(Each.To);
  this->sendAll(Each.To);
}

void StreamFleet::advance(Duration Step) {
  const TimePoint End = this->Now + Step;
  while (this->Now < End) {
    this->Now += TickStep;
    while (!this->Network.empty() &&
           this->Network.begin()->first <= this->Now) {
      const Datagram Next = this->Network.begin()->second;
      this->Network.erase(this->Network.begin());
      this->deliver(Next);
    }
    for (std::size_t I = 0; I < this->Routers.size(); ++I) {
      Router &Each = this->Routers[I];
      Each.Directory->tick(this->Now);
      this->finishLookups(I);
      this->sendAll(I);
      if (Each.EndsAt && *Each.EndsAt <= this->Now) {
        this->loseStreamsOf(I);
        this->startProcess(I);
        this->publish();
      }
    }
  }
}

void StreamFleet::addServer(const std::string &Version) {
  const GatewayServer Added = makeServer(++this->LastServer, Version);
  this->Servers.emplace(Added.Id, Added);
  this->publish();
}

void StreamFleet::removeServer(std::size_t Number) {
  if (this->Servers.empty())
    return;
  this->Servers.erase(
      std::next(this->Servers.begin(),
                static_cast<std::ptrdiff_t>(Number % this->Servers.size())));
  this->publish();
}

void StreamFleet::killRouter(std::size_t Router) {
  this->loseStreamsOf(Router);
  this->startProcess(Router);
  this->publish();
}

void StreamFleet::restartRouter(std::size_t Router) {
  auto &Leaving = this->Routers.at(Router);
  if (Leaving.EndsAt)
    return;
  Leaving.EndsAt = this->Now + Drain;
  Leaving.Listed = false;
  Leaving.Directory->leave(this->Now);
  this->sendAll(Router);
  this->publish();
}

void StreamFleet::setCutOff(std::size_t Router, bool CutOff) {
  this->Routers.at(Router).CutOff = CutOff;
  this->publish();
}

bool StreamFleet::place(std::size_t Router, Stream &Placed,
                        std::optional<SoftwareId> Software) {
  PlacementQuery Query;
  Query.Group = hashName(Service);
  Query.Software = Software;
  Query.SpreadKey = static_cast<std::uint32_t>(this->Random());
  Query.Now = this->Now;
  const auto Choice = this->Routers.at(Router).Servers.place(Query);
  if (!Choice)
    return false;
  const GatewayServer *Chosen =
      this->Routers.at(Router).Servers.find(Choice->Server);
  Placed.Versions.insert(Chosen->Version);
  Placed.Software = this->Routers.at(Router).Servers.softwareAt(Choice->Server);
  Placed.Router = Router;
  return true;
}

void StreamFleet::begin(std::size_t Router) {
  Stream New;
  New.RequestId = "q" + std::to_string(this->Streams.size());
  if (!this->place(Router, New, std::nullopt))
    return;
  if (Router < this->Settings.FirstOldRouter)
    this->Routers.at(Router).Directory->bind(streamKeyOf("a", New.RequestId),
                                             New.Software, StreamLifetime,
                                             this->Now);
  this->Streams.push_back(New);
  this->sendAll(Router);
}

void StreamFleet::breakOff(std::size_t Number) {
  if (this->Streams.empty())
    return;
  Stream &Broken = this->Streams[Number % this->Streams.size()];
  if (!Broken.Lost)
    this->place(Broken.Router, Broken, Broken.Software);
}

void StreamFleet::loseStreamsOf(std::size_t Router) {
  for (std::size_t I = 0; I < this->Streams.size(); ++I)
    if (this->Streams[I].Router == Router && !this->Streams[I].Lost)
      this->takeUp(I);
}

void StreamFleet::takeUp(std::size_t Number) {
  Stream &Lost = this->Streams[Number];
  Lost.Lost = true;
  const std::size_t Others =
      std::min(this->Settings.Routers, this->Settings.FirstOldRouter);
  const std::size_t Router =
      (Lost.Router + 1 + this->chance(std::max<std::size_t>(Others, 2) - 1)) %
      Others;
  const CorrelationId Id{this->Routers[Router].Process, ++this->LastLookup};
  this->TakeUps[Id] = {Number, Router};
  this->Routers[Router].Directory->find(Id, streamKeyOf("a", Lost.RequestId),
                                        this->Now);
  this->finishLookups(Router);
  this->sendAll(Router);
}

void StreamFleet::finishLookups(std::size_t Router) {
  for (const auto &Each : this->Routers[Router].Directory->takeFinished()) {
    const auto Found = this->TakeUps.find(Each.Id);
    if (Found == this->TakeUps.end())
      continue;
    Stream &Lost = this->Streams[Found->second.Stream];
    this->TakeUps.erase(Found);
    const auto Same = [&Lost](const auto &Listed) {
      return softwareOf(Listed.second) == Lost.Software;
    };
    const bool Counts = std::ranges::count_if(
                            this->Routers[Router].Servers.servers(), Same) >= 2;
    this->TakenUp += Counts ? 1 : 0;
    if (Each.Origin.Result != StreamLookupResult::Known)
      continue;
    if (!this->place(Router, Lost, Each.Origin.Software))
      continue;
    Lost.Lost = false;
    this->Continued += Counts ? 1 : 0;
  }
}

std::size_t StreamFleet::mixedStreams() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Streams, [](const Stream &Each) {
        return Each.Versions.size() > 1;
      }));
}

} // namespace parsleywing::test
