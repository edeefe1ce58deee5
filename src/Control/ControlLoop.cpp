#include "Control/ControlLoop.h"

#include "Runtime/Overloaded.h"

#include <condition_variable>
#include <utility>

namespace parsleywing {

namespace {

/// The maximum time between two ticks, which check deadlines.
constexpr Duration TickInterval = std::chrono::milliseconds(10);

/// A longer time between two readings of the clock means that the process, or
/// this thread, did not run.
constexpr Duration StandstillTime = std::chrono::milliseconds(200);

/// How long ticks wait after a standstill, for other threads to post what
/// arrived meanwhile.
constexpr Duration WakeUpTime = std::chrono::milliseconds(50);

/// Returns the request whose channel receives the action; nothing for actions
/// that concern other routers, the platform or the whole process.
std::optional<RequestId> channelOf(const Action &NewAction) {
  using OptionalRequest = std::optional<RequestId>;
  return std::visit(
      Overloaded{
          [](const StartAttempt &A) { return OptionalRequest(A.Request); },
          [](const ResumeAttempt &A) { return OptionalRequest(A.Request); },
          [](const HandOverRequest &A) { return OptionalRequest(A.Request); },
          [](const CancelAttempt &A) { return OptionalRequest(A.Request); },
          [](const FinishRequest &A) { return OptionalRequest(A.Request); },
          [](const auto &) { return OptionalRequest(); },
      },
      NewAction);
}

/// A function call on the control thread. The caller may time out and destroy
/// the objects that the function refers to, after which it must not run: the
/// call and its cancellation are serialized by one mutex.
class ControlThreadCall {
public:
  explicit ControlThreadCall(std::function<void()> W) : Work(std::move(W)) {}

  void run() {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Abandoned)
        return;
      this->Work();
      this->Done = true;
    }
    this->Finished.notify_all();
  }

  /// Returns true if the function ran within the limit.
  bool wait(Duration Limit) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Finished.wait_for(Lock, Limit, [this] { return this->Done; });
    this->Abandoned = !this->Done;
    return this->Done;
  }

private:
  std::function<void()> Work;
  std::mutex Mutex;
  std::condition_variable Finished;
  bool Done = false;
  bool Abandoned = false;
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
  TimePoint LastReading = this->Time.now();
  TimePoint NextTick = LastReading;
  bool Postponed = false;
  while (!this->Stopping) {
    this->processNext(TickInterval);
    const TimePoint Now = this->Time.now();
    const bool StoodStill = Now - LastReading > StandstillTime;
    LastReading = Now;
    // Once only: decisions that take this long must not keep ticks away.
    if (StoodStill && !std::exchange(Postponed, true))
      NextTick = Now + WakeUpTime;
    if (Now < NextTick)
      continue;
    Postponed = false;
    NextTick = Now + TickInterval;
    // A deadline has not passed for what is in the queue already.
    for (std::size_t Posted = this->Events.size(); Posted > 0; --Posted)
      this->processNext(Duration::zero());
    this->handle(Tick{});
  }
}

void ControlLoop::processNext(Duration MaxWait) {
  const auto Next = this->Events.take(MaxWait);
  if (!Next)
    return;
  std::visit(Overloaded{
                 [this](const Event &NewEvent) { this->handle(NewEvent); },
                 [](const std::function<void()> &Work) { Work(); },
             },
             *Next);
}

void ControlLoop::handle(const Event &NewEvent) {
  for (const Action &NewAction : this->Core.handle(this->Time.now(), NewEvent))
    this->deliver(NewAction);
  this->Open = this->Core.openRequests();
}

bool ControlLoop::ask(std::function<void()> Work, Duration Limit) {
  const auto Call = std::make_shared<ControlThreadCall>(std::move(Work));
  this->Events.put(std::function<void()>([Call] { Call->run(); }));
  return Call->wait(Limit);
}

std::size_t ControlLoop::openChannels() const {
  std::lock_guard<std::mutex> Lock(this->ChannelMutex);
  return this->Channels.size();
}

void ControlLoop::deliver(const Action &NewAction) {
  const std::optional<RequestId> Request = channelOf(NewAction);
  if (!Request) {
    if (this->Sink)
      this->Sink(NewAction);
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
  Channel->put(NewAction);
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
