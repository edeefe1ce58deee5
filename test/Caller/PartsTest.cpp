#include "Caller/AccountKeys.h"
#include "Caller/Problem.h"
#include "Caller/ProgressReporter.h"

#include <criterion/criterion.h>
#include <vector>

using namespace parsleywing;

Test(ProgressReporter, ReportsEverySixteenthTokenAndTheLast) {
  const Clock Time = Clock::paused();
  std::vector<std::uint64_t> Posted;
  ProgressReporter Reporter(
      Time, [&](std::uint64_t Tokens) { Posted.push_back(Tokens); });
  for (std::uint64_t Token = 1; Token <= 35; ++Token)
    Reporter.report(Token);
  Reporter.flush();
  Reporter.flush();
  cr_assert(Posted == std::vector<std::uint64_t>({16, 32, 35}));
}

Test(ProgressReporter, ReportsSlowTokensAfterTheMaximumDelay) {
  Clock Time = Clock::paused();
  std::vector<std::uint64_t> Posted;
  ProgressReporter Reporter(
      Time, [&](std::uint64_t Tokens) { Posted.push_back(Tokens); });
  Reporter.report(1);
  Time.advance(ProgressReporter::MaxDelay);
  Reporter.report(2);
  Reporter.report(3);
  cr_assert(Posted == std::vector<std::uint64_t>({2}));
}

Test(AccountKeys, FindsOnlyTheAccountWithTheDigest) {
  Declarations Declared;
  const auto Kettle = idOf<AccountId>("kettle");
  // SHA-256 of "abc", from FIPS 180-2, appendix B.1.
  Declared.Accounts[Kettle].KeyDigest =
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  const AccountKeys Keys(Declared);
  cr_assert(Keys.find("abc") == Kettle);
  cr_assert_not(Keys.find("abd").has_value());
  cr_assert_not(Keys.find("").has_value());
}

Test(Problem, AnUnknownOutcomeIsNeverReportedAsNotRun) {
  const FinishRequest Finish{RequestId{1}, RequestOutcome::Unknown,
                             ResponseReason::ServerFailed, Duration::zero()};
  const Problem P = problemOf(Finish);
  cr_assert_eq(statusOf(P), Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY);
  cr_assert(documentOf(P, "r1").find("\"outcome\":\"unknown\"") !=
            std::string::npos);
}
