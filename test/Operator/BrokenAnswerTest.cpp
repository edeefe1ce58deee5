#include "MalformedAnswers.h"
#include "Operator/OperatorClient.h"
#include "RawServer.h"

#include <criterion/criterion.h>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

Result<std::string> dumpOf(const RawAnswer &Answer,
                           const std::string &Body = "") {
  RawServer Router([&](const std::string &, std::size_t) { return Answer; });
  const OperatorClient Client(Router.address(), 2s);
  return Body.empty() ? Client.get("/dump") : Client.post("/faults", Body);
}

} // namespace

// Guards against a part of a dump that operators take for a whole one.
Test(BrokenAnswer, ofARouterThatEndsEarlyIsNone, .timeout = 60) {
  for (const RawEnd End : {RawEnd::OrderlyThenReset, RawEnd::Reset})
    for (const std::string Framed :
         {"Content-Length: 20\r\n\r\na part",
          "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n"})
      cr_expect_not(dumpOf({"HTTP/1.1 200 OK\r\n" + Framed, End}).has_value(),
                    "%s", Framed.c_str());
}

// The same of a reset that a write meets before a read does.
Test(BrokenAnswer, ofARouterThatIsResetIsNone, .timeout = 60) {
  constexpr std::size_t OrderBytes = 1U << 20U;
  constexpr int Plays = 20;
  for (int Play = 0; Play < Plays; ++Play)
    cr_expect_not(
        dumpOf({"HTTP/1.1 200 OK\r\n\r\na part"}, std::string(OrderBytes, 'u'))
            .has_value());
}

// Guards against a malformed answer that is taken for one of a router.
Test(MalformedAnswer, ofARouterIsNone, .timeout = 60) {
  std::vector<MalformedAnswer> Answers = malformedStatusLines();
  for (const MalformedAnswer &Each : malformedFields())
    Answers.push_back(Each);
  for (const MalformedAnswer &Each : Answers)
    cr_expect_not(dumpOf({Each.Bytes, RawEnd::OrderlyThenReset}).has_value(),
                  "%s", Each.Name.c_str());
}

// Guards against an operator's command that keeps an answer without end.
Test(BrokenAnswer, ofARouterWithoutEndIsNone, .timeout = 60) {
  constexpr std::size_t EndlessBytes = 80U << 20U;
  cr_expect_not(
      dumpOf({"HTTP/1.1 200 OK\r\n\r\n" + std::string(EndlessBytes, 'x'),
              RawEnd::OrderlyThenReset})
          .has_value());
}

// Guards against rejecting a whole answer.
Test(BrokenAnswer, aWholeAnswerOfARouterIsOne, .timeout = 60) {
  const auto Dump = dumpOf({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                            RawEnd::OrderlyThenReset});
  cr_assert(Dump.has_value(), "%s", Dump.error().Message.c_str());
  cr_assert_eq(*Dump, "hello");
}
