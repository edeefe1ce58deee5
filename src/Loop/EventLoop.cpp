#include "Loop/EventLoop.h"

#include <algorithm>
#include <thread>

namespace parsleywing {

namespace {

/// Maximum time of one poll. Tasks posted by other threads are picked up
/// between polls, which saves a socket used only to wake the loop. Ten wake-ups
/// per second cost less than 0.02 % of a core.
constexpr Duration MaxPollWait = std::chrono::milliseconds(50);

/// Number of iterations with due timers over which the lag is averaged, about
/// 50 ms of a busy loop.
constexpr Duration::rep LagSamples = 8;

} // namespace

void EventLoop::add(const Poco::Net::Socket &Socket, int Modes,
                    SocketHandler Handler) {
  this->Sockets[Socket.impl()] = {
      Modes, std::make_shared<SocketHandler>(std::move(Handler))};
  this->Poll.add(Socket, Modes);
}

void EventLoop::update(const Poco::Net::Socket &Socket, int Modes) {
  const auto Found = this->Sockets.find(Socket.impl());
  if (Found == this->Sockets.end() || Found->second.Modes == Modes)
    return;
  Found->second.Modes = Modes;
  this->Poll.update(Socket, Modes);
}

void EventLoop::remove(const Poco::Net::Socket &Socket) {
  if (this->Sockets.erase(Socket.impl()) > 0)
    this->Poll.remove(Socket);
}

TimerId EventLoop::after(Duration Delay, Task TimerTask) {
  const TimerId Timer = ++this->LastTimerId;
  const TimePoint Deadline = this->Time.now() + Delay;
  this->Timers.emplace(std::pair(Deadline, Timer), std::move(TimerTask));
  this->TimerDeadlines.emplace(Timer, Deadline);
  return Timer;
}

void EventLoop::cancel(TimerId Timer) {
  const auto Found = this->TimerDeadlines.find(Timer);
  if (Found == this->TimerDeadlines.end())
    return;
  this->Timers.erase({Found->second, Timer});
  this->TimerDeadlines.erase(Found);
}

void EventLoop::post(Task NewTask) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->PostedTasks.push_back(std::move(NewTask));
}

void EventLoop::run() {
  while (!this->Stopping) {
    this->pollSockets(this->untilNextTimer());
    this->runPostedTasks();
    this->runDueTimers();
  }
}

Duration EventLoop::untilNextTimer() const {
  if (this->Timers.empty())
    return MaxPollWait;
  const Duration TimeLeft =
      this->Timers.begin()->first.first - this->Time.now();
  return std::clamp(TimeLeft, Duration::zero(), MaxPollWait);
}

void EventLoop::runPostedTasks() {
  std::vector<Task> Tasks;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Tasks.swap(this->PostedTasks);
  }
  for (const Task &Each : Tasks)
    Each();
}

/// Polls the sockets again between reading the time and running the timers that
/// are due by then. The process may have stood still at any step, and data that
/// arrived meanwhile must be read before a timer reports that it is missing.
void EventLoop::runDueTimers() {
  if (this->Timers.empty())
    return;
  const TimePoint Now = this->Time.now();
  const TimePoint FirstDeadline = this->Timers.begin()->first.first;
  if (FirstDeadline > Now)
    return;
  this->Lag += ((Now - FirstDeadline).count() - this->Lag) / LagSamples;
  this->pollSockets(Duration::zero());
  while (!this->Timers.empty() && this->Timers.begin()->first.first <= Now) {
    const auto First = this->Timers.begin();
    const Task TimerTask = std::move(First->second);
    this->TimerDeadlines.erase(First->first.second);
    this->Timers.erase(First);
    TimerTask();
  }
}

void EventLoop::pollSockets(Duration Timeout) {
  // Poco waits in whole milliseconds. Rounding up keeps the loop from spinning
  // until the next timer is due.
  const auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Timeout);
  const TimePoint Before =
      Rounded > Rounded.zero() ? this->Time.now() : TimePoint{};
  // Poco does not wait if it has no sockets to poll.
  if (this->Sockets.empty())
    std::this_thread::sleep_for(Rounded);
  const auto Ready = this->Poll.poll(Poco::Timespan(Duration(Rounded).count()));
  if (Rounded > Rounded.zero()) {
    const TimePoint After = this->Time.now();
    this->Waited += After - Before;
    if (this->IterationStart != TimePoint{})
      this->LongestIteration =
          std::max(this->LongestIteration, Before - this->IterationStart);
    this->IterationStart = After;
  }
  for (const auto &[Socket, Modes] : Ready) {
    const auto Found = this->Sockets.find(Socket.impl());
    if (Found == this->Sockets.end())
      continue;
    const std::shared_ptr<SocketHandler> Handler = Found->second.Handler;
    (*Handler)(Modes);
  }
}

} // namespace parsleywing
