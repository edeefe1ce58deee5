#include "Operator/RunReport.h"

#include "Operator/LogLine.h"

#include <Poco/NumberParser.h>
#include <algorithm>
#include <iomanip>
#include <ostream>

namespace parsleywing {

namespace {

/// The maximum number of rows of a table; the rows with the most losses come
/// first.
constexpr std::size_t MaxRows = 12;

constexpr std::size_t TimeToSecondLength =
    std::string_view("0000-00-00T00:00:00").size();

constexpr std::array<const char *, 4> CapacityBucketNames{
    "no server", "below a quarter", "below half", "half or more"};

/// Parses a number; zero if the text is not a number, since a log line can
/// contain any text.
double numberOf(const std::string &Text) {
  double Value = 0;
  return Poco::NumberParser::tryParseFloat(Text, Value) ? Value : 0;
}

/// Returns the last word before the time, where a log collector puts the
/// router's name.
std::string nameBeforeTime(std::string_view Text, std::string_view Time) {
  std::string_view Before =
      Text.substr(0, static_cast<std::size_t>(Time.data() - Text.data()));
  while (!Before.empty() && Before.back() == ' ')
    Before.remove_suffix(1);
  const std::size_t Space = Before.rfind(' ');
  return std::string(
      Space == std::string_view::npos ? Before : Before.substr(Space + 1));
}

double ratioOf(std::uint64_t Count, std::uint64_t Total) {
  return Total == 0 ? 0
                    : static_cast<double>(Count) / static_cast<double>(Total);
}

/// Returns the value that this fraction of all values does not exceed.
float quantile(std::vector<float> Values, double Fraction) {
  if (Values.empty())
    return 0;
  const auto Rank = static_cast<std::ptrdiff_t>(
      Fraction * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + Rank, Values.end());
  return Values[static_cast<std::size_t>(Rank)];
}

/// Returns the count in "(4 lines left out before)", the text that `log`
/// appends after it has suppressed lines.
std::uint64_t suppressedLines(std::string_view Text) {
  constexpr std::string_view Suffix = " lines left out before)";
  const std::size_t End = Text.find(Suffix);
  if (End == std::string_view::npos)
    return 0;
  const std::size_t Begin = Text.rfind('(', End);
  if (Begin == std::string_view::npos)
    return 0;
  return static_cast<std::uint64_t>(
      numberOf(std::string(Text.substr(Begin + 1, End - Begin - 1))));
}

} // namespace

void RunReport::record(OutcomeCounts &Into, const std::string &Outcome,
                       float FirstChunkSeconds) {
  ++Into.Requests;
  if (Outcome == "served") {
    ++Into.Served;
    Into.FirstChunkSeconds.push_back(FirstChunkSeconds);
  } else if (Outcome == "refused") {
    ++Into.Refused;
  } else if (Outcome != "caller-left" && Outcome != "denied") {
    ++Into.Failed;
  }
}

void RunReport::add(const std::string &Source, std::string_view Text) {
  const std::string_view Time = logTimeOf(Text);
  if (Time.empty())
    return;
  this->SuppressedLines += suppressedLines(Text);
  if (!logValue(Text, "outcome").empty()) {
    const std::string Name = nameBeforeTime(Text, Time);
    this->addRequest(Name.empty() ? Source : Name, Text);
  } else if (!logValue(Text, "ask").empty() &&
             !logValue(Text, "free").empty()) {
    this->addRefusal(Text);
  }
}

void RunReport::addRequest(const std::string &Router, std::string_view Text) {
  const std::string Outcome = logValue(Text, "outcome");
  const auto First = static_cast<float>(numberOf(logValue(Text, "first")));
  const std::string Second(logTimeOf(Text).substr(0, TimeToSecondLength));
  record(this->Total, Outcome, First);
  record(this->ByRouter[Router], Outcome, First);
  record(this->BySecond[Second], Outcome, First);
  record(this->ByRoute[logValue(Text, "route")], Outcome, First);
  record(this->ByAccount[logValue(Text, "account")], Outcome, First);
  if (const std::string Allocator = logValue(Text, "allocator");
      !Allocator.empty())
    record(this->ByAllocator[Allocator], Outcome, First);
  if (const std::string Reason = logValue(Text, "refused"); !Reason.empty())
    ++this->Reasons[Reason];
}

void RunReport::addRefusal(std::string_view Text) {
  const double Free = numberOf(logValue(Text, "free"));
  double Servers = Free;
  for (const char *Name :
       {"slots-taken", "prompts-wait", "unsound", "warming-up"})
    Servers += numberOf(logValue(Text, Name));
  if (Free <= 0)
    ++this->RefusalsByCapacity[0];
  else
    ++this->RefusalsByCapacity[Free * 4 < Servers   ? 1
                               : Free * 2 < Servers ? 2
                                                    : 3];
}

void RunReport::printTable(std::ostream &Out, const char *Title,
                           const std::map<std::string, OutcomeCounts> &Groups) {
  std::vector<std::pair<std::string, const OutcomeCounts *>> Rows;
  Rows.reserve(Groups.size());
  for (const auto &[Name, Each] : Groups)
    Rows.emplace_back(Name, &Each);
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.second->Requests - Left.second->Served >
                            Right.second->Requests - Right.second->Served;
                   });
  constexpr int NameWidth = 28;
  constexpr int Width = 10;
  Out << '\n' << std::left << std::setw(NameWidth) << Title << std::right;
  for (const char *Column :
       {"requests", "served", "refused", "failed", "first p50", "p95"})
    Out << std::setw(Width) << Column;
  Out << '\n';
  for (std::size_t Row = 0; Row < std::min(Rows.size(), MaxRows); ++Row) {
    const OutcomeCounts &Each = *Rows[Row].second;
    Out << std::left << std::setw(NameWidth)
        << (Rows[Row].first.empty() ? "-" : Rows[Row].first) << std::right
        << std::setw(Width) << Each.Requests << std::setw(Width)
        << ratioOf(Each.Served, Each.Requests) << std::setw(Width)
        << ratioOf(Each.Refused, Each.Requests) << std::setw(Width)
        << ratioOf(Each.Failed, Each.Requests) << std::setw(Width)
        << quantile(Each.FirstChunkSeconds, 0.5) << std::setw(Width)
        << quantile(Each.FirstChunkSeconds, 0.95) << '\n';
  }
  if (Rows.size() > MaxRows)
    Out << "and " << Rows.size() - MaxRows << " more, with fewer losses\n";
}

void RunReport::print(std::ostream &Out) const {
  Out << std::fixed << std::setprecision(3);
  Out << this->Total.Requests << " requests ended; served "
      << ratioOf(this->Total.Served, this->Total.Requests) << ", refused "
      << ratioOf(this->Total.Refused, this->Total.Requests) << ", failed "
      << ratioOf(this->Total.Failed, this->Total.Requests) << '\n';
  if (this->SuppressedLines > 0)
    Out << this->SuppressedLines
        << " lines were left out by the routers: all counts "
           "are lower bounds\n";
  Out << "\nrefusal reasons\n";
  for (const auto &[Reason, Count] : this->Reasons)
    Out << std::setw(10) << Count << "  " << Reason << '\n';
  Out << "\nservers with free capacity when an allocator refused\n";
  for (std::size_t Bucket = 0; Bucket < CapacityBuckets; ++Bucket)
    Out << std::setw(10) << this->RefusalsByCapacity[Bucket] << "  "
        << CapacityBucketNames[Bucket] << '\n';
  printTable(Out, "route", this->ByRoute);
  printTable(Out, "account", this->ByAccount);
  printTable(Out, "router", this->ByRouter);
  printTable(Out, "allocator", this->ByAllocator);
  printTable(Out, "second", this->BySecond);
}

void RunReport::printPlot(std::ostream &Out) const {
  Out << "$Seconds << END\n";
  std::size_t Number = 0;
  for (const auto &[Second, Each] : this->BySecond)
    Out << Number++ << ' ' << Each.Served << ' ' << Each.Refused << ' '
        << Each.Failed << ' ' << quantile(Each.FirstChunkSeconds, 0.95) << '\n';
  Out << "END\n"
         "set multiplot layout 2,1\n"
         "set xlabel 'second'\n"
         "set ylabel 'requests a second'\n"
         "plot $Seconds using 1:2 with lines title 'served', \\\n"
         "  '' using 1:3 with lines title 'refused', \\\n"
         "  '' using 1:4 with lines title 'failed'\n"
         "set ylabel 'time to first chunk, s, p95'\n"
         "plot $Seconds using 1:5 with lines notitle\n"
         "unset multiplot\n";
}

} // namespace parsleywing
