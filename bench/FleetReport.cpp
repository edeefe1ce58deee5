#include "FleetReport.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <numeric>
#include <ostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace parsleywing::bench {

namespace {

std::string percent(double Part) { return decimal(Part * 100, 1) + " %"; }

std::string times(const FirstTokenTimes &T) {
  if (T.Count == 0)
    return "none";
  return decimal(T.P50, 3) + " / " + decimal(T.P95, 3) + " / " +
         decimal(T.P99, 3) + " s (" + std::to_string(T.Count) + ")";
}

std::string perSecond(const std::optional<double> &Rate, const char *Unit) {
  return Rate ? decimal(*Rate, 1) + " " + Unit + "/s" : "n/a";
}

std::string gap(double TokensPerShare, double FairRate) {
  const double Seconds = FairRate > 0 ? TokensPerShare / FairRate : 0;
  return decimal(TokensPerShare, 0) + " tokens/share = " + decimal(Seconds, 2) +
         " s of one share";
}

void addService(Table &Rows, const ServiceFigures &S) {
  const std::string Name = S.Name + ": ";
  Rows.push_back(
      {Name + "continuously backlogged accounts",
       std::to_string(S.Backlogged) + " of " + std::to_string(S.Accounts)});
  Rows.push_back({Name + "largest gap", gap(S.Gap.Largest, S.FairRate)});
  Rows.push_back({Name + "gap at the end", gap(S.Gap.AtEnd, S.FairRate)});
  Rows.push_back(
      {Name + "fair rate of one share", decimal(S.FairRate, 1) + " tokens/s"});
  Rows.push_back({Name + "utilisation (tokens)", percent(S.Utilisation)});
  Rows.push_back(
      {Name + "utilisation (engines' running counts)", percent(S.RunningPart)});
  Rows.push_back(
      {Name + "waiting in an engine, mean", decimal(S.WaitingByEngine, 2)});
  Rows.push_back({Name + "first token p50/p95/p99", times(S.FirstToken)});
}

void addOccasional(Table &Rows, const FleetFigures &F) {
  Rows.push_back({"occasional account alone, first token p50/p95/p99",
                  times(F.OccasionalAlone)});
  Rows.push_back({"occasional account beside a flood",
                  times(F.OccasionalBesideNeighbour)});
  Rows.push_back(
      {"occasional account beside all accounts", times(F.OccasionalBesideAll)});
}

void addRouters(Table &Rows, const FleetFigures &F) {
  double Processor = 0;
  double MostProcessor = 0;
  double MostMemory = 0;
  for (const RouterFigures &Router : F.Routers) {
    Processor += Router.ProcessorShare;
    MostProcessor = std::max(MostProcessor, Router.ProcessorShare);
    MostMemory = std::max(MostMemory, Router.ResidentMebibytes);
  }
  const double Count =
      std::max<double>(1, static_cast<double>(F.Routers.size()));
  Rows.push_back({"control traffic a router",
                  perSecond(F.ControlBytesPerSecond, "bytes")});
  Rows.push_back({"control traffic, largest of a router",
                  decimal(F.MostControlBytes, 1) + " bytes/s"});
  Rows.push_back({"of it fairness, with what the budget dropped",
                  decimal(F.FairnessBytesPerSecond, 1) + " bytes/s"});
  Rows.push_back({"datagrams dropped over budget, a router",
                  decimal(F.DroppedPerSecond, 2) + " /s"});
  Rows.push_back(
      {"slots given, a router", decimal(F.SlotsGrantedPerSecond, 2) + " /s"});
  Rows.push_back(
      {"calls on the store", perSecond(F.StoreCallsPerSecond, "calls")});
  Rows.push_back({"processor a router, mean and largest",
                  percent(Processor / Count) + ", " + percent(MostProcessor)});
  Rows.push_back(
      {"largest resident memory of a router", decimal(MostMemory, 1) + " MiB"});
  Rows.push_back(
      {"processor of the load generator", percent(F.GeneratorProcessorShare)});
}

std::string outcomesText(const AccountRecord &Record) {
  std::string Text;
  for (const auto &[Outcome, Count] : Record.Outcomes)
    Text += (Text.empty() ? "" : "; ") + Outcome + " " + std::to_string(Count);
  return Text;
}

Table accountTable(const FleetFigures &F) {
  Table Rows{{"account", "share", "routers", "open", "tokens", "tokens/share",
              "least waiting", "outcomes", "not whole", "cut"}};
  for (const AccountFigures &A : F.Accounts)
    Rows.push_back(
        {A.Account.Name, decimal(A.Account.Share, 0),
         std::to_string(A.Account.Routers.size()),
         std::to_string(A.Account.OpenRequests),
         std::to_string(A.Record.Tokens),
         decimal(static_cast<double>(A.Record.Tokens) / A.Account.Share, 0),
         std::to_string(A.Record.LeastWaiting), outcomesText(A.Record),
         std::to_string(A.Record.Broken), std::to_string(A.Record.Cut)});
  return Rows;
}

std::vector<std::size_t> columnWidths(const Table &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const auto &Row : Rows)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  return Widths;
}

} // namespace

std::string decimal(double Value, int Digits) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(Digits) << Value;
  return Out.str();
}

void printTable(std::ostream &Out, const Table &Rows, bool Markdown) {
  const std::vector<std::size_t> Widths = columnWidths(Rows);
  for (std::size_t Row = 0; Row < Rows.size(); ++Row) {
    for (std::size_t Column = 0; Column < Rows[Row].size(); ++Column)
      Out << (Markdown ? "| " : "") << std::left
          << std::setw(static_cast<int>(Widths[Column])) << Rows[Row][Column]
          << (Markdown ? " " : "  ");
    Out << (Markdown ? "|\n" : "\n");
    if (Row > 0 || !Markdown)
      continue;
    for (const std::size_t Width : Widths)
      Out << "|" << std::string(Width + 2, '-');
    Out << "|\n";
  }
  Out << '\n';
}

void printConditions(std::ostream &Out, const std::string &CommandLine,
                     std::uint64_t Seed, bool Markdown) {
  constexpr double Gibibyte = 1 << 30;
  const double Memory = static_cast<double>(::sysconf(_SC_PHYS_PAGES)) *
                        static_cast<double>(::sysconf(_SC_PAGESIZE)) / Gibibyte;
  std::string Load;
  std::ifstream("/proc/loadavg") >> Load;
  printTable(
      Out,
      {{"condition", "value"},
       {"command", CommandLine},
       {"seed", std::to_string(Seed)},
       {"processors", std::to_string(std::thread::hardware_concurrency())},
       {"memory", decimal(Memory, 1) + " GiB"},
       {"load of the machine at the start", Load}},
      Markdown);
}

void printFigures(std::ostream &Out, const DeploymentPlan &Plan,
                  const FleetFigures &F, bool Markdown) {
  const std::string Name = Plan.Name.empty() ? "slope" : Plan.Name;
  Table Rows{{Name + ", " + std::to_string(Plan.Routers) + " routers",
              std::string("policy ") + nameOf(F.Policy)}};
  if (!F.Missing.empty()) {
    Rows.push_back({"figures", F.Missing});
    printTable(Out, Rows, Markdown);
    return;
  }
  Rows.push_back({"window", decimal(F.WindowSeconds, 1) + " s"});
  for (const ServiceFigures &Service : F.Services)
    addService(Rows, Service);
  addOccasional(Rows, F);
  addRouters(Rows, F);
  printTable(Out, Rows, Markdown);
  printTable(Out, accountTable(F), Markdown);
}

} // namespace parsleywing::bench
