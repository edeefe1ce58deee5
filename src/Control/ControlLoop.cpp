#include "Control/ControlLoop.h"

#include "Runtime/Overloaded.h"

#include <condition_variable>

namespace parsleywing {

namespace {

/// The longest time between two looks at deadlines.
constexpr Duration TickInterval = std::chrono::milliseconds(10);

/// The request whose thread carries the action out; nothing for actions that
/// concern other routers, the platform or the whole process.
std::optional<RequestId> channelOf(const Action &Decision) {
  using MaybeRequest = std::optional<RequestId>;
  return std::visit(
      Overloaded{
          [](const StartAttempt &A) { return MaybeRequest(A.Request); },
          [](const ResumeAttempt &A) { return MaybeRequest(A.Request); },
          [](const HandOverRequest &A) { return MaybeRequest(A.Request); },
          [](const CancelAttempt &A) { return MaybeRequest(A.Request); },
          [](const FinishRequest &A) { return MaybeRequest(A.Request); },
          [](const auto &) { return MaybeRequest(); },
      },
      Decision);
}

/// A function handed to the control thread. The one who asked may give up and
/// take away what the function refers to, so that it must not run afterwards:
/// both sides decide under one lock.
class Question {
public:
  explicit Question(std::function<void()> W) : Work(std::move(W)) {}

  void run() {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->GivenUp)
        return;
      this->Work();
      this->Done = true;
    }
    this->Finished.notify_all();
  }

  /// True where the function ran within the limit.
  bool wait(Duration Limit) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Finished.wait_for(Lock, Limit, [this] { return this->Done; });
    this->GivenUp = !this->Done;
    return this->Done;
  }

private:
  std::function<void()> Work;
  std::mutex Mutex;
  std::condition_variable Finished;
  bool Done = false;
  bool GivenUp = false;
};

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
    const auto Next = this->Events.take(TickInterval);
    if (Next)
      std::visit(Overloaded{
                     [this](const Event &Happened) { this->handle(Happened); },
                     [](const std::function<void()> &Work) { Work(); },
                 },
                 *Next);
    const TimePoint Now = this->Time.now();
    if (Now >= NextTick) {
      NextTick = Now + TickInterval;
      this->handle(Tick{});
    }
  }
}

void ControlLoop::handle(const Event &Happened) {
  for (const Action &Decision : this->Core.handle(this->Time.now(), Happened))
    this->deliver(Decision);
  this->Open = this->Core.openRequests();
}

bool ControlLoop::ask(std::function<void()> Work, Duration Limit) {
  const auto Asked = std::make_shared<Question>(std::move(Work));
  this->Events.put(std::function<void()>([Asked] { Asked->run(); }));
  return Asked->wait(Limit);
}

std::size_t ControlLoop::openChannels() const {
  std::lock_guard<std::mutex> Lock(this->ChannelMutex);
  return this->Channels.size();
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
    std::lock_guard<std::mutex> Lock(this->ChannelMutex);
    auto Found = this->Channels.find(*Request);
    if (Found == this->Channels.end())
      return;
    Channel = Found->second;
  }
  Channel->put(Decision);
}

std::shared_ptr<RequestChannel> ControlLoop::openChannel(RequestId Request) {
  auto Channel = std::make_shared<RequestChannel>();
  std::lock_guard<std::mutex> Lock(this->ChannelMutex);
  this->Channels[Request] = Channel;
  return Channel;
}

void ControlLoop::closeChannel(RequestId Request) {
  std::lock_guard<std::mutex> Lock(this->ChannelMutex);
  this->Channels.erase(Request);
}

} // namespace parsleywing
