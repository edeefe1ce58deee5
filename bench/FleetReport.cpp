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

std::string formatPercent(double Fraction) {
  return formatDecimal(Fraction * 100, 1) + " %";
}

std::string formatTimes(const FirstTokenTimes &T) {
  if (T.Count == 0)
    return "none";
  return formatDecimal(T.P50, 3) + " / " + formatDecimal(T.P95, 3) + " / " +
         formatDecimal(T.P99, 3) + " s (" + std::to_string(T.Count) + ")";
}

std::string formatRate(const std::optional<double> &Rate, const char *Unit) {
  return Rate ? formatDecimal(*Rate, 1) + " " + Unit + "/s" : "n/a";
}

std::string formatGap(double TokensPerShare, double FairRate) {
  const double Seconds = FairRate > 0 ? TokensPerShare / FairRate : 0;
  return formatDecimal(TokensPerShare, 0) +
         " tokens/share = " + formatDecimal(Seconds, 2) + " s of one share";
}

void addService(Table &Rows, const ServiceResult &S) {
  const std::string Name = S.Name + ": ";
  Rows.push_back(
      {Name + "continuously backlogged accounts",
       std::to_string(S.Backlogged) + " of " + std::to_string(S.Accounts)});
  Rows.push_back({Name + "largest gap", formatGap(S.Gap.Largest, S.FairRate)});
  Rows.push_back({Name + "gap at the end", formatGap(S.Gap.AtEnd, S.FairRate)});
  Rows.push_back({Name + "fair rate of one share",
                  formatDecimal(S.FairRate, 1) + " tokens/s"});
  Rows.push_back({Name + "utilisation (tokens)", formatPercent(S.Utilisation)});
  Rows.push_back({Name + "utilisation (engines' running counts)",
                  formatPercent(S.RunningFraction)});
  Rows.push_back({Name + "waiting requests per engine, mean",
                  formatDecimal(S.WaitingPerEngine, 2)});
  Rows.push_back({Name + "first token p50/p95/p99", formatTimes(S.FirstToken)});
}

void addOccasional(Table &Rows, const FleetResults &F) {
  Rows.push_back({"occasional account alone, first token p50/p95/p99",
                  formatTimes(F.OccasionalAlone)});
  Rows.push_back({"occasional account with a flooding account",
                  formatTimes(F.OccasionalWithNeighbour)});
  Rows.push_back({"occasional account with all accounts",
                  formatTimes(F.OccasionalWithAll)});
}

void addRouters(Table &Rows, const FleetResults &F) {
  double CpuSum = 0;
  double MaxCpu = 0;
  double MaxMemory = 0;
  for (const RouterResult &Router : F.Routers) {
    CpuSum += Router.CpuShare;
    MaxCpu = std::max(MaxCpu, Router.CpuShare);
    MaxMemory = std::max(MaxMemory, Router.ResidentMebibytes);
  }
  const double Count =
      std::max<double>(1, static_cast<double>(F.Routers.size()));
  Rows.push_back({"control traffic per router",
                  formatRate(F.ControlBytesPerSecond, "bytes")});
  Rows.push_back({"control traffic, max of a router",
                  formatDecimal(F.MaxControlBytes, 1) + " bytes/s"});
  Rows.push_back({"fairness part of it, including what the budget dropped",
                  formatDecimal(F.FairnessBytesPerSecond, 1) + " bytes/s"});
  Rows.push_back({"datagrams dropped over budget, per router",
                  formatDecimal(F.DroppedPerSecond, 2) + " /s"});
  Rows.push_back({"slots granted, per router",
                  formatDecimal(F.SlotsGrantedPerSecond, 2) + " /s"});
  Rows.push_back({"store calls", formatRate(F.StoreCallsPerSecond, "calls")});
  Rows.push_back(
      {"CPU per router, mean and max",
       formatPercent(CpuSum / Count) + ", " + formatPercent(MaxCpu)});
  Rows.push_back({"resident memory, max of a router",
                  formatDecimal(MaxMemory, 1) + " MiB"});
  Rows.push_back(
      {"CPU of the load generator", formatPercent(F.GeneratorCpuShare)});
}

std::string outcomesText(const AccountRecord &Record) {
  std::string Text;
  for (const auto &[Outcome, Count] : Record.Outcomes)
    Text += (Text.empty() ? "" : "; ") + Outcome + " " + std::to_string(Count);
  return Text;
}

Table accountTable(const FleetResults &F) {
  Table Rows{{"account", "share", "routers", "open", "tokens", "tokens/share",
              "min waiting", "outcomes", "invalid", "cut"}};
  for (const AccountResult &A : F.Accounts)
    Rows.push_back(
        {A.Account.Name, formatDecimal(A.Account.Share, 0),
         std::to_string(A.Account.Routers.size()),
         std::to_string(A.Account.OpenRequests),
         std::to_string(A.Record.Tokens),
         formatDecimal(static_cast<double>(A.Record.Tokens) / A.Account.Share,
                       0),
         std::to_string(A.Record.MinWaiting), outcomesText(A.Record),
         std::to_string(A.Record.Invalid), std::to_string(A.Record.Truncated)});
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

std::string formatDecimal(double Value, int Digits) {
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
       {"memory", formatDecimal(Memory, 1) + " GiB"},
       {"system load at the start", Load}},
      Markdown);
}

void printResults(std::ostream &Out, const DeploymentPlan &Plan,
                  const FleetResults &F, bool Markdown) {
  const std::string Name = Plan.Name.empty() ? "slope" : Plan.Name;
  Table Rows{{Name + ", " + std::to_string(Plan.Routers) + " routers",
              std::string("policy ") + nameOf(F.Policy)}};
  if (!F.Error.empty()) {
    Rows.push_back({"figures", F.Error});
    printTable(Out, Rows, Markdown);
    return;
  }
  Rows.push_back({"window", formatDecimal(F.WindowSeconds, 1) + " s"});
  for (const ServiceResult &Service : F.Services)
    addService(Rows, Service);
  addOccasional(Rows, F);
  addRouters(Rows, F);
  printTable(Out, Rows, Markdown);
  printTable(Out, accountTable(F), Markdown);
}

} // namespace parsleywing::bench
