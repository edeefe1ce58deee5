#include "Gateway/RouterMessenger.h"

#include "Placement/RouterOrder.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace parsleywing {

namespace {

/// How long a router that did not answer is skipped, at first and at most.
constexpr Duration InitialSkipDuration = std::chrono::seconds(2);
constexpr Duration MaxSkipDuration = std::chrono::seconds(16);
/// A router that is skipped again this long after the end of the last time is
/// skipped for the initial duration.
constexpr Duration SkipResetTime = std::chrono::seconds(10);

/// Maximum number of keys whose first router is cached. There are tens of
/// services, groups and relay clusters; the limit bounds the keys of refused
/// requests (`CrashDetector::acquireProbe`) and of invalid datagrams.
constexpr std::size_t MaxCachedKeys = 4096;

/// Maximum number of addresses whose message format is remembered.
constexpr std::size_t MaxKnownFormats = 4096;

/// Bytes of one datagram, below what a network transmits unfragmented.
constexpr std::size_t MaxDatagramSize = 1400;
/// Approximate upper bound on the size of most messages: an allocation request
/// with a dozen prompt parts. Fleet updates and crash reports may fill a
/// datagram.
constexpr std::size_t UsualMessageSize = 250;
/// The number of stream bindings, at 18 bytes each, in a message of that size.
constexpr std::size_t MaxBindingsOfUsualSize = 12;
constexpr std::size_t MaxReceivedSize = 65536;
/// Usually enough to read all pending datagrams. Iterations of a busy loop are
/// up to 0.1 s apart. With 64 datagrams per iteration, replies are read 0.5 s
/// late or lost, and their allocators are skipped as unreachable.
constexpr int MaxDatagramsPerIteration = 2048;

std::size_t sizeBound(const RouterMessage &Message) {
  const auto *Bound = std::get_if<StreamsBound>(&Message);
  const bool FillsDatagram =
      std::holds_alternative<FleetUpdate>(Message) ||
      std::holds_alternative<CrashReport>(Message) ||
      (Bound != nullptr && Bound->Bindings.size() > MaxBindingsOfUsualSize);
  return FillsDatagram ? MaxDatagramSize : UsualMessageSize;
}

/// The end of the range of messages from `First` that share a datagram.
std::size_t endOfDatagram(const std::vector<RouterMessage> &Messages,
                          std::size_t First) {
  std::size_t Last = First + 1;
  std::size_t Size = sizeBound(Messages[First]);
  while (Last < Messages.size() &&
         Size + sizeBound(Messages[Last]) <= MaxDatagramSize)
    Size += sizeBound(Messages[Last++]);
  return Last;
}

} // namespace

RouterMessenger::RouterMessenger(EventLoop &L, Options O, Metrics &M)
    : Loop(L), Settings(std::move(O)),
      Datagrams(M.counter(
          {"allocation_datagrams_total", "Datagrams sent to routers.", ""})),
      Malformed(M.counter({"allocation_malformed_total",
                           "Datagrams that could not be read.", ""})) {}

RouterMessenger::~RouterMessenger() {
  if (this->Opened)
    this->Loop.remove(this->Socket);
}

Result<void> RouterMessenger::open(Receiver OnMessage) {
  this->OnMessage = std::move(OnMessage);
  if (this->Settings.Address.empty())
    return {};
  try {
    // Two sockets that both allow the reuse of their address could be bound to
    // the same one.
    this->Socket.bind(Poco::Net::SocketAddress(this->Settings.Address), false,
                      false);
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

void RouterMessenger::setRouters(const RouterList &Endpoints) {
  std::map<std::string, Router> Listed;
  for (const auto &[Name, Endpoint] : Endpoints) {
    try {
      Router &Entry = Listed[Name];
      Entry.Address = Poco::Net::SocketAddress(Endpoint.Address);
      Entry.Hash = hashName(Name);
      Entry.Cores = Endpoint.Cores;
      Entry.Zone = Endpoint.Zone;
      if (const auto Known = this->Routers.find(Name);
          Known != this->Routers.end()) {
        Entry.SkippedUntil = Known->second.SkippedUntil;
        Entry.SkipDuration = Known->second.SkipDuration;
      }
    } catch (const Poco::Exception &Problem) {
      Listed.erase(Name);
      log(LogPart::Peer, LogLevel::Warn,
          "router=" + Name +
              " lists an invalid address: " + Problem.displayText());
    }
  }
  this->Routers = std::move(Listed);
  this->Formats.clear();
  for (const auto &[Name, Entry] : this->Routers)
    this->Formats[Entry.Address] = Endpoints.at(Name).Format;
  this->Counts.clear();
  for (const auto &[Name, Entry] : this->Routers)
    ++this->Counts[Entry.Zone];
  this->clearFirstCache();
}

const Poco::Net::SocketAddress *
RouterMessenger::addressOf(const std::string &Name) const {
  const auto Found = this->Routers.find(Name);
  return Found == this->Routers.end() ? nullptr : &Found->second.Address;
}

std::string
RouterMessenger::nameAt(const Poco::Net::SocketAddress &Address) const {
  const auto Found = std::find_if(
      this->Routers.begin(), this->Routers.end(),
      [&Address](const auto &Each) { return Each.second.Address == Address; });
  return Found == this->Routers.end() ? std::string() : Found->first;
}

void RouterMessenger::clearFirstCache() {
  this->FirstCache.clear();
  this->FirstCacheValidUntil = TimePoint::max();
  const TimePoint Now = this->Loop.clock().now();
  for (const auto &[Name, Listed] : this->Routers)
    if (Listed.SkippedUntil > Now)
      this->FirstCacheValidUntil =
          std::min(this->FirstCacheValidUntil, Listed.SkippedUntil);
}

/// The cached first router of the key; empty if there is none yet.
std::string *RouterMessenger::cachedFirst(std::uint64_t Key) {
  if (this->Loop.clock().now() >= this->FirstCacheValidUntil ||
      this->FirstCache.size() >= MaxCachedKeys)
    this->clearFirstCache();
  return &this->FirstCache[Key];
}

const std::string &RouterMessenger::firstFor(std::uint64_t Key) {
  std::string *Cached = this->cachedFirst(Key);
  if (Cached->empty())
    *Cached = this->findFirst(Key, this->Loop.clock().now());
  return *Cached;
}

const std::string &
RouterMessenger::firstIn(std::uint64_t Key,
                         const std::set<std::string> &Zones) {
  std::string *Cached = this->cachedFirst(Key);
  const TimePoint Now = this->Loop.clock().now();
  if (Cached->empty())
    *Cached = this->findFirst(Key, Now, &Zones);
  if (Cached->empty())
    *Cached = this->findFirst(Key, Now);
  return *Cached;
}

std::string
RouterMessenger::findFirst(std::uint64_t Key, TimePoint Now,
                           const std::set<std::string> *Zones) const {
  std::string Best = this->Settings.RouterName;
  if (!this->Opened)
    return Best;
  const bool IsOutside =
      Zones != nullptr && !Zones->contains(this->Settings.Zone);
  double BestScore =
      this->Leaving || IsOutside
          ? 0
          : routerScore(hashName(Best), Key, this->Settings.Cores);
  if (IsOutside)
    Best.clear();
  for (const auto &[Name, Listed] : this->Routers) {
    if (Listed.SkippedUntil > Now)
      continue;
    if (Zones != nullptr && !Zones->contains(Listed.Zone))
      continue;
    // The entry of a leaving router may still be listed.
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

void RouterMessenger::skip(const std::string &Name) {
  const auto Found = this->Routers.find(Name);
  if (Found == this->Routers.end())
    return;
  Router &Entry = Found->second;
  const TimePoint Now = this->Loop.clock().now();
  if (Entry.SkippedUntil > Now)
    return;
  const bool IsRepeated = Entry.SkipDuration > Duration::zero() &&
                          Now - Entry.SkippedUntil < SkipResetTime;
  Entry.SkipDuration = IsRepeated
                           ? std::min(Entry.SkipDuration * 2, MaxSkipDuration)
                           : InitialSkipDuration;
  Entry.SkippedUntil = Now + Entry.SkipDuration;
  this->clearFirstCache();
}

void RouterMessenger::leave() {
  this->Leaving = true;
  this->clearFirstCache();
}

void RouterMessenger::send(const std::string &Router, RouterMessage Message) {
  const auto Found = this->Routers.find(Router);
  if (Found != this->Routers.end())
    this->send(Found->second.Address, std::move(Message));
}

void RouterMessenger::send(const Poco::Net::SocketAddress &Address,
                           RouterMessage Message) {
  this->Outbox[Address].push_back(std::move(Message));
  if (this->FlushDue)
    return;
  this->FlushDue = true;
  this->Loop.after(Duration::zero(), [this] { this->flush(); });
}

void RouterMessenger::sendToAll(const RouterMessage &Message) {
  for (const auto &[Name, Listed] : this->Routers)
    if (Name != this->Settings.RouterName)
      this->send(Listed.Address, Message);
}

std::vector<std::string> RouterMessenger::others() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Listed] : this->Routers)
    if (Name != this->Settings.RouterName)
      Names.push_back(Name);
  return Names;
}

MessageFormat RouterMessenger::formatOfReceiver(
    const Poco::Net::SocketAddress &Address) const {
  const auto Found = this->Formats.find(Address);
  return Found == this->Formats.end() ? OldestMessageFormat : Found->second;
}

void RouterMessenger::flush() {
  this->FlushDue = false;
  auto Pending = std::exchange(this->Outbox, {});
  for (auto &[Address, Messages] : Pending) {
    const MessageFormat Format = this->formatOfReceiver(Address);
    std::erase_if(Messages, [Format](const RouterMessage &Each) {
      return !isKnownIn(Format, Each);
    });
    for (std::size_t First = 0, Last = 0; First < Messages.size();
         First = Last) {
      Last = endOfDatagram(Messages, First);
      this->sendDatagram(
          Address,
          encodeMessages({Messages.begin() + static_cast<std::ptrdiff_t>(First),
                          Messages.begin() + static_cast<std::ptrdiff_t>(Last)},
                         Format));
    }
  }
}

void RouterMessenger::sendDatagram(const Poco::Net::SocketAddress &Address,
                                   const std::string &Bytes) {
  this->Datagrams.add();
  try {
    this->Socket.sendTo(Bytes.data(), static_cast<int>(Bytes.size()), Address);
  } catch (const Poco::Exception &Problem) {
    // Equivalent to a lost datagram; requests are resent.
    log(LogPart::Peer, LogLevel::Debug,
        "cannot send to " + Address.toString() + ": " + Problem.displayText());
  }
}

void RouterMessenger::onReadable() {
  static thread_local std::array<char, MaxReceivedSize> Buffer;
  for (int Count = 0; Count < MaxDatagramsPerIteration; ++Count) {
    ::sockaddr_storage From{};
    ::socklen_t Length = sizeof(From);
    // Bypasses Poco, which would throw at the end of each iteration, when no
    // datagram is pending.
    const ::ssize_t Size = ::recvfrom(
        this->Socket.impl()->sockfd(), Buffer.data(), Buffer.size(),
        MSG_DONTWAIT, reinterpret_cast<::sockaddr *>(&From), &Length);
    // Nothing is pending, or an earlier datagram reached a closed port.
    if (Size <= 0)
      return;
    this->onDatagram({Buffer.data(), static_cast<std::size_t>(Size)},
                     Poco::Net::SocketAddress(
                         reinterpret_cast<::sockaddr *>(&From), Length));
  }
}

void RouterMessenger::onDatagram(std::string_view Bytes,
                                 const Poco::Net::SocketAddress &From) {
  const auto Messages = decodeMessages(Bytes);
  if (!Messages) {
    this->Malformed.add();
    return;
  }
  // A router that is not listed yet, or whose entry came from a relay of an
  // earlier release.
  const MessageFormat Format = formatOf(Bytes).value_or(OldestMessageFormat);
  if (Format > this->formatOfReceiver(From) &&
      this->Formats.size() < MaxKnownFormats)
    this->Formats[From] = Format;
  for (const RouterMessage &Each : *Messages)
    this->OnMessage(Each, From);
}

} // namespace parsleywing
