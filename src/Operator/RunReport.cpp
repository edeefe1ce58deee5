#include "Operator/RunReport.h"

#include "Operator/LogLine.h"

#include <Poco/NumberParser.h>
#include <algorithm>
#include <iomanip>
#include <ostream>

namespace parsleywing {

namespace {

/// Rows of a table: an operator looks at the worst first.
constexpr std::size_t MostRows = 12;

constexpr std::size_t SecondLength =
    std::string_view("0000-00-00T00:00:00").size();

constexpr std::array<const char *, 4> RoomNames{"no server", "below a quarter",
                                                "below half", "half or more"};

/// A number of a line; zero where it is none, since the line is somebody's
/// text.
double numberOf(const std::string &Text) {
  double Value = 0;
  return Poco::NumberParser::tryParseFloat(Text, Value) ? Value : 0;
}

/// The last word before the time: a log collector puts the router's name there.
std::string nameBefore(std::string_view Text, std::string_view Time) {
  std::string_view Before =
      Text.substr(0, static_cast<std::size_t>(Time.data() - Text.data()));
  while (!Before.empty() && Before.back() == ' ')
    Before.remove_suffix(1);
  const std::size_t Space = Before.rfind(' ');
  return std::string(
      Space == std::string_view::npos ? Before : Before.substr(Space + 1));
}

double partOf(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

/// The value that this part of the others does not exceed.
float quantile(std::vector<float> Values, double Part) {
  if (Values.empty())
    return 0;
  const auto Place = static_cast<std::ptrdiff_t>(
      Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + Place, Values.end());
  return Values[static_cast<std::size_t>(Place)];
}

/// The count in "(4 lines left out before)".
std::uint64_t linesLeftOut(std::string_view Text) {
  constexpr std::string_view Words = " lines left out before)";
  const std::size_t End = Text.find(Words);
  if (End == std::string_view::npos)
    return 0;
  const std::size_t Begin = Text.rfind('(', End);
  if (Begin == std::string_view::npos)
    return 0;
  return static_cast<std::uint64_t>(
      numberOf(std::string(Text.substr(Begin + 1, End - Begin - 1))));
}

} // namespace

void RunReport::note(Ends &Into, const std::string &Outcome, float FirstPiece) {
  ++Into.Requests;
  if (Outcome == "served") {
    ++Into.Served;
    Into.FirstPiece.push_back(FirstPiece);
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
  this->LeftOut += linesLeftOut(Text);
  if (!logValue(Text, "outcome").empty()) {
    const std::string Name = nameBefore(Text, Time);
    this->addRequest(Name.empty() ? Source : Name, Text);
  } else if (!logValue(Text, "ask").empty() &&
             !logValue(Text, "free").empty()) {
    this->addRefusedAsk(Text);
  }
}

void RunReport::addRequest(const std::string &Router, std::string_view Text) {
  const std::string Outcome = logValue(Text, "outcome");
  const auto First = static_cast<float>(numberOf(logValue(Text, "first")));
  const std::string Second(logTimeOf(Text).substr(0, SecondLength));
  note(this->All, Outcome, First);
  note(this->ByRouter[Router], Outcome, First);
  note(this->BySecond[Second], Outcome, First);
  note(this->ByRoute[logValue(Text, "route")], Outcome, First);
  note(this->ByAccount[logValue(Text, "account")], Outcome, First);
  if (const std::string Asked = logValue(Text, "allocator"); !Asked.empty())
    note(this->ByAllocator[Asked], Outcome, First);
  if (const std::string Why = logValue(Text, "refused"); !Why.empty())
    ++this->Reasons[Why];
}

void RunReport::addRefusedAsk(std::string_view Text) {
  const double Free = numberOf(logValue(Text, "free"));
  double Servers = Free;
  for (const char *Name :
       {"slots-taken", "prompts-wait", "unsound", "warming-up"})
    Servers += numberOf(logValue(Text, Name));
  if (Free <= 0)
    ++this->RefusedAtRoom[0];
  else
    ++this->RefusedAtRoom[Free * 4 < Servers ? 1 : Free * 2 < Servers ? 2 : 3];
}

void RunReport::printEnds(std::ostream &Out, const char *Title,
                          const std::map<std::string, Ends> &Of) {
  std::vector<std::pair<std::string, const Ends *>> Rows;
  Rows.reserve(Of.size());
  for (const auto &[Name, Each] : Of)
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
  for (std::size_t Row = 0; Row < std::min(Rows.size(), MostRows); ++Row) {
    const Ends &Each = *Rows[Row].second;
    Out << std::left << std::setw(NameWidth)
        << (Rows[Row].first.empty() ? "-" : Rows[Row].first) << std::right
        << std::setw(Width) << Each.Requests << std::setw(Width)
        << partOf(Each.Served, Each.Requests) << std::setw(Width)
        << partOf(Each.Refused, Each.Requests) << std::setw(Width)
        << partOf(Each.Failed, Each.Requests) << std::setw(Width)
        << quantile(Each.FirstPiece, 0.5) << std::setw(Width)
        << quantile(Each.FirstPiece, 0.95) << '\n';
  }
  if (Rows.size() > MostRows)
    Out << "and " << Rows.size() - MostRows << " more, which lost less\n";
}

void RunReport::print(std::ostream &Out) const {
  Out << std::fixed << std::setprecision(3);
  Out << this->All.Requests << " requests ended; served "
      << partOf(this->All.Served, this->All.Requests) << ", refused "
      << partOf(this->All.Refused, this->All.Requests) << ", failed "
      << partOf(this->All.Failed, this->All.Requests) << '\n';
  if (this->LeftOut > 0)
    Out << this->LeftOut
        << " lines were left out by the routers: all counts "
           "are lower bounds\n";
  Out << "\nrefused for\n";
  for (const auto &[Why, Count] : this->Reasons)
    Out << std::setw(10) << Count << "  " << Why << '\n';
  Out << "\nservers with room while an allocator refused\n";
  for (std::size_t Part = 0; Part < RoomParts; ++Part)
    Out << std::setw(10) << this->RefusedAtRoom[Part] << "  " << RoomNames[Part]
        << '\n';
  printEnds(Out, "route", this->ByRoute);
  printEnds(Out, "account", this->ByAccount);
  printEnds(Out, "router", this->ByRouter);
  printEnds(Out, "allocator", this->ByAllocator);
  printEnds(Out, "second", this->BySecond);
}

void RunReport::printPlot(std::ostream &Out) const {
  Out << "$Seconds << END\n";
  std::size_t Number = 0;
  for (const auto &[Second, Each] : this->BySecond)
    Out << Number++ << ' ' << Each.Served << ' ' << Each.Refused << ' '
        << Each.Failed << ' ' << quantile(Each.FirstPiece, 0.95) << '\n';
  Out << "END\n"
         "set multiplot layout 2,1\n"
         "set xlabel 'second'\n"
         "set ylabel 'requests a second'\n"
         "plot $Seconds using 1:2 with lines title 'served', \\\n"
         "  '' using 1:3 with lines title 'refused', \\\n"
         "  '' using 1:4 with lines title 'failed'\n"
         "set ylabel 'first piece, s, 95 in 100'\n"
         "plot $Seconds using 1:5 with lines notitle\n"
         "unset multiplot\n";
}

} // namespace parsleywing
