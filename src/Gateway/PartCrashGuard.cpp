#include "Gateway/PartCrashGuard.h"

#include "Runtime/Log.h"

#include <Poco/NumberFormatter.h>
#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// How often it is decided which parts are refused.
constexpr Duration DecisionInterval = std::chrono::milliseconds(100);
/// Facts are sent to one other router with every such decision.
constexpr std::uint64_t DecisionsPerGossip = 4;

/// Number of facts that fit into one datagram, at 41 bytes each.
constexpr std::size_t FactsPerReport = 30;
/// Maximum number of reports sent at once to a router that starts: its socket
/// buffer holds about a hundred datagrams.
constexpr std::size_t MaxReportsInReply = 64;
/// Number of routers that a starting router asks for facts.
constexpr std::size_t RoutersToAsk = 3;

std::uint32_t millisecondsOf(Duration Time) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Time).count(), 0));
}

} // namespace

std::string partText(PartId Part) {
  return Poco::NumberFormatter::formatHex(Part, 16);
}

std::string combinationText(const std::vector<PartId> &Parts) {
  std::string Text;
  for (const PartId Each : Parts)
    Text += (Text.empty() ? "" : ",") + partText(Each);
  return Text;
}

std::vector<PartId> sharedParts(const std::vector<PromptPart> &Prompt) {
  std::vector<PartId> Parts;
  for (std::size_t I = 0; I + 1 < Prompt.size(); ++I)
    Parts.push_back(Prompt[I].Id);
  return Parts;
}

PartCrashGuard::PartCrashGuard(EventLoop &L, RouterMessenger &R,
                               std::uint64_t P, Metrics &M)
    : Loop(L), Routers(R), RouterProcess(P),
      Cleared(M.counter({"crash_parts_cleared_total",
                         "Suspected prompt parts that an answer of this router "
                         "has cleared.",
                         ""})),
      Random(P) {
  M.callback(
      MetricKind::Gauge,
      {"crash_part_suspects",
       "Prompt parts of requests that were in hand at servers that crashed.",
       ""},
      [this] { return static_cast<double>(this->Registry.size()); });
  M.callback(MetricKind::Gauge,
             {"crash_parts_refused", "Of these, refused for it.", ""}, [this] {
               return static_cast<double>(this->Registry.refused().size());
             });
}

void PartCrashGuard::start(
    std::function<void()> NewOnRefused,
    std::function<void(const std::set<ServerProcess> &)> NewOnAttributed) {
  this->OnRefused = std::move(NewOnRefused);
  this->OnAttributed = std::move(NewOnAttributed);
  this->tick();
}

void PartCrashGuard::onCrash(const ServerProcess &Process,
                             const std::vector<LostAttempt> &Lost) {
  const TimePoint Now = this->Loop.clock().now();
  std::map<PartId, PartCrash> Latest;
  for (const LostAttempt &Attempt : Lost)
    for (const PartId Part : Attempt.Parts) {
      const PartCrash Fact{Part,
                           Process,
                           Attempt.Request.Low,
                           millisecondsOf(Now - Attempt.SentAt),
                           0,
                           false,
                           Attempt.IsProbe};
      const auto [Known, IsNew] = Latest.try_emplace(Part, Fact);
      if (!IsNew && Fact.SentBeforeMs < Known->second.SentBeforeMs)
        Known->second = Fact;
    }
  std::vector<PartCrash> Facts;
  Facts.reserve(Latest.size());
  for (const auto &[Part, Fact] : Latest)
    Facts.push_back(Fact);
  this->recordFacts(Facts);
  this->broadcast(Facts);
}

void PartCrashGuard::onAnswer(const std::vector<PartId> &Parts,
                              TimePoint BegunAt) {
  const std::vector<PartCrash> News =
      this->Registry.recordAnswer(Parts, BegunAt, this->Loop.clock().now());
  if (News.empty())
    return;
  this->Cleared.add();
  this->broadcast(News);
}

PartCrashGuard::Combination
PartCrashGuard::refusedParts(const std::vector<PromptPart> &Prompt) const {
  if (this->Registry.refused().empty())
    return {};
  const Combination *Found = this->Registry.refusedIn(sharedParts(Prompt));
  return Found == nullptr ? Combination{} : *Found;
}

bool PartCrashGuard::acquireProbe(const Combination &Parts) {
  const TimePoint Now = this->Loop.clock().now();
  if (this->Routers.firstFor(Parts.front()) != this->Routers.self() ||
      !this->Registry.mayProbe(Parts, Now))
    return false;
  this->Registry.reserveProbe(Parts, Now);
  log(LogPart::Caller, LogLevel::Warn,
      "parts=" + combinationText(Parts) + " is tried once more");
  return true;
}

void PartCrashGuard::recordProbe(const Combination &Parts) {
  this->Registry.recordProbe(Parts, this->Loop.clock().now());
}

void PartCrashGuard::withdrawProbe(const Combination &Parts) {
  this->Registry.withdrawProbe(Parts);
}

bool PartCrashGuard::accept(PartId Part) {
  const std::vector<PartCrash> News =
      this->Registry.accept(Part, this->Loop.clock().now());
  if (News.empty())
    return false;
  log(LogPart::Caller, LogLevel::Warn,
      "part=" + partText(Part) + " is accepted again by an operator");
  this->broadcast(News);
  this->decide();
  return true;
}

void PartCrashGuard::recordFacts(const std::vector<PartCrash> &Facts) {
  const TimePoint Now = this->Loop.clock().now();
  for (const PartCrash &Each : Facts)
    this->Registry.record(Each, Now);
}

void PartCrashGuard::decide() {
  const std::set<ServerProcess> AttributedBefore = this->Registry.attributed();
  const auto Changes = this->Registry.update(this->Loop.clock().now());
  for (const PartCrashRegistry::Change &Each : Changes)
    this->logChange(Each);
  if (this->OnAttributed && this->Registry.attributed() != AttributedBefore)
    this->OnAttributed(this->Registry.attributed());
  const bool MoreRefused = std::any_of(
      Changes.begin(), Changes.end(),
      [](const PartCrashRegistry::Change &Each) { return Each.Refused; });
  if (MoreRefused && this->OnRefused)
    this->OnRefused();
}

void PartCrashGuard::logChange(const PartCrashRegistry::Change &Changed) {
  const TimePoint Now = this->Loop.clock().now();
  std::string Crashes;
  const PartCrashRegistry::Suspect *Suspected =
      this->Registry.find(Changed.Parts.front());
  if (Suspected != nullptr)
    for (const auto &[Process, Each] : Suspected->Crashes)
      Crashes += (Crashes.empty() ? "" : ",") +
                 Poco::NumberFormatter::formatHex(Process.Server, 16) + "/" +
                 Poco::NumberFormatter::formatHex(Each.Request, 16) + "/" +
                 secondsText(Now - Each.At) + (Each.Cleared ? "/cleared" : "");
  log(LogPart::Caller, LogLevel::Warn,
      "parts=" + combinationText(Changed.Parts) +
          (Changed.Refused ? " is refused from now on" : " is accepted again") +
          ": crashes=" + Crashes);
}

void PartCrashGuard::tick() {
  if (this->Registry.size() > 0) {
    this->Registry.removeExpired(this->Loop.clock().now());
    this->decide();
    if (++this->Ticks % DecisionsPerGossip == 0)
      this->gossip();
  }
  this->Loop.after(DecisionInterval, [this] { this->tick(); });
}

void PartCrashGuard::gossip() {
  const std::vector<std::string> Others = this->Routers.others();
  if (Others.empty())
    return;
  std::vector<PartCrash> Facts =
      this->Registry.nextFacts(FactsPerReport, this->Loop.clock().now());
  if (!Facts.empty())
    this->Routers.send(Others[this->Random() % Others.size()],
                       this->makeReport(std::move(Facts)));
}

PartCrashReport PartCrashGuard::makeReport(std::vector<PartCrash> Facts) {
  return {{this->RouterProcess, ++this->LastNumber}, false, std::move(Facts)};
}

std::vector<PartCrashReport>
PartCrashGuard::makeReports(const std::vector<PartCrash> &Facts) {
  std::vector<PartCrashReport> Reports;
  for (std::size_t First = 0; First < Facts.size(); First += FactsPerReport) {
    const std::size_t Last = std::min(First + FactsPerReport, Facts.size());
    Reports.push_back(
        this->makeReport({Facts.begin() + static_cast<std::ptrdiff_t>(First),
                          Facts.begin() + static_cast<std::ptrdiff_t>(Last)}));
  }
  return Reports;
}

void PartCrashGuard::broadcast(const std::vector<PartCrash> &Facts) {
  for (const PartCrashReport &Each : this->makeReports(Facts))
    this->Routers.sendToAll(Each);
}

void PartCrashGuard::updateRouters() {
  if (this->ReportsRequested)
    return;
  std::vector<std::string> Others = this->Routers.others();
  this->ReportsRequested = !Others.empty();
  std::shuffle(Others.begin(), Others.end(), this->Random);
  Others.resize(std::min(Others.size(), RoutersToAsk));
  PartCrashReport Request = this->makeReport({});
  Request.WantsReport = true;
  for (const std::string &Each : Others)
    this->Routers.send(Each, Request);
}

void PartCrashGuard::onReport(const PartCrashReport &Report,
                              const Poco::Net::SocketAddress &From) {
  this->recordFacts(Report.Facts);
  for (PartCrashReport &Each : this->makeReports(
           this->Registry.corrections(Report.Facts, this->Loop.clock().now())))
    this->Routers.send(From, std::move(Each));
  if (!Report.WantsReport)
    return;
  std::vector<PartCrash> Facts =
      this->Registry.allFacts(this->Loop.clock().now());
  Facts.resize(std::min(Facts.size(), FactsPerReport * MaxReportsInReply));
  for (PartCrashReport &Each : this->makeReports(Facts))
    this->Routers.send(From, std::move(Each));
}

} // namespace parsleywing
