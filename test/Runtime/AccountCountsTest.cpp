#include "Runtime/AccountCounts.h"

#include <criterion/criterion.h>

using namespace parsleywing;

// Guards against a flood that hides in rate limited lines what an account got.
Test(AccountCounts, countsEachRequestAndToken) {
  AccountCounts Counts;
  for (int I = 0; I < 3; ++I)
    Counts.recordAsked("a", 100);
  Counts.recordBegun("a", 100);
  Counts.recordRefused("a", "short-of-time");
  Counts.recordRefused("a", "short-of-time");
  Counts.recordAsked("b", 5);
  Counts.recordBegun("b", 5);
  const auto Recent = Counts.takeRecent();
  cr_assert_eq(textOfRefused(Recent, 3),
               "account=a asked=3 begun=1 asked-tokens=300 begun-tokens=100 "
               "short-of-time=2");
  cr_assert(Counts.takeRecent().empty());
  cr_assert_eq(Counts.totals().at("b").AskedTokens, 5);
}

// Guards against a line that leaves out the account that was refused most.
Test(AccountCounts, namesThoseOfWhichMostWasRefused) {
  AccountCounts Counts;
  for (int I = 0; I < 9; ++I)
    for (int Times = 0; Times <= I; ++Times)
      Counts.recordRefused("a" + std::to_string(I), "timed-out");
  const std::string Text = textOfRefused(Counts.takeRecent(), 2);
  cr_assert(Text.starts_with("account=a8 "), "%s", Text.c_str());
  cr_assert_neq(Text.find("account=a7 "), std::string::npos);
  cr_assert_eq(Text.find("account=a6 "), std::string::npos);
}

// Guards against memory that grows with the number of accounts.
Test(AccountCounts, countsAccountsBeyondTheBoundAsOne) {
  AccountCounts Counts;
  for (std::size_t I = 0; I < 24'000; ++I)
    Counts.recordAsked("a" + std::to_string(I), 1);
  const auto Recent = Counts.takeRecent();
  cr_assert_eq(Recent.size(), AccountCounts::MaxAccounts + 1);
  cr_assert_eq(Recent.at(std::string(AccountCounts::Others)).Asked,
               24'000 - AccountCounts::MaxAccounts);
  cr_assert_leq(Counts.totals().size(), AccountCounts::MaxAccounts + 1);
}
