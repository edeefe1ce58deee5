#include "Decision/ServerConditions.h"

#include <criterion/criterion.h>

using namespace parsleywing;

namespace {

constexpr ServerId Server{7};
constexpr Duration Limit = std::chrono::seconds(2);
const TimePoint Start = Clock::paused().now();

ServerConditionChanged word(ServerCondition Condition,
                            Duration For = Duration::zero()) {
  return {Server, Condition, For};
}

} // namespace

// Symptom: a router never sends work to a server again that works.
// Sequence: an attempt meets the server failing; another router polls it and
// alone hears that it is back.
// Cause: a word of an attempt that held until the next. Fails without
// ServerConditions::expire.
Test(ServerConditions, AWordOfAnAttemptHoldsForItsTimeOnly) {
  ServerConditions Conditions;
  const auto Failed =
      Conditions.take(Start, word(ServerCondition::Failed, Limit));
  cr_assert(Failed && Failed->Condition == ServerCondition::Failed);
  cr_assert(Conditions.expire(Start + Limit / 2).empty());
  const auto Again = Conditions.expire(Start + Limit);
  cr_assert_eq(Again.size(), 1);
  cr_assert(Again[0].Condition == ServerCondition::Usable);
  cr_assert(Conditions.expire(Start + 2 * Limit).empty());
}

// Symptom: work goes to a server that its load reports call failed.
// Sequence: the reports say "failed"; an attempt met it too; time passes.
// Cause: the end of the attempt's word lifted the lasting one as well.
Test(ServerConditions, ALastingWordStaysUntilTheNext) {
  ServerConditions Conditions;
  Conditions.take(Start, word(ServerCondition::Leaving));
  cr_assert(!Conditions.take(Start, word(ServerCondition::Failed, Limit)));
  cr_assert(Conditions.expire(Start + Limit).empty());
  Conditions.take(Start, word(ServerCondition::Failed, Limit));
  const auto Usable = Conditions.take(Start, word(ServerCondition::Usable));
  cr_assert(Usable && Usable->Condition == ServerCondition::Usable);
  cr_assert(Conditions.expire(Start + Limit).empty());
}
