#include "Peer/PeerTransport.h"

#include "Peer/BulkChannel.h"
#include "Peer/PeerOutbox.h"
#include "Peer/ReplayWindow.h"
#include "Runtime/Log.h"
#include "Runtime/Mailbox.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>

namespace parsleywing {
namespace {

/// How long a thread sleeps before it checks whether to stop.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);

/// The maximum number of bulk messages queued for sending; more are dropped.
constexpr std::size_t MaxQueuedBulkMessages = 32;

constexpr int MaxBindAttempts = 16;

struct Sockets {
  Poco::Net::DatagramSocket Datagrams;
  Poco::Net::ServerSocket Connections;
};

/// Binds UDP and TCP to the same port. With port 0, the port that the system
/// selects for UDP may be in use for TCP; the function then tries another.
Result<Sockets> bindSockets(const std::string &Address) {
  try {
    const Poco::Net::SocketAddress Requested(Address);
    for (int Attempt = 0; Attempt < MaxBindAttempts; ++Attempt) {
      Sockets Bound;
      Bound.Datagrams.bind(Requested, false);
      try {
        Bound.Connections.bind(Bound.Datagrams.address(), true, false);
        Bound.Connections.listen();
        return Bound;
      } catch (const Poco::Net::NetException &) {
        if (Requested.port() != 0)
          throw;
      }
    }
    return failure(ErrorCode::Unreachable,
                   "no port is free for both UDP and TCP");
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Unreachable,
                   "cannot bind " + Address + ": " + Problem.displayText());
  }
}

struct BulkMessage {
  RouterId To;
  std::string Address;
  std::string Part;
};

struct DelayedDatagram {
  TimePoint Due;
  std::string Bytes;
  std::string From;
};

} // namespace

class PeerTransport::Impl {
public:
  Impl(PeerSettings Settings, Sink Received, const Clock &Time, Sockets Bound);
  ~Impl();

  void send(const SendToPeer &Outgoing);
  void sendToAddress(const std::string &Address, const PeerPart &Part);
  bool allowsFaults() const { return this->Settings.FaultInjectionAllowed; }
  Poco::JSON::Object::Ptr dump();

  PeerSettings Settings;
  PeerCounters Counters;
  std::string Address;

  std::mutex Mutex; ///< Guards the members below, up to the threads.
  std::map<RouterId, std::string> AddressBook;
  std::set<RouterId> Blocked;
  PeerFaults Faults;

private:
  void runSender();
  void runReceiver();
  void runBulkSender();
  void transmit(const OutgoingBatch &Batch, RouterId To);
  void receiveDatagram();
  void releaseDelayed();
  bool acceptMessage(const std::string &Bytes, const std::string &From,
                     bool Bulk);
  bool admit(const PeerHeader &Header, bool Bulk);
  void enqueue(const std::string &Destination, const PeerPart &Part,
               bool Urgent);
  void enqueueBulk(RouterId To, const std::string &Destination,
                   const PeerPart &Part);
  PeerHeader headerTo(RouterId To);

  Sink Received;
  Clock Time;
  PeerCodec Codec;
  Sockets Bound;
  PeerOutbox Outbox;
  std::map<std::string, RouterId> RouterByAddress;
  std::unordered_map<RouterId, ReplayWindow> ReplayWindows;
  std::size_t QueuedBulkMessages = 0;
  std::uint32_t Sequence = 0;
  std::minstd_rand Random{1};

  std::condition_variable PartQueued;
  std::atomic<bool> Stopping = false;
  std::deque<DelayedDatagram> Delayed; ///< Used by the receiving thread only.
  Mailbox<BulkMessage> BulkQueue;
  std::unique_ptr<BulkServer> BulkReceiver;
  std::thread Sender;
  std::thread Receiver;
  std::thread BulkSender;

  friend class PeerTransport;
};

PeerTransport::Impl::Impl(PeerSettings S, Sink Received, const Clock &Time,
                          Sockets Bound)
    : Settings(std::move(S)), Address(Bound.Datagrams.address().toString()),
      Received(std::move(Received)), Time(Time),
      Codec(this->Settings.FleetSecret), Bound(std::move(Bound)),
      Outbox(this->Settings.BatchingInterval, this->Settings.MaxWait,
             ByteBudget(this->Settings.BytesPerSecond,
                        this->Settings.BurstBytes, Time.now()),
             this->Counters) {
  const BulkLimits Limits{this->Settings.BulkLimitBytes,
                          this->Settings.BulkDeadline};
  this->BulkReceiver = std::make_unique<BulkServer>(
      this->Bound.Connections,
      [this](const std::string &Bytes) {
        return this->acceptMessage(Bytes, {}, true);
      },
      Limits);
  this->Sender = std::thread([this] { this->runSender(); });
  this->Receiver = std::thread([this] { this->runReceiver(); });
  this->BulkSender = std::thread([this] { this->runBulkSender(); });
}

PeerTransport::Impl::~Impl() {
  this->Stopping = true;
  this->PartQueued.notify_all();
  this->BulkQueue.close();
  this->Sender.join();
  this->Receiver.join();
  this->BulkSender.join();
  this->BulkReceiver.reset();
}

void PeerTransport::Impl::send(const SendToPeer &Outgoing) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  const auto Entry = this->AddressBook.find(Outgoing.To);
  if (Entry == this->AddressBook.end())
    return this->Counters.drop(PeerDrop::NoAddress);
  if (this->Blocked.contains(Outgoing.To))
    return this->Counters.drop(PeerDrop::Injected);
  if (Outgoing.Bulk)
    this->enqueueBulk(Outgoing.To, Entry->second, Outgoing.Part);
  else
    this->enqueue(Entry->second, Outgoing.Part, Outgoing.Urgent);
}

void PeerTransport::Impl::sendToAddress(const std::string &Destination,
                                        const PeerPart &Part) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  const auto Entry = this->RouterByAddress.find(Destination);
  if (Entry != this->RouterByAddress.end() &&
      this->Blocked.contains(Entry->second))
    return this->Counters.drop(PeerDrop::Injected);
  this->enqueue(Destination, Part, false);
}

void PeerTransport::Impl::enqueue(const std::string &Destination,
                                  const PeerPart &Part, bool Urgent) {
  const std::string Bytes = PeerCodec::encodePart(Part);
  this->Counters.PartBytesOut[Part.index()] += Bytes.size();
  this->Outbox.add(this->Time.now(), Destination, Bytes, Urgent);
  this->PartQueued.notify_one();
}

void PeerTransport::Impl::enqueueBulk(RouterId To,
                                      const std::string &Destination,
                                      const PeerPart &Part) {
  if (this->QueuedBulkMessages >= MaxQueuedBulkMessages)
    return this->Counters.drop(PeerDrop::OverBudget);
  std::string Bytes = PeerCodec::encodePart(Part);
  if (Bytes.size() + PeerHeaderBytes > this->Settings.BulkLimitBytes)
    return this->Counters.drop(PeerDrop::TooLarge);
  this->Counters.PartBytesOut[Part.index()] += Bytes.size();
  ++this->QueuedBulkMessages;
  this->BulkQueue.put({To, Destination, std::move(Bytes)});
}

PeerHeader PeerTransport::Impl::headerTo(RouterId To) {
  return {this->Settings.Self, this->Settings.Life, To, ++this->Sequence};
}

void PeerTransport::Impl::runSender() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    const TimePoint Now = this->Time.now();
    if (const auto Batch = this->Outbox.take(Now)) {
      const auto Entry = this->RouterByAddress.find(Batch->Destination);
      this->transmit(*Batch, Entry == this->RouterByAddress.end()
                                 ? RouterId{}
                                 : Entry->second);
      continue;
    }
    const auto Due = this->Outbox.nextDue(Now);
    const Duration Wait =
        Due ? std::min(StopCheckInterval, *Due - Now) : StopCheckInterval;
    this->PartQueued.wait_for(Lock, Wait);
  }
}

void PeerTransport::Impl::transmit(const OutgoingBatch &Batch, RouterId To) {
  const std::string Datagram =
      this->Codec.seal(this->headerTo(To), Batch.Parts);
  try {
    this->Bound.Datagrams.sendTo(Datagram.data(),
                                 static_cast<int>(Datagram.size()),
                                 Poco::Net::SocketAddress(Batch.Destination));
  } catch (const Poco::Exception &) {
    return this->Counters.drop(PeerDrop::SendFailed);
  }
  ++this->Counters.DatagramsOut;
  this->Counters.DatagramBytesOut += Datagram.size() + UdpOverheadBytes;
  if (Batch.Urgent)
    ++this->Counters.UrgentOut;
}

void PeerTransport::Impl::runReceiver() {
  while (!this->Stopping) {
    const Duration Wait = this->Delayed.empty()
                              ? StopCheckInterval
                              : Duration(std::chrono::milliseconds(1));
    try {
      if (this->Bound.Datagrams.poll(
              Poco::Timespan(
                  static_cast<Poco::Timespan::TimeDiff>(Wait.count())),
              Poco::Net::Socket::SELECT_READ))
        this->receiveDatagram();
    } catch (const std::exception &) {
      // An ICMP "port unreachable" surfaces as an error of the next read. The
      // unreachable peer itself is detected by the failure detector of
      // membership.
      this->Counters.drop(PeerDrop::Malformed);
    }
    this->releaseDelayed();
  }
}

void PeerTransport::Impl::receiveDatagram() {
  // Larger than any valid datagram, so that an oversized one is detected rather
  // than truncated.
  std::array<char, 2 * DatagramBytes> Buffer{};
  Poco::Net::SocketAddress From;
  const int Count = this->Bound.Datagrams.receiveFrom(
      Buffer.data(), static_cast<int>(Buffer.size()), From);
  if (Count <= 0)
    return;
  const auto Size = static_cast<std::size_t>(Count);
  ++this->Counters.DatagramsIn;
  this->Counters.DatagramBytesIn += Size + UdpOverheadBytes;
  if (Size > DatagramBytes)
    return this->Counters.drop(PeerDrop::Malformed);
  PeerFaults Active;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Active = this->Faults;
  }
  if (this->Random() % 100 < Active.LossPercent)
    return this->Counters.drop(PeerDrop::Injected);
  this->Delayed.push_back({this->Time.now() + Active.Delay,
                           std::string(Buffer.data(), Size), From.toString()});
}

void PeerTransport::Impl::releaseDelayed() {
  while (!this->Delayed.empty() &&
         this->Delayed.front().Due <= this->Time.now()) {
    const DelayedDatagram &Next = this->Delayed.front();
    this->acceptMessage(Next.Bytes, Next.From, false);
    this->Delayed.pop_front();
  }
}

bool PeerTransport::Impl::acceptMessage(const std::string &Bytes,
                                        const std::string &From, bool Bulk) {
  auto Decoded = this->Codec.open(Bytes);
  if (!Decoded) {
    this->Counters.drop(Decoded.error());
    return false;
  }
  if (!this->admit(Decoded->Header, Bulk))
    return false;
  this->Counters.UnreadableParts += Decoded->UnreadableParts;
  if (Bulk) {
    ++this->Counters.BulkIn;
    this->Counters.BulkBytesIn += Bytes.size();
  }
  for (PeerPart &Part : Decoded->Parts)
    this->Received({Decoded->Header.From, Decoded->Header.IncarnationNumber,
                    std::move(Part), From});
  return true;
}

bool PeerTransport::Impl::admit(const PeerHeader &Header, bool Bulk) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const bool Untargeted = Header.To == RouterId{};
  if (Header.From == this->Settings.Self ||
      (!Untargeted && Header.To != this->Settings.Self)) {
    this->Counters.drop(PeerDrop::WrongTarget);
    return false;
  }
  if (this->Blocked.contains(Header.From)) {
    this->Counters.drop(PeerDrop::Injected);
    return false;
  }
  // A bulk message may be retried and may overtake datagrams. It carries
  // complete state, so duplicates do no harm.
  if (!Bulk && !this->ReplayWindows[Header.From].accept(
                   Header.IncarnationNumber, Header.Sequence)) {
    this->Counters.drop(PeerDrop::Duplicate);
    return false;
  }
  return true;
}

void PeerTransport::Impl::runBulkSender() {
  const BulkLimits Limits{this->Settings.BulkLimitBytes,
                          this->Settings.BulkDeadline};
  while (!this->Stopping) {
    const auto Outgoing = this->BulkQueue.take(StopCheckInterval);
    if (!Outgoing)
      continue;
    PeerHeader Header;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      --this->QueuedBulkMessages;
      Header = this->headerTo(Outgoing->To);
    }
    const std::string Message = this->Codec.seal(Header, Outgoing->Part);
    if (!sendBulk(Outgoing->Address, Message, Limits)) {
      this->Counters.drop(PeerDrop::SendFailed);
      continue;
    }
    ++this->Counters.BulkOut;
    this->Counters.BulkBytesOut += Message.size();
  }
}

Poco::JSON::Object::Ptr PeerTransport::Impl::dump() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Poco::JSON::Object::Ptr Addresses = new Poco::JSON::Object;
  for (const auto &[Peer, PeerAddress] : this->AddressBook)
    Addresses->set(std::to_string(Peer.Value), PeerAddress);
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("address", this->Address);
  Dump->set("bytes_per_second", this->Settings.BytesPerSecond);
  Dump->set("burst_bytes", this->Settings.BurstBytes);
  Dump->set("blocked_peers", this->Blocked.size());
  Dump->set("addresses", Addresses);
  Dump->set("counters", this->Counters.dump());
  return Dump;
}

Result<std::unique_ptr<PeerTransport>>
PeerTransport::start(PeerSettings Settings, Sink Received, const Clock &Time) {
  auto Bound = bindSockets(Settings.BindAddress);
  if (!Bound)
    return tl::unexpected(Bound.error());
  auto State = std::make_unique<Impl>(std::move(Settings), std::move(Received),
                                      Time, std::move(*Bound));
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(State)));
}

PeerTransport::PeerTransport(std::unique_ptr<Impl> State)
    : State(std::move(State)) {}

PeerTransport::~PeerTransport() = default;

void PeerTransport::send(const SendToPeer &Outgoing) {
  this->State->send(Outgoing);
}

void PeerTransport::sendToAddress(const std::string &Address,
                                  const PeerPart &Part) {
  this->State->sendToAddress(Address, Part);
}

Result<void> PeerTransport::setAddress(RouterId Peer,
                                       const std::string &Address) {
  std::string Canonical;
  try {
    Canonical = Poco::Net::SocketAddress(Address).toString();
  } catch (const Poco::Exception &) {
    return failure(ErrorCode::InvalidInput, "not an IP:port: " + Address);
  }
  this->removeAddress(Peer);
  std::lock_guard<std::mutex> Lock(this->State->Mutex);
  this->State->AddressBook[Peer] = Canonical;
  this->State->RouterByAddress[Canonical] = Peer;
  return {};
}

void PeerTransport::removeAddress(RouterId Peer) {
  std::lock_guard<std::mutex> Lock(this->State->Mutex);
  const auto Entry = this->State->AddressBook.find(Peer);
  if (Entry == this->State->AddressBook.end())
    return;
  // The address may meanwhile belong to the router that replaced this one.
  const auto Reverse = this->State->RouterByAddress.find(Entry->second);
  if (Reverse != this->State->RouterByAddress.end() && Reverse->second == Peer)
    this->State->RouterByAddress.erase(Reverse);
  this->State->AddressBook.erase(Entry);
}

Result<void> PeerTransport::setBlockedPeers(std::set<RouterId> Peers) {
  if (!this->State->allowsFaults())
    return failure(ErrorCode::Denied, "fault injection is off");
  std::lock_guard<std::mutex> Lock(this->State->Mutex);
  this->State->Blocked = std::move(Peers);
  return {};
}

Result<void> PeerTransport::setFaults(PeerFaults Faults) {
  if (!this->State->allowsFaults())
    return failure(ErrorCode::Denied, "fault injection is off");
  std::lock_guard<std::mutex> Lock(this->State->Mutex);
  this->State->Faults = Faults;
  return {};
}

const PeerCounters &PeerTransport::counters() const {
  return this->State->Counters;
}

std::string PeerTransport::address() const { return this->State->Address; }

Poco::JSON::Object::Ptr PeerTransport::dump() const {
  return this->State->dump();
}

} // namespace parsleywing
