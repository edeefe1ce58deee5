#include "Gateway/HistoryCheck.h"

#include <algorithm>
#include <set>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MaxRuns = 2;
constexpr int StatusOk = 200;
constexpr int StatusNotRun = 503;
/// From the end of a request's time to the end of its response.
constexpr auto ResponseMargin = 500ms;
/// Within this time of the first event of one attempt, the other is closed.
constexpr auto MaxCloseDelay = 500ms;
/// A server notices a request, or a closed connection, this much later.
constexpr auto NoticeDelay = 300ms;

long since(SteadyTime Start, SteadyTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time - Start)
      .count();
}

bool isOpenAt(const ServerArrival &Arrival, SteadyTime Time) {
  return Arrival.Begin <= Time && Time < Arrival.End;
}

/// Whether another server's response, which may have reached the router first,
/// can be the reason that this attempt was closed.
bool mayHaveLost(const ServerArrival &Closed, const ServerArrival &Other) {
  if (&Other == &Closed || Other.Reaction == ServerReaction::Reject ||
      Other.Reaction == ServerReaction::Fail)
    return false;
  return std::ranges::any_of(Other.Sent, [&Closed](SteadyTime Each) {
    return Each >= Closed.Begin - NoticeDelay && Each <= Closed.End;
  });
}

/// The first event that one of the two sends while both are open.
std::optional<SteadyTime> firstEventOfBoth(const ServerArrival &One,
                                           const ServerArrival &Other) {
  std::optional<SteadyTime> First;
  for (const ServerArrival *Sender : {&One, &Other})
    for (const SteadyTime Each : Sender->Events)
      if (isOpenAt(One, Each) && isOpenAt(Other, Each))
        First = std::min(First.value_or(Each), Each);
  return First;
}

std::string expectedEvents(const std::string &Version, std::size_t Count) {
  std::string Text;
  for (std::size_t Each = 1; Each <= Count; ++Each)
    Text += "id: " + std::to_string(Each) + "\ndata: " + Version + "\n\n";
  return Text;
}

} // namespace

std::vector<std::string> HistoryCheck::run() {
  for (const auto &Each : this->History.callers())
    this->checkCaller(*Each);
  this->checkAccounts();
  this->checkRetries();
  return this->Violations;
}

HistoryCheck::Arrivals
HistoryCheck::arrivalsOf(const HistoryCaller &Caller) const {
  Arrivals Seen;
  for (const ServerArrival &Each : this->History.arrivals())
    if (Each.RequestId == "r" + std::to_string(Caller.number()))
      Seen.push_back(&Each);
  return Seen;
}

void HistoryCheck::checkCaller(const HistoryCaller &Caller) {
  const Arrivals Seen = this->arrivalsOf(Caller);
  this->checkResponse(Caller);
  this->checkEvents(Caller);
  this->checkRuns(Caller, Seen);
  this->checkClosed(Caller, Seen);
  this->checkLosers(Caller, Seen);
}

void HistoryCheck::checkResponse(const HistoryCaller &Caller) {
  if (Caller.hasLeft())
    return;
  if (Caller.status() == 0)
    this->report(Caller, "has no response");
  else if (!Caller.isComplete() &&
           !(Caller.isStream() && Caller.status() == StatusOk))
    this->report(Caller, "has an incomplete response that is no stream");
  if (Caller.endedAt() >
      Caller.sentAt() + HistoryCaller::Timeout + ResponseMargin)
    this->report(Caller, "ended after its time");
}

void HistoryCheck::checkEvents(const HistoryCaller &Caller) {
  if (!Caller.isStream() || Caller.status() != StatusOk)
    return;
  const std::string &Payload = Caller.payload();
  const std::size_t Count =
      static_cast<std::size_t>(std::ranges::count(Payload, ':') / 2);
  const bool InOrder = Payload == expectedEvents("v1", Count) ||
                       Payload == expectedEvents("v2", Count);
  if (!InOrder)
    this->report(Caller,
                 "events are repeated, missing or of two versions: " + Payload);
  if (Caller.isComplete() && Count != RequestHistory::EventCount)
    this->report(Caller, "stream ends as if complete: " + Payload);
}

void HistoryCheck::checkRuns(const HistoryCaller &Caller,
                             const Arrivals &Seen) {
  const auto Runs = static_cast<std::uint64_t>(
      std::ranges::count_if(Seen, &ServerArrival::mayRun));
  if (Runs > (Caller.isRepeatable() ? MaxRuns : 1))
    this->report(Caller, "ran too often");
  if (Runs > 0 && Caller.status() == StatusNotRun)
    this->report(Caller, "is told that it has not run");
}

void HistoryCheck::checkClosed(const HistoryCaller &Caller,
                               const Arrivals &Seen) {
  for (const ServerArrival *Each : Seen) {
    if (!Each->ClosedEarly || !Each->goesOn() || Each->Crashed)
      continue;
    const bool CallerLeft =
        Caller.hasLeft() && Each->End >= Caller.endedAt() - NoticeDelay;
    const bool TimeOver =
        Each->End >= Caller.sentAt() + HistoryCaller::Timeout - NoticeDelay;
    const bool Lost =
        std::ranges::any_of(Seen, [Each](const ServerArrival *Other) {
          return mayHaveLost(*Each, *Other);
        });
    if (!CallerLeft && !TimeOver && !Lost)
      this->report(Caller, "server s" + std::to_string(Each->Server) +
                               " was given up though no other responded");
  }
}

void HistoryCheck::checkLosers(const HistoryCaller &Caller,
                               const Arrivals &Seen) {
  for (std::size_t One = 0; One < Seen.size(); ++One)
    for (std::size_t Other = One + 1; Other < Seen.size(); ++Other) {
      const auto First = firstEventOfBoth(*Seen.at(One), *Seen.at(Other));
      if (First && isOpenAt(*Seen.at(One), *First + MaxCloseDelay) &&
          isOpenAt(*Seen.at(Other), *First + MaxCloseDelay))
        this->report(Caller, "both attempts stay open after an event");
    }
}

void HistoryCheck::checkAccounts() {
  const auto Check = [this](const std::string &What, std::uint64_t Value,
                            std::uint64_t Expected) {
    if (Value != Expected)
      this->Violations.push_back(
          "seed " + std::to_string(this->History.seed()) + ": " + What + " " +
          std::to_string(Value) + " instead of " + std::to_string(Expected));
  };
  const auto Ended = [this](const std::string &Outcome) {
    return this->History.metric("requests_ended_total{outcome=\"" + Outcome +
                                "\"}");
  };
  Check("requests", this->History.metric("requests_total"),
        this->History.callers().size());
  Check("ends", this->History.metric("requests_ended_total"),
        this->History.metric("requests_total"));
  Check("active requests", this->History.metric("requests_active"), 0);
  Check("terminations", this->History.metric("requests_terminated_total"),
        Ended("failed") + Ended("cut_off") + Ended("caller_left"));
  Check("refusals", this->History.metric("requests_refused_total"),
        Ended("refused"));
}

void HistoryCheck::checkRetries() {
  std::set<std::string> Requests;
  for (const ServerArrival &Each : this->History.arrivals())
    Requests.insert(Each.RequestId);
  const std::size_t Retries = this->History.arrivals().size() - Requests.size();
  const RetryBounds &Bounds = this->History.retries();
  const double Allowed =
      Bounds.Ratio * static_cast<double>(this->History.callers().size()) +
      Bounds.Slack;
  if (static_cast<double>(Retries) > Allowed)
    this->Violations.push_back("seed " + std::to_string(this->History.seed()) +
                               ": " + std::to_string(Retries) + " retries");
}

void HistoryCheck::report(const HistoryCaller &Caller,
                          const std::string &Text) {
  this->Violations.push_back("seed " + std::to_string(this->History.seed()) +
                             ": " + Text + "\n" + this->describe(Caller));
}

std::string HistoryCheck::describe(const HistoryCaller &Caller) const {
  const SteadyTime Start = Caller.sentAt();
  std::string Text = "  " + Caller.route() + " request r" +
                     std::to_string(Caller.number()) + " status " +
                     std::to_string(Caller.status()) +
                     (Caller.isComplete() ? " complete" : " incomplete") +
                     (Caller.hasLeft() ? " left" : "") + " after " +
                     std::to_string(since(Start, Caller.endedAt())) + " ms\n";
  for (const ServerArrival *Each : this->arrivalsOf(Caller)) {
    Text += "  s" + std::to_string(Each->Server) + " reaction " +
            std::to_string(static_cast<int>(Each->Reaction)) + " pause " +
            std::to_string(Each->Response.Pause.count()) + " at " +
            std::to_string(static_cast<int>(Each->Response.Point)) + " from " +
            std::to_string(since(Start, Each->Begin)) + " to " +
            std::to_string(since(Start, Each->End)) +
            (Each->ClosedEarly ? " closed" : "") +
            (Each->Crashed ? " crashed" : "") + " sent";
    for (const SteadyTime Sent : Each->Sent)
      Text += " " + std::to_string(since(Start, Sent));
    Text += "\n";
  }
  return Text;
}

} // namespace parsleywing::test
