#include "Gateway/ConnectionRelays.h"

#include "Runtime/Log.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <optional>
#include <set>
#include <utility>

namespace parsleywing {

namespace {

/// The message may be lost. Between two of them the target's loop has time for
/// the closes.
constexpr Duration CloseMessageInterval = std::chrono::milliseconds(200);

/// An address with a numeric IP and a port. Host names are not resolved, which
/// would block the loop.
std::optional<Poco::Net::SocketAddress> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  Poco::Net::IPAddress Host;
  unsigned Port = 0;
  if (!Poco::Net::IPAddress::tryParse(Text.substr(0, Colon), Host) ||
      !Poco::NumberParser::tryParseUnsigned(Text.substr(Colon + 1), Port) ||
      Port == 0 || Port > UINT16_MAX)
    return std::nullopt;
  return Poco::Net::SocketAddress(Host, static_cast<Poco::UInt16>(Port));
}

} // namespace

ConnectionRelays::ConnectionRelays(EventLoop &L, RouterMessenger &R,
                                   OverloadAgent &O,
                                   const std::string &PeerAddress, Metrics &M)
    : Loop(L), Routers(R), Overload(O),
      Opened(M.counter({"relays_total",
                        "Caller connections that this router began to relay "
                        "to another router.",
                        ""})),
      Failed(M.counter({"relays_failed_total",
                        "Of these, those served here because the other router "
                        "could not be reached.",
                        ""})),
      BytesToTargets(M.counter({"relayed_bytes_total",
                                "Bytes of relayed connections that have ended.",
                                "to=\"router\""})),
      BytesToCallers(M.counter({"relayed_bytes_total",
                                "Bytes of relayed connections that have ended.",
                                "to=\"caller\""})) {
  if (const auto Own = parseAddress(PeerAddress))
    this->LocalAddress = Own->host();
  M.callback(MetricKind::Gauge,
             {"relays_open",
              "Caller connections that this router relays to other routers.",
              ""},
             [this] { return static_cast<double>(this->Relays.size()); });
}

ConnectionRelays::~ConnectionRelays() {
  this->Loop.cancel(this->CloseTimer);
  const auto Open = std::exchange(this->Relays, {});
}

void ConnectionRelays::setRouters(const RouterList &Listed) {
  this->RouterAtAddress.clear();
  for (const auto &[Name, Endpoint] : Listed)
    if (Name != this->Routers.self())
      if (const auto Address = parseAddress(Endpoint.Address))
        this->RouterAtAddress[Address->host()] = Name;
}

std::optional<RelaySource>
ConnectionRelays::sourceOf(const Poco::Net::StreamSocket &Accepted) const {
  try {
    const Poco::Net::IPAddress Host = Accepted.peerAddress().host();
    const auto Found = this->RouterAtAddress.find(Host);
    if (Found != this->RouterAtAddress.end())
      return RelaySource{Found->second, Host};
  } catch (const Poco::Exception &) {
    // The peer has reset the connection already.
  }
  return std::nullopt;
}

bool ConnectionRelays::tryRelay(const std::shared_ptr<ByteChannel> &Caller,
                                bool IsFromRouter, ServeCallback ServeHere) {
  if (!this->Overload.relaysActive())
    return false;
  RelayPolicy &Policy = this->Overload.relayPolicy();
  const auto Chosen =
      Policy.choose(this->Loop.lag(), IsFromRouter, this->Loop.clock().now());
  if (!Chosen)
    return false;
  auto Address = parseAddress(Chosen->Address);
  const Poco::Net::SocketAddress *Listed =
      this->Routers.addressOf(Chosen->Router);
  if (!Address || Listed == nullptr)
    return false;
  if (Address->host().isWildcard())
    Address = Poco::Net::SocketAddress(Listed->host(), Address->port());
  auto Relay = std::make_shared<ConnectionRelay>(this->Loop, Caller);
  ConnectionRelay *Key = Relay.get();
  Relay->setCallbacks(
      {[this, Key, ServeHere = std::move(ServeHere)](
           const std::shared_ptr<ByteChannel> &Channel) {
         this->Failed.add();
         const auto Found = this->Relays.find(Key);
         if (Found != this->Relays.end())
           this->Overload.relayPolicy().recordUnreachable(Found->second.Router);
         this->onEnded(Key, "not-connected");
         ServeHere(Channel);
       },
       [this, Key](const char *Reason) { this->onEnded(Key, Reason); }});
  this->Opened.add();
  if (!Relay->start(*Address, this->LocalAddress)) {
    this->Failed.add();
    return false;
  }
  Policy.recordOpened(Chosen->Router);
  this->Relays.emplace(Key, Entry{std::move(Relay), Chosen->Router});
  return true;
}

void ConnectionRelays::onEnded(ConnectionRelay *Relay, const char *Reason) {
  const auto Found = this->Relays.find(Relay);
  if (Found == this->Relays.end())
    return;
  const Entry Ended = std::move(Found->second);
  this->Relays.erase(Found);
  this->Overload.relayPolicy().recordEnded(Ended.Router);
  this->BytesToTargets.add(Relay->bytesToTarget());
  this->BytesToCallers.add(Relay->bytesToCaller());
  logLazily(LogPart::Caller, [&] {
    const std::chrono::duration<double> Duration =
        this->Loop.clock().now() - Relay->startedAt();
    return "relay target=" + Ended.Router + " outcome=" + Reason +
           " to-target=" + std::to_string(Relay->bytesToTarget()) +
           " to-caller=" + std::to_string(Relay->bytesToCaller()) +
           " duration=" + std::to_string(Duration.count());
  });
}

void ConnectionRelays::drain() {
  if (this->Relays.empty())
    return;
  this->askTargetsToClose();
  this->CloseTimer =
      this->Loop.after(CloseMessageInterval, [this] { this->drain(); });
}

void ConnectionRelays::askTargetsToClose() {
  for (const auto &[Router, Count] : this->Overload.relayPolicy().open())
    this->Routers.send(Router, RelayedConnectionsClose{{}, this->ClosingIdle});
}

void ConnectionRelays::abortAll() {
  const auto Open = this->Relays;
  for (const auto &[Key, Each] : Open)
    Each.Relay->abort();
}

Poco::JSON::Object::Ptr ConnectionRelays::dump() const {
  Poco::JSON::Object::Ptr Result = new Poco::JSON::Object;
  Result->set("active", this->Overload.relaysActive());
  Result->set("opened", this->Opened.value());
  Result->set("failed", this->Failed.value());
  Poco::JSON::Object::Ptr Open = new Poco::JSON::Object;
  for (const auto &[Router, Count] : this->Overload.relayPolicy().open())
    Open->set(Router, Count);
  Result->set("openByRouter", Open);
  return Result;
}

} // namespace parsleywing
