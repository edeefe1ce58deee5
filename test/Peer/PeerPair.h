#ifndef PARSLEYWING_TEST_PEER_PEERPAIR_H
#define PARSLEYWING_TEST_PEER_PEERPAIR_H

#include "Peer/PeerTransport.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing::test {

/// Collects the parts that a transport delivers.
class Inbox {
public:
  PeerTransport::Sink sink() {
    return [this](PeerPartReceived Received) {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Parts.push_back(std::move(Received));
    };
  }

  std::size_t size() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Parts.size();
  }

  PeerPartReceived at(std::size_t Index) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Parts.at(Index);
  }

private:
  std::mutex Mutex;
  std::vector<PeerPartReceived> Parts;
};

inline PeerSettings loopbackSettings(std::uint64_t Router) {
  PeerSettings Settings;
  Settings.Self = RouterId{Router};
  Settings.Life = 1;
  Settings.BindAddress = "127.0.0.1:0";
  Settings.FleetSecret = "secret of the tests";
  return Settings;
}

/// Two transports on loopback that have each other's addresses.
struct PeerPair {
  Inbox LeftInbox;
  Inbox RightInbox;
  std::unique_ptr<PeerTransport> Left;
  std::unique_ptr<PeerTransport> Right;

  explicit PeerPair(const PeerSettings &LeftSettings = loopbackSettings(1),
                    const PeerSettings &RightSettings = loopbackSettings(2)) {
    this->Left =
        std::move(*PeerTransport::start(LeftSettings, this->LeftInbox.sink()));
    this->Right = std::move(
        *PeerTransport::start(RightSettings, this->RightInbox.sink()));
    (void)this->Left->setAddress(RouterId{2}, this->Right->address());
    (void)this->Right->setAddress(RouterId{1}, this->Left->address());
  }
};

/// Polls until the condition holds. Returns false if it does not within 10 s.
inline bool eventually(const std::function<bool()> &Condition) {
  for (int Poll = 0; Poll < 2000; ++Poll) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

/// Returns a part of about this many bytes.
inline PeerPart partOf(std::size_t Bytes, std::uint32_t Number = 0) {
  MembershipMessage Message;
  Message.Number = Number;
  RouterRecord Record;
  Record.Name = std::string(Bytes, 'x');
  Message.Records.push_back(Record);
  return Message;
}

inline std::uint32_t numberOf(const PeerPartReceived &Received) {
  return std::get<MembershipMessage>(Received.Part).Number;
}

} // namespace parsleywing::test

#endif
