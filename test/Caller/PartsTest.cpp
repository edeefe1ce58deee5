#include "Caller/AccountKeys.h"
#include "Caller/Problem.h"
#include "Caller/ProgressReporter.h"

#include <criterion/criterion.h>
#include <vector>

using namespace parsleywing;

Test(ProgressReporter, ReportsEachSixteenthTokenAndTheLast) {
  const Clock Time = Clock::paused();
  std::vector<std::uint64_t> Posted;
  ProgressReporter Reporter(Time,
                            [&](std::uint64_t T) { Posted.push_back(T); });
  for (std::uint64_t Token = 1; Token <= 35; ++Token)
    Reporter.report(Token);
  Reporter.flush();
  Reporter.flush();
  cr_assert(Posted == std::vector<std::uint64_t>({16, 32, 35}));
}

Test(ProgressReporter, ReportsSlowTokensByTime) {
  Clock Time = Clock::paused();
  std::vector<std::uint64_t> Posted;
  ProgressReporter Reporter(Time,
                            [&](std::uint64_t T) { Posted.push_back(T); });
  Reporter.report(1);
  Time.advance(ProgressReporter::MaxDelay);
  Reporter.report(2);
  Reporter.report(3);
  cr_assert(Posted == std::vector<std::uint64_t>({2}));
}

Test(AccountKeys, FindsTheAccountOfTheDigestOnly) {
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

Test(Problem, AnUnknownOutcomeIsNeverAnnouncedAsNotRun) {
  const FinishRequest Answer{RequestId{1}, RequestOutcome::Unknown,
                             ResponseReason::ServerFailed, Duration::zero()};
  const Problem P = problemOf(Answer);
  cr_assert_eq(statusOf(P), Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY);
  cr_assert(documentOf(P, "r1").find("\"outcome\":\"unknown\"") !=
            std::string::npos);
}
