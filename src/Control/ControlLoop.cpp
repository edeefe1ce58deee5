#include "Control/ControlLoop.h"

#include "Runtime/Overloaded.h"

namespace parsleywing {

namespace {

/// The longest time between two looks at deadlines.
constexpr Duration TickInterval = std::chrono::milliseconds(10);

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
  // Messages to other routers have no request; until the exchange is wired
  // in, this router is alone and sends none.
  if (std::holds_alternative<SendFairMessage>(Decision))
    return;
  const RequestId Request =
      std::visit(Overloaded{[](const SendFairMessage &) { return RequestId{}; },
                            [](const auto &A) { return A.Request; }},
                 Decision);
  std::shared_ptr<RequestChannel> Channel;
  {
    std::lock_guard<std::mutex> Lock(this->ChannelGuard);
    auto Found = this->Channels.find(Request);
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
