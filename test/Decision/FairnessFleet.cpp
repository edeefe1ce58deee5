#include "Decision/FairnessFleet.h"

#include "Runtime/Invariant.h"
#include "Runtime/Overloaded.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace parsleywing::test {

namespace {

constexpr Duration Step = std::chrono::milliseconds(10);
constexpr double StepSeconds = 0.01;
constexpr std::uint64_t StepsPerReport = 50;
/// Load reports are delayed by this many report intervals.
constexpr std::size_t ReportLag = 1;
const ServiceId Service = idOf<ServiceId>("chat");

} // namespace

FairnessFleet::FairnessFleet(const FleetSetup &S) : Setup(S), Random(S.Seed) {
  Declarations All;
  for (std::size_t I = 0; I < S.Servers; ++I) {
    const std::string Name = "server-" + std::to_string(I);
    this->Servers.emplace_back().Name = idOf<ServerId>(Name);
    All.Servers[this->Servers.back().Name].MaxConcurrent = S.MaxConcurrent;
    All.Services[Service].Servers.push_back(this->Servers.back().Name);
  }
  for (std::size_t I = 0; I < S.Accounts; ++I) {
    // Every fourth account is large: a higher share, more entry routers, and
    // longer queues.
    const bool Large = I % 4 == 0;
    SimulatedAccount Account;
    Account.Name = idOf<AccountId>("account-" + std::to_string(I));
    Account.Share = Large ? 4 : 1;
    Account.TargetQueueLength = Large ? 24 : 6;
    const std::size_t Entries = std::min<std::size_t>(S.Routers, Large ? 4 : 2);
    while (Account.EntryRouters.size() < Entries) {
      // Uneven: routers with low numbers have more callers.
      const std::size_t At =
          std::min(this->drawIndex(S.Routers), this->drawIndex(S.Routers));
      if (!std::ranges::count(Account.EntryRouters, At))
        Account.EntryRouters.push_back(At);
    }
    All.Accounts[Account.Name].Share =
        static_cast<std::uint32_t>(Account.Share);
    this->Accounts.push_back(Account);
  }
  this->ActiveDeclarations = std::make_shared<const Declarations>(All);
  for (std::size_t I = 0; I < S.Routers; ++I) {
    SimulatedRouter Router;
    Router.Name = idOf<RouterId>("router-" + std::to_string(I));
    this->Routers.push_back(std::move(Router));
  }
  std::ranges::sort(this->Routers, {},
                    [](const SimulatedRouter &R) { return R.Name.Value; });
  for (std::size_t I = 0; I < S.Routers; ++I) {
    this->restart(I);
    this->ViewDue[I] = this->Time.now();
  }
  this->startMeasurement();
}

bool FairnessFleet::drawBool(double Probability) {
  return this->drawUniform(0, 1) < Probability;
}

double FairnessFleet::drawUniform(double Low, double High) {
  return Low +
         (High - Low) * static_cast<double>(this->Random() >> 11) * 0x1p-53;
}

std::size_t FairnessFleet::drawIndex(std::size_t Count) {
  return static_cast<std::size_t>(this->Random() % Count);
}

void FairnessFleet::run(Duration Length) {
  const TimePoint End = this->Time.now() + Length;
  while (this->Time.now() < End)
    this->step();
}

void FairnessFleet::step() {
  this->Time.advance(Step);
  ++this->Steps;
  this->deliverViews();
  this->deliver();
  this->generateRequests();
  for (std::size_t I = 0; I < this->Servers.size(); ++I)
    this->runEngine(I);
  if (this->Steps % StepsPerReport == 0)
    this->reportLoads();
  for (std::size_t I = 0; I < this->Routers.size(); ++I)
    this->handleEvent(I, Tick{});
  if (this->Steps % 10 == 0)
    this->measure();
}

void FairnessFleet::handleEvent(std::size_t Router,
                                const FairnessEvent &Event) {
  SimulatedRouter &Target = this->Routers[Router];
  for (const FairnessAction &Action :
       Target.Scheduler->handle(this->Time.now(), Event))
    std::visit(
        Overloaded{
            [&](const AdmitRequest &A) {
              SimulatedRequest &Request = this->Requests.at(A.Request.Value);
              PARSLEYWING_INVARIANT(!Request.Server, "admitted once");
              const auto Server = std::ranges::find(this->Servers, A.Server,
                                                    &SimulatedServer::Name);
              PARSLEYWING_INVARIANT(
                  Target.Conditions[A.Server] == ServerCondition::Usable,
                  "no requests for a server that is known to leave");
              Request.Server = Server - this->Servers.begin();
              --Target.Waiting[Request.Account];
              Server->Requests.push_back(A.Request.Value);
            },
            [&](const SendFairMessage &A) { this->sendMessage(Router, A); },
            // These tests pause no servers.
            [](const RefusePaused &) {}},
        Action);
}

void FairnessFleet::sendMessage(std::size_t From,
                                const SendFairMessage &Message) {
  const auto To =
      std::ranges::find(this->Routers, Message.To, &SimulatedRouter::Name);
  if (this->Routers[From].Disconnected != To->Disconnected)
    return;
  const std::size_t Copies = this->drawBool(this->Setup.Loss)          ? 0
                             : this->drawBool(this->Setup.Duplication) ? 2
                                                                       : 1;
  for (std::size_t I = 0; I < Copies; ++I) {
    // One message in fifty is late enough to be overtaken.
    const double Delay = this->drawBool(0.02) ? this->drawUniform(0.1, 2)
                                              : this->drawUniform(0.001, 0.015);
    const TimePoint Due =
        this->Time.now() + Duration(static_cast<Duration::rep>(Delay * 1e6));
    this->Network.emplace(
        Due,
        Datagram{Due,
                 static_cast<std::size_t>(To - this->Routers.begin()),
                 {this->Routers[From].Name,
                  this->Routers[From].IncarnationNumber, Message.Message}});
  }
}

void FairnessFleet::deliver() {
  while (!this->Network.empty() &&
         this->Network.begin()->first <= this->Time.now()) {
    const Datagram Next = this->Network.extract(this->Network.begin()).mapped();
    this->handleEvent(Next.To, Next.Content);
  }
}

void FairnessFleet::generateRequests() {
  for (std::size_t I = 0; I < this->Accounts.size(); ++I)
    for (std::size_t Entry : this->Accounts[I].EntryRouters)
      while (this->Routers[Entry].Waiting[I] <
             this->Accounts[I].TargetQueueLength) {
        SimulatedRequest Request;
        Request.Account = I;
        Request.Router = Entry;
        Request.Cost =
            this->drawUniform(this->Setup.MinCost, this->Setup.MaxCost);
        const double Error =
            std::pow(this->Setup.HintError, this->drawUniform(-1, 1));
        const std::uint64_t Name = this->NextRequest++;
        this->Requests[Name] = Request;
        ++this->Routers[Entry].Waiting[I];
        this->handleEvent(
            Entry, RequestQueued{
                       RequestId{Name}, this->Accounts[I].Name, Service,
                       static_cast<std::uint64_t>(1 + Request.Cost * Error)});
      }
}

void FairnessFleet::runEngine(std::size_t Server) {
  SimulatedServer &Engine = this->Servers[Server];
  const std::size_t Running =
      std::min<std::size_t>(Engine.Requests.size(), this->Setup.Concurrency);
  if (Engine.Condition == ServerCondition::Usable) {
    this->CapacitySteps += this->Setup.Concurrency;
    this->BusySteps += static_cast<double>(Running);
  }
  const auto Total = static_cast<std::uint32_t>(Engine.Requests.size());
  if (Total > this->Setup.MaxConcurrent)
    this->MaxAbove =
        std::max(this->MaxAbove, Total - this->Setup.MaxConcurrent);
  std::vector<std::uint64_t> RunningIds(
      Engine.Requests.begin(),
      Engine.Requests.begin() + static_cast<std::ptrdiff_t>(Running));
  for (std::uint64_t Name : RunningIds) {
    SimulatedRequest &Request = this->Requests.at(Name);
    const double Tokens = std::min(this->Setup.TokensPerSecond * StepSeconds,
                                   Request.Cost - Request.CompletedTokens);
    Request.CompletedTokens += Tokens;
    this->Accounts[Request.Account].Served += Tokens;
    const std::size_t Router = Request.Router;
    if (Request.CompletedTokens < Request.Cost) {
      if (Request.CompletedTokens < Request.ReportedTokens + 50)
        continue;
      Request.ReportedTokens = Request.CompletedTokens;
      this->handleEvent(Router, RequestCharged{RequestId{Name},
                                               static_cast<std::uint64_t>(
                                                   Request.CompletedTokens)});
      continue;
    }
    const auto TotalTokens =
        static_cast<std::uint64_t>(std::llround(Request.Cost));
    std::erase(Engine.Requests, Name);
    this->Requests.erase(Name);
    this->handleEvent(Router, RequestReleased{RequestId{Name}, TotalTokens});
  }
}

void FairnessFleet::reportLoads() {
  for (SimulatedServer &Engine : this->Servers) {
    const auto All = static_cast<std::uint32_t>(Engine.Requests.size());
    const std::uint32_t Running = std::min(All, this->Setup.Concurrency);
    Engine.PendingReports.emplace_back(Running, All - Running);
    if (Engine.PendingReports.size() <= ReportLag)
      continue;
    const auto [ReportedRunning, ReportedWaiting] =
        Engine.PendingReports.front();
    Engine.PendingReports.pop_front();
    for (std::size_t I = 0; I < this->Routers.size(); ++I)
      this->handleEvent(
          I, LoadReported{Engine.Name, ReportedRunning, ReportedWaiting});
  }
}

View FairnessFleet::viewOf(std::size_t Router) const {
  View Result{this->Routers[Router].Name, {}};
  for (const SimulatedRouter &Other : this->Routers)
    if (Other.Disconnected == this->Routers[Router].Disconnected)
      Result.Members.push_back({Other.Name, Other.IncarnationNumber, false});
  return Result;
}

void FairnessFleet::deliverViews() {
  for (auto Next = this->ViewDue.begin(); Next != this->ViewDue.end();) {
    const auto [Router, Due] = *Next;
    if (Due > this->Time.now()) {
      ++Next;
      continue;
    }
    Next = this->ViewDue.erase(Next);
    this->handleEvent(Router, ViewChanged{this->viewOf(Router)});
  }
}

void FairnessFleet::setDisconnected(std::size_t Router, bool Disconnected) {
  this->Routers[Router].Disconnected = Disconnected;
  for (std::size_t I = 0; I < this->Routers.size(); ++I)
    this->ViewDue[I] =
        this->Time.now() +
        Duration(static_cast<Duration::rep>(this->drawUniform(0.5e6, 2e6)));
}

void FairnessFleet::restart(std::size_t Router) {
  SimulatedRouter &Target = this->Routers[Router];
  if (Target.Scheduler) {
    this->EndedBytes += Target.Scheduler->counters().BytesSent;
    this->EndedMoves += Target.Scheduler->counters().SlotsGranted;
  }
  ++Target.IncarnationNumber;
  FairnessSettings RouterSettings = this->Setup.Fairness;
  RouterSettings.Seed =
      this->Setup.Seed * 1000003 + Router * 7919 + Target.IncarnationNumber;
  Target.Scheduler.emplace(RouterSettings);
  Target.Waiting.assign(this->Accounts.size(), 0);
  // The streams of the router end with it; its callers send new requests.
  for (auto Next = this->Requests.begin(); Next != this->Requests.end();) {
    const auto Current = Next++;
    if (Current->second.Router != Router)
      continue;
    if (Current->second.Server)
      std::erase(this->Servers[*Current->second.Server].Requests,
                 Current->first);
    this->Requests.erase(Current);
  }
  Target.Conditions.clear();
  this->handleEvent(Router, DeclarationsChanged{this->ActiveDeclarations});
  this->handleEvent(Router, ViewChanged{this->viewOf(Router)});
  for (const SimulatedServer &Server : this->Servers) {
    Target.Conditions[Server.Name] = Server.Condition;
    this->handleEvent(Router,
                      ServerConditionChanged{Server.Name, Server.Condition});
  }
  for (std::size_t I = 0; I < this->Routers.size(); ++I)
    if (I != Router)
      this->ViewDue[I] =
          this->Time.now() +
          Duration(static_cast<Duration::rep>(this->drawUniform(0.2e6, 2e6)));
}

void FairnessFleet::setCondition(std::size_t Server,
                                 ServerCondition Condition) {
  this->Servers[Server].Condition = Condition;
  const ServerId Name = this->Servers[Server].Name;
  for (std::size_t I = 0; I < this->Routers.size(); ++I) {
    this->Routers[I].Conditions[Name] = Condition;
    this->handleEvent(I, ServerConditionChanged{Name, Condition});
  }
}

void FairnessFleet::setQueueLength(std::size_t Account, std::size_t Requests) {
  this->Accounts[Account].TargetQueueLength = Requests;
}

void FairnessFleet::enterOnlyAt(std::size_t Router) {
  for (SimulatedAccount &Account : this->Accounts)
    Account.EntryRouters = {Router};
}

std::uint64_t FairnessFleet::bytes() const {
  std::uint64_t Sum = this->EndedBytes;
  for (const SimulatedRouter &Router : this->Routers)
    Sum += Router.Scheduler->counters().BytesSent;
  return Sum;
}

std::uint64_t FairnessFleet::moves() const {
  std::uint64_t Sum = this->EndedMoves;
  for (const SimulatedRouter &Router : this->Routers)
    Sum += Router.Scheduler->counters().SlotsGranted;
  return Sum;
}

void FairnessFleet::startMeasurement() {
  this->MeasurementStart = this->Time.now();
  this->CapacitySteps = 0;
  this->BusySteps = 0;
  this->MaxAbove = 0;
  this->BytesAtStart = this->bytes();
  this->MovesAtStart = this->moves();
  for (SimulatedAccount &Account : this->Accounts) {
    Account.ServedAtStart = Account.Served;
    Account.Measured = Account.TargetQueueLength > 0;
  }
  this->Differences.assign(this->Accounts.size() * this->Accounts.size(),
                           {0, 0});
}

void FairnessFleet::measure() {
  const auto ServedPerShare = [this](std::size_t I) {
    const SimulatedAccount &Account = this->Accounts[I];
    return (Account.Served - Account.ServedAtStart) / Account.Share;
  };
  for (std::size_t I = 0; I < this->Accounts.size(); ++I)
    for (std::size_t J = 0; J < I; ++J) {
      if (!this->Accounts[I].Measured || !this->Accounts[J].Measured)
        continue;
      auto &[Low, High] = this->Differences[I * this->Accounts.size() + J];
      Low = std::min(Low, ServedPerShare(I) - ServedPerShare(J));
      High = std::max(High, ServedPerShare(I) - ServedPerShare(J));
    }
}

double FairnessFleet::gap() const {
  double Largest = 0;
  for (const auto &[Low, High] : this->Differences)
    Largest = std::max(Largest, High - Low);
  return Largest;
}

double FairnessFleet::utilisation() const {
  return this->CapacitySteps == 0 ? 1 : this->BusySteps / this->CapacitySteps;
}

double FairnessFleet::bytesPerSecond() const {
  const double Seconds =
      std::chrono::duration<double>(this->Time.now() - this->MeasurementStart)
          .count();
  return static_cast<double>(this->bytes() - this->BytesAtStart) / Seconds /
         static_cast<double>(this->Routers.size());
}

double FairnessFleet::slotMovesPerSecond() const {
  const double Seconds =
      std::chrono::duration<double>(this->Time.now() - this->MeasurementStart)
          .count();
  return static_cast<double>(this->moves() - this->MovesAtStart) / Seconds;
}

std::vector<double> FairnessFleet::served() const {
  std::vector<double> All;
  for (const SimulatedAccount &Account : this->Accounts)
    if (Account.Measured)
      All.push_back((Account.Served - Account.ServedAtStart) / Account.Share);
  return All;
}

std::size_t FairnessFleet::waiting() const {
  std::size_t Sum = 0;
  for (const SimulatedRouter &Router : this->Routers)
    for (std::size_t Waiting : Router.Waiting)
      Sum += Waiting;
  return Sum;
}

double FairnessFleet::bound() const {
  double Shares = 0;
  for (const SimulatedAccount &Account : this->Accounts)
    if (Account.Measured)
      Shares += Account.Share;
  const double Engines = static_cast<double>(this->Setup.Servers);
  const double SlotsPerShare = Engines * this->Setup.MaxConcurrent / Shares;
  const double Rate =
      Engines * this->Setup.Concurrency * this->Setup.TokensPerSecond / Shares;
  const FairnessSettings &F = this->Setup.Fairness;
  const auto Seconds = [](Duration D) {
    return std::chrono::duration<double>(D).count();
  };
  const double Exchange = Seconds(F.ContributionInterval) +
                          2 * Seconds(F.FlushInterval) +
                          2 * Seconds(F.DigestInterval);
  const double InFlight = (SlotsPerShare + 1) * this->Setup.MaxCost;
  const double Slack = (F.ReturnSlack + 1) * this->Setup.MaxCost;
  return 2 * (InFlight + Rate * Exchange + Slack);
}

} // namespace parsleywing::test
