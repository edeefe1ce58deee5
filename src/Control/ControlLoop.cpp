#include "Control/ControlLoop.h"

#include "Runtime/Overloaded.h"

namespace parsleywing {

namespace {

/// The longest time between two looks at deadlines.
constexpr Duration TickInterval = std::chrono::milliseconds(10);

/// The request whose thread carries the action out; nothing for actions that
/// concern the platform or the whole router.
std::optional<RequestId> channelOf(const Action &Decision) {
  using MaybeRequest = std::optional<RequestId>;
  return std::visit(
      Overloaded{
          [](const ClaimRunRecord &) { return MaybeRequest(); },
          [](const CompleteRunRecord &) { return MaybeRequest(); },
          [](const ReleaseRunRecord &) { return MaybeRequest(); },
          [](const DrainFinished &) { return MaybeRequest(); },
          [](const auto &A) { return MaybeRequest(A.Request); },
      },
      Decision);
}

} // namespace

void ControlLoop::start() {
  this->Thread = std::thread([this] { this->run(); });
}

void ControlLoop::stop() {
  this->Stopping = true;
  this->Events.close();
  if (this->Thread.joinable())
    this->Thread.join();
}

void ControlLoop::run() {
  TimePoint NextTick = this->Time.now();
  while (!this->Stopping) {
    std::optional<Event> Happened = this->Events.take(TickInterval);
    const TimePoint Now = this->Time.now();
    if (Happened)
      for (const Action &Decision : this->Core.handle(Now, *Happened))
        this->deliver(Decision);
    if (Now >= NextTick) {
      NextTick = Now + TickInterval;
      for (const Action &Decision : this->Core.handle(Now, Tick{}))
        this->deliver(Decision);
    }
    this->Open = this->Core.openRequests();
  }
}

void ControlLoop::deliver(const Action &Decision) {
  const std::optional<RequestId> Request = channelOf(Decision);
  if (!Request) {
    if (this->Sink)
      this->Sink(Decision);
    return;
  }
  std::shared_ptr<RequestChannel> Channel;
  {
    std::lock_guard<std::mutex> Lock(this->ChannelGuard);
    auto Found = this->Channels.find(*Request);
    if (Found == this->Channels.end())
      return;
    Channel = Found->second;
  }
  Channel->put(Decision);
}

std::shared_ptr<RequestChannel> ControlLoop::openChannel(RequestId Request) {
  auto Channel = std::make_shared<RequestChannel>();
  std::lock_guard<std::mutex> Lock(this->ChannelGuard);
  this->Channels[Request] = Channel;
  return Channel;
}

void ControlLoop::closeChannel(RequestId Request) {
  std::lock_guard<std::mutex> Lock(this->ChannelGuard);
  this->Channels.erase(Request);
}

} // namespace parsleywing
