#include "Operator/RequestStory.h"
#include "Operator/LogLine.h"

#include <criterion/criterion.h>
#include <map>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

using Logs = std::map<std::string, std::vector<std::string>>;

std::vector<RequestStory::Line> storyOf(const std::string &Id,
                                        const Logs &From) {
  RequestStory Story(Id, 2s);
  for (const auto &[Source, Lines] : From)
    for (const std::string &Line : Lines)
      Story.look(Line);
  if (!Story.begin())
    return {};
  for (const auto &[Source, Lines] : From)
    for (const std::string &Line : Lines)
      Story.gather(Source, Line);
  return Story.lines();
}

const Logs TwoRouters{
    {"r1",
     {"2026-01-23T04:26:10.000 WARN  platform: store=lost call=watch",
      "2026-01-23T04:26:16.000 INFO  caller: request=other outcome=served",
      "2026-01-23T04:26:16.500 WARN  platform: store=regained",
      "2026-01-23T04:26:17.000 INFO  caller: request=abc ask=7f-3 no",
      "2026-01-23T04:26:17.001 INFO  caller: request=abc outcome=refused",
      "2026-01-23T04:26:17.001 INFO  caller: request=abcd outcome=served"}},
    {"r2",
     {"2026-01-23T04:26:16.999 INFO  peer: ask=7f-3 refused: waiting=9",
      "2026-01-23T04:26:16.999 INFO  peer: ask=7f-33 refused: waiting=8"}},
    {"r3", {"2026-01-23T04:26:17.000 INFO  program: ready=no"}},
};

} // namespace

Test(RequestStory, mergesLinesOfRouterAndAllocatorByTime) {
  const auto Story = storyOf("abc", TwoRouters);
  cr_assert_eq(Story.size(), 4);
  cr_expect(Story[0].Text.ends_with("store=regained"));
  cr_expect_not(Story[0].Named);
  cr_expect_eq(Story[1].Source, "r2");
  cr_expect(Story[1].Named);
  cr_expect(Story[2].Text.ends_with("request=abc ask=7f-3 no"));
  cr_expect(Story[3].Text.find("outcome=refused") != std::string::npos);
}

Test(RequestStory, unknownRequestHasNoLines) {
  cr_expect(storyOf("nowhere", TwoRouters).empty());
}

Test(RequestStory, acceptsThePrefixOfALogCollector) {
  const auto Story = storyOf(
      "abc",
      {{"-",
        {"vm-3 router[17] 2026-12-31T23:59:59.900 INFO  caller: "
         "request=abc outcome=served",
         "vm-3 router[17] 2027-01-01T00:00:01.000 INFO  program: stop"}}});
  cr_assert_eq(Story.size(), 2);
  cr_expect_eq(Story[1].Time, "2027-01-01T00:00:01.000");
}

Test(RequestStory, linesWithoutATimeAreIgnored) {
  cr_expect(logTimeOf("request=abc outcome=served").empty());
  cr_expect(logTimeOf("").empty());
  cr_expect(storyOf("abc", {{"-", {"request=abc outcome=served"}}}).empty());
}

Test(RequestStory, shiftedTimeCrossesMidnight) {
  cr_expect_eq(shiftedLogTime("2026-12-31T23:59:59.500", 1500ms),
               "2027-01-01T00:00:01.000");
  cr_expect_eq(shiftedLogTime("2026-03-01T00:00:00.100", -200ms),
               "2026-02-28T23:59:59.900");
}
