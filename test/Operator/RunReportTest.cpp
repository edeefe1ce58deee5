#include "Operator/RunReport.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace parsleywing;

namespace {

std::string line(const std::string &Rest) {
  return "front-1 2026-01-08T01:12:53.245 INFO  caller: " + Rest;
}

std::string printed(const RunReport &Report) {
  std::ostringstream Text;
  Report.print(Text);
  return Text.str();
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

Test(RunReport, countsRequestsByOutcome) {
  RunReport Report;
  Report.add("f", line("request=1 account=a route=r outcome=served "
                       "allocator=front-2 first=0.237 total=0.575"));
  Report.add("f", line("request=2 account=a route=r outcome=refused "
                       "refused=no-room-in-time first=- total=0.1"));
  Report.add("f", line("request=3 account=b route=r outcome=failed first=-"));
  Report.add("f", line("request=4 account=b route=r outcome=caller-left"));
  Report.add("f", "no time, no line");
  cr_assert_eq(Report.requests(), 4U);
  const std::string Text = printed(Report);
  cr_expect(contains(Text, "served 0.250, refused 0.250, failed 0.250"), "%s",
            Text.c_str());
  cr_expect(contains(Text, "1  no-room-in-time"));
  cr_expect(contains(Text, "front-1 "));
  cr_expect(contains(Text, "front-2 "));
}

Test(RunReport, countsRefusalsByFreeCapacity) {
  RunReport Report;
  const std::string AllocationRefusal =
      "ask=1-2 refused: waiting=3 at-servers=9 free=";
  Report.add("f", line("request=1 outcome=served first=0.1"));
  Report.add("f", line(AllocationRefusal +
                       "0 slots-taken=4 prompts-wait=0 unsound=0"));
  Report.add("f", line(AllocationRefusal +
                       "1 slots-taken=7 prompts-wait=0 unsound=0"));
  Report.add("f", line(AllocationRefusal +
                       "2 slots-taken=2 prompts-wait=2 unsound=0"));
  Report.add("f", line(AllocationRefusal +
                       "2 slots-taken=1 prompts-wait=0 unsound=1"));
  const std::string Text = printed(Report);
  for (const char *Part : {"1  no server", "1  below a quarter",
                           "1  below half", "1  half or more"})
    cr_expect(contains(Text, Part), "%s in %s", Part, Text.c_str());
}

Test(RunReport, reportsSuppressedLines) {
  RunReport Report;
  Report.add("f", line("request=1 outcome=served first=0.1 (4 lines left out "
                       "before)"));
  Report.add("f", line("request=2 outcome=served first=0.1 (3 lines left out "
                       "before)"));
  cr_assert(contains(printed(Report), "7 lines were left out"));
}

Test(RunReport, plotsEachSecond) {
  RunReport Report;
  Report.add("f", line("request=1 outcome=served first=0.5"));
  std::ostringstream Plot;
  Report.printPlot(Plot);
  cr_assert(contains(Plot.str(), "0 1 0 0 0.5"), "%s", Plot.str().c_str());
  cr_assert(contains(Plot.str(), "plot $Seconds"));
}
