#include "Decision/CrashFleet.h"

namespace parsleywing::test {

RequestIdentity contentOf(std::uint64_t Number) { return {Number, Number, 7}; }

CrashFleet::CrashFleet(std::size_t Routers, std::size_t Servers, unsigned Seed)
    : Now(std::chrono::hours(1)), ServerCount(Servers), Random(Seed) {
  for (std::uint64_t Router = 1; Router <= Routers; ++Router)
    this->Members.Members.push_back({RouterId{Router}, 1, false, 0});
  for (std::uint64_t Router = 1; Router <= Routers; ++Router)
    this->restart(Router);
}

void CrashFleet::restart(std::uint64_t Router) {
  this->Trackers[Router] = std::make_unique<CrashTracker>(this->Random());
  this->declare(Router, this->ServerCount);
  View Current = this->Members;
  Current.Self = RouterId{Router};
  this->handle(Router, ViewChanged{Current});
}

void CrashFleet::declare(std::uint64_t Router, std::size_t Servers) {
  const auto Active = std::make_shared<Declarations>();
  for (std::uint64_t Server = 1; Server <= Servers; ++Server)
    Active->Servers[ServerId{Server}] = {};
  this->handle(Router, DeclarationsChanged{Active});
}

bool CrashFleet::lose(std::uint64_t Router, std::uint64_t Content,
                      std::uint64_t Server, std::optional<ConnectOutcome> Check,
                      TimePoint OpenedAt) {
  const RequestId Request{++this->LastRequest};
  CrashTracker &Tracker = *this->Trackers.at(Router);
  if (!Tracker.open(this->Now, Request, contentOf(Content)))
    return false;
  const auto Outcome =
      Check ? AttemptOutcome::Interrupted : AttemptOutcome::Cancelled;
  this->handle(Router,
               AttemptEnded{Request, 1, Outcome, 0, 0,
                            LostConnection{ServerId{Server}, OpenedAt, Check}});
  Tracker.close(Request);
  return true;
}

bool CrashFleet::crash(std::uint64_t Router, std::uint64_t Content,
                       std::uint64_t Server) {
  return this->lose(Router, Content, Server, ConnectOutcome::Refused,
                    this->Now);
}

void CrashFleet::complete(std::uint64_t Router, std::uint64_t Content) {
  const RequestId Request{++this->LastRequest};
  CrashTracker &Tracker = *this->Trackers.at(Router);
  Tracker.open(this->Now, Request, contentOf(Content));
  this->handle(Router, AttemptEnded{Request, 1, AttemptOutcome::Completed, 1});
  Tracker.close(Request);
}

void CrashFleet::handle(std::uint64_t Router, const CrashEvent &Event) {
  const auto Found = this->Trackers.find(Router);
  if (Found == this->Trackers.end())
    return;
  for (const CrashAction &Emitted : Found->second->handle(this->Now, Event))
    std::visit([&](const auto &A) { this->execute(Router, A); }, Emitted);
}

void CrashFleet::execute(std::uint64_t Router, const SendCrashFacts &Sent) {
  this->SentFacts.push_back(Sent.Message.Facts.size());
  std::uniform_real_distribution<double> Uniform;
  const bool IsLost =
      !Sent.Bulk && Uniform(this->Random) < this->LossProbability;
  if (IsLost || this->Disconnected.contains(Router) ||
      this->Disconnected.contains(Sent.To.Value))
    return;
  this->handle(Sent.To.Value,
               CrashFactsReceived{RouterId{Router}, Sent.Message});
}

void CrashFleet::execute(std::uint64_t Router, const CheckServer &Check) {
  ++this->Checks;
  const auto State = this->ServerStates.find(Check.Process.Server);
  this->handle(Router,
               ServerChecked{Check.Process, State == this->ServerStates.end()
                                                ? ConnectOutcome::Listening
                                                : State->second});
}

void CrashFleet::execute(std::uint64_t, const RefuseRequest &Refusal) {
  this->Refused.push_back(Refusal.Request);
}

void CrashFleet::run(Duration Time) {
  constexpr Duration TickInterval = std::chrono::milliseconds(10);
  const TimePoint End = this->Now + Time;
  for (; this->Now < End; this->Now += TickInterval)
    for (std::uint64_t Router = 1; Router <= this->Trackers.size(); ++Router)
      this->handle(Router, Tick{});
}

bool CrashFleet::accepts(std::uint64_t Router, std::uint64_t Content) {
  const RequestId Request{++this->LastRequest};
  CrashTracker &Tracker = *this->Trackers.at(Router);
  if (!Tracker.open(this->Now, Request, contentOf(Content)))
    return false;
  Tracker.close(Request);
  return true;
}

bool CrashFleet::allRefuse(std::uint64_t Content) {
  for (std::uint64_t Router = 1; Router <= this->Trackers.size(); ++Router)
    if (this->accepts(Router, Content))
      return false;
  return true;
}

std::size_t CrashFleet::crashCount(std::uint64_t Router,
                                   std::uint64_t Content) const {
  return this->Trackers.at(Router)->registry().crashCount(contentOf(Content));
}

} // namespace parsleywing::test
