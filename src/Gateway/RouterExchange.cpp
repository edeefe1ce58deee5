#include "Gateway/RouterExchange.h"

#include "Placement/RouterOrder.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace parsleywing {

namespace {

/// How long a router that did not answer is passed over at first and at most.
constexpr Duration FirstSuspectTime = std::chrono::seconds(2);
constexpr Duration LongestSuspectTime = std::chrono::seconds(16);
/// A suspicion so long after the end of the last one counts as the first.
constexpr Duration SuspectMemory = std::chrono::seconds(10);

/// Keys whose first router is remembered. Services, groups and clusters of
/// relays are tens; this only bounds what wrong datagrams could add.
constexpr std::size_t MaxOrders = 4096;

/// Bytes of one datagram: below what a network carries unfragmented.
constexpr std::size_t MaxDatagram = 1400;
/// What a message takes at most, about: an ask with a dozen prompt parts. One
/// with changes of the fleet fills a datagram.
constexpr std::size_t UsualMessage = 250;
constexpr std::size_t MaxReceived = 65536;
/// All that waits, as a rule. A router under a flood has few turns, between
/// which it stands still for up to 0.1 s; with 64 datagrams in each, answers
/// waited for 0.5 s and were lost, and their allocators taken to be away.
constexpr int MaxDatagramsPerTurn = 2048;

std::size_t sizeBound(const RouterMessage &Message) {
  const bool Fills = std::holds_alternative<FleetUpdate>(Message) ||
                     std::holds_alternative<CrashReport>(Message);
  return Fills ? MaxDatagram : UsualMessage;
}

/// The end of the messages from `First` on that share a datagram.
std::size_t endOfDatagram(const std::vector<RouterMessage> &Messages,
                          std::size_t First) {
  std::size_t Last = First + 1;
  std::size_t Size = sizeBound(Messages[First]);
  while (Last < Messages.size() &&
         Size + sizeBound(Messages[Last]) <= MaxDatagram)
    Size += sizeBound(Messages[Last++]);
  return Last;
}

} // namespace

RouterExchange::RouterExchange(EventLoop &L, Options O, Metrics &M)
    : Loop(L), Settings(std::move(O)),
      Datagrams(M.counter(
          {"allocation_datagrams_total", "Datagrams sent to routers.", ""})),
      Malformed(M.counter({"allocation_malformed_total",
                           "Datagrams that could not be read.", ""})) {}

RouterExchange::~RouterExchange() {
  if (this->Opened)
    this->Loop.remove(this->Socket);
}

Result<void> RouterExchange::open(Receiver Into) {
  this->OnMessage = std::move(Into);
  if (this->Settings.Address.empty())
    return {};
  try {
    this->Socket.bind(Poco::Net::SocketAddress(this->Settings.Address), true);
    this->Socket.setBlocking(false);
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Unreachable, "cannot listen on " +
                                               this->Settings.Address + ": " +
                                               Problem.displayText());
  }
  this->Opened = true;
  this->clearFirstCache();
  this->Loop.add(this->Socket, Poco::Net::PollSet::POLL_READ,
                 [this](int) { this->onReadable(); });
  return {};
}

void RouterExchange::setRouters(const RouterList &Places) {
  std::map<std::string, Router> Listed;
  for (const auto &[Name, Place] : Places) {
    try {
      Router &Each = Listed[Name];
      Each.Address = Poco::Net::SocketAddress(Place.Address);
      Each.Hash = hashName(Name);
      Each.Cores = Place.Cores;
      Each.Zone = Place.Zone;
      if (const auto Known = this->Routers.find(Name);
          Known != this->Routers.end()) {
        Each.SuspectUntil = Known->second.SuspectUntil;
        Each.SuspectDuration = Known->second.SuspectDuration;
      }
    } catch (const Poco::Exception &Problem) {
      Listed.erase(Name);
      log(LogPart::Peer, LogLevel::Warn,
          "router " + Name + " lists no address: " + Problem.displayText());
    }
  }
  this->Routers = std::move(Listed);
  this->Counts.clear();
  for (const auto &[Name, Each] : this->Routers)
    ++this->Counts[Each.Zone];
  this->clearFirstCache();
}

const Poco::Net::SocketAddress *
RouterExchange::addressOf(const std::string &Name) const {
  const auto Found = this->Routers.find(Name);
  return Found == this->Routers.end() ? nullptr : &Found->second.Address;
}

std::string
RouterExchange::nameAt(const Poco::Net::SocketAddress &Address) const {
  const auto Found = std::find_if(
      this->Routers.begin(), this->Routers.end(),
      [&Address](const auto &Each) { return Each.second.Address == Address; });
  return Found == this->Routers.end() ? std::string() : Found->first;
}

void RouterExchange::clearFirstCache() {
  this->FirstCache.clear();
  this->FirstCacheValidUntil = TimePoint::max();
  const TimePoint Now = this->Loop.clock().now();
  for (const auto &[Name, Listed] : this->Routers)
    if (Listed.SuspectUntil > Now)
      this->FirstCacheValidUntil =
          std::min(this->FirstCacheValidUntil, Listed.SuspectUntil);
}

/// What is remembered for the key: empty where nothing is yet.
std::string *RouterExchange::cachedFirst(std::uint64_t Key) {
  if (this->Loop.clock().now() >= this->FirstCacheValidUntil ||
      this->FirstCache.size() >= MaxOrders)
    this->clearFirstCache();
  return &this->FirstCache[Key];
}

const std::string &RouterExchange::firstFor(std::uint64_t Key) {
  std::string *Known = this->cachedFirst(Key);
  if (Known->empty())
    *Known = this->findFirst(Key, this->Loop.clock().now());
  return *Known;
}

const std::string &RouterExchange::firstIn(std::uint64_t Key,
                                           const std::set<std::string> &Zones) {
  std::string *Known = this->cachedFirst(Key);
  const TimePoint Now = this->Loop.clock().now();
  if (Known->empty())
    *Known = this->findFirst(Key, Now, &Zones);
  if (Known->empty())
    *Known = this->findFirst(Key, Now);
  return *Known;
}

std::string
RouterExchange::findFirst(std::uint64_t Key, TimePoint Now,
                          const std::set<std::string> *Zones) const {
  std::string Best = this->Settings.RouterName;
  if (!this->Opened)
    return Best;
  const bool Outside =
      Zones != nullptr && !Zones->contains(this->Settings.Zone);
  double BestScore =
      this->Leaving || Outside
          ? 0
          : routerScore(hashName(Best), Key, this->Settings.Cores);
  if (Outside)
    Best.clear();
  for (const auto &[Name, Listed] : this->Routers) {
    if (Listed.SuspectUntil > Now)
      continue;
    if (Zones != nullptr && !Zones->contains(Listed.Zone))
      continue;
    // A leaving router's own listing may not have gone yet.
    if (this->Leaving && Name == this->Settings.RouterName)
      continue;
    const double Score = routerScore(Listed.Hash, Key, Listed.Cores);
    if (Score > BestScore) {
      Best = Name;
      BestScore = Score;
    }
  }
  return Best;
}

void RouterExchange::suspect(const std::string &Name) {
  const auto Found = this->Routers.find(Name);
  if (Found == this->Routers.end())
    return;
  Router &Known = Found->second;
  const TimePoint Now = this->Loop.clock().now();
  if (Known.SuspectUntil > Now)
    return;
  const bool Again = Known.SuspectDuration > Duration::zero() &&
                     Now - Known.SuspectUntil < SuspectMemory;
  Known.SuspectDuration =
      Again ? std::min(Known.SuspectDuration * 2, LongestSuspectTime)
            : FirstSuspectTime;
  Known.SuspectUntil = Now + Known.SuspectDuration;
  this->clearFirstCache();
}

void RouterExchange::leave() {
  this->Leaving = true;
  this->clearFirstCache();
}

void RouterExchange::send(const std::string &Router, RouterMessage Message) {
  const auto Found = this->Routers.find(Router);
  if (Found != this->Routers.end())
    this->send(Found->second.Address, std::move(Message));
}

void RouterExchange::send(const Poco::Net::SocketAddress &Address,
                          RouterMessage Message) {
  this->Outbox[Address].push_back(std::move(Message));
  if (this->FlushDue)
    return;
  this->FlushDue = true;
  this->Loop.after(Duration::zero(), [this] { this->flush(); });
}

void RouterExchange::sendToAll(const RouterMessage &Message) {
  for (const auto &[Name, Listed] : this->Routers)
    if (Name != this->Settings.RouterName)
      this->send(Listed.Address, Message);
}

std::vector<std::string> RouterExchange::others() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Listed] : this->Routers)
    if (Name != this->Settings.RouterName)
      Names.push_back(Name);
  return Names;
}

void RouterExchange::flush() {
  this->FlushDue = false;
  const auto Pending = std::exchange(this->Outbox, {});
  for (const auto &[Address, Messages] : Pending)
    for (std::size_t First = 0, Last = 0; First < Messages.size();
         First = Last) {
      Last = endOfDatagram(Messages, First);
      const std::string Bytes = encodeMessages(
          {Messages.begin() + static_cast<std::ptrdiff_t>(First),
           Messages.begin() + static_cast<std::ptrdiff_t>(Last)});
      this->Datagrams.add();
      try {
        this->Socket.sendTo(Bytes.data(), static_cast<int>(Bytes.size()),
                            Address);
      } catch (const Poco::Exception &Problem) {
        // Lost like any datagram; asks are sent again.
        log(LogPart::Peer, LogLevel::Debug,
            "send to " + Address.toString() + ": " + Problem.displayText());
      }
    }
}

void RouterExchange::onReadable() {
  static thread_local std::array<char, MaxReceived> Buffer;
  for (int Count = 0; Count < MaxDatagramsPerTurn; ++Count) {
    ::sockaddr_storage From{};
    ::socklen_t Length = sizeof(From);
    // Past the library, which throws where nothing is there: once in each turn.
    const ::ssize_t Size = ::recvfrom(
        this->Socket.impl()->sockfd(), Buffer.data(), Buffer.size(),
        MSG_DONTWAIT, reinterpret_cast<::sockaddr *>(&From), &Length);
    // Nothing is there, or an earlier datagram found nobody.
    if (Size <= 0)
      return;
    this->onDatagram({Buffer.data(), static_cast<std::size_t>(Size)},
                     Poco::Net::SocketAddress(
                         reinterpret_cast<::sockaddr *>(&From), Length));
  }
}

void RouterExchange::onDatagram(std::string_view Bytes,
                                const Poco::Net::SocketAddress &From) {
  const auto Messages = decodeMessages(Bytes);
  if (!Messages) {
    this->Malformed.add();
    return;
  }
  for (const RouterMessage &Each : *Messages)
    this->OnMessage(Each, From);
}

} // namespace parsleywing
