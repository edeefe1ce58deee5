#include "Decision/Fairness/FairQueue.h"

#include <criterion/criterion.h>

using namespace parsleywing;

Test(FairQueue, lowestTagFirstAndInOrderWithinAnAccount) {
  FairQueue Queue;
  Queue.push(1, {RequestId{10}, 1}, 5, false);
  Queue.push(1, {RequestId{11}, 1}, 5, false);
  Queue.push(2, {RequestId{20}, 1}, 3, false);
  cr_assert_eq(*Queue.next(), PairId{2});
  Queue.reposition(2, 9, false);
  cr_assert_eq(*Queue.next(), PairId{1});
  cr_assert_eq(Queue.pop(1).Request.Value, 10U);
  cr_assert_eq(Queue.pop(1).Request.Value, 11U);
  cr_assert_eq(*Queue.next(), PairId{2});
  cr_assert_eq(Queue.size(), 1U);
}

Test(FairQueue, cappedAccountsAreServedLastButNotBlocked) {
  FairQueue Queue;
  Queue.push(1, {RequestId{10}, 1}, 1, true);
  Queue.push(2, {RequestId{20}, 1}, 3, false);
  cr_assert_eq(*Queue.next(), PairId{2});
  cr_assert_eq(*Queue.lowestTag(), 1.0);
  Queue.pop(2);
  cr_assert_eq(*Queue.next(), PairId{1});
}

Test(FairQueue, withdrawnRequestsAreRemoved) {
  FairQueue Queue;
  Queue.push(1, {RequestId{10}, 1}, 1, false);
  cr_assert(!Queue.withdraw(1, RequestId{11}));
  cr_assert(Queue.withdraw(1, RequestId{10}));
  cr_assert(Queue.empty());
  cr_assert(!Queue.next().has_value());
}
