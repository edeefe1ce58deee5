#include "Loop/BufferBudget.h"

#include <criterion/criterion.h>
#include <memory>

using namespace parsleywing;

namespace {

constexpr std::size_t Limit = 100'000;

/// A budget with connections that record their end.
struct Connections {
  BufferBudget Budget{Limit};
  std::vector<BufferShare> Shares{};
  std::vector<std::size_t> Ended{};
  std::size_t Walks = 0;
  bool CanEnd = true;

  Connections() {
    this->Budget.setHolders([this] {
      ++this->Walks;
      std::vector<BufferHolder> Holders;
      for (std::size_t Index = 0; Index < this->Sizes.size(); ++Index)
        Holders.push_back(
            {this->Unread[Index], this->Sizes[Index], [this, Index] {
               if (!this->CanEnd)
                 return;
               this->Ended.push_back(this->Sizes[Index]);
               this->Shares[Index].set(0);
               this->Sizes[Index] = 0;
               this->Unread[Index] = 0;
             }});
      return Holders;
    });
  }

  void add(std::size_t Bytes, std::size_t UnreadBytes = 0) {
    this->Sizes.push_back(Bytes);
    this->Unread.push_back(UnreadBytes);
    this->Shares.emplace_back(this->Budget, BufferUse::ToCaller).set(Bytes);
    this->Budget.relieve();
  }

private:
  std::vector<std::size_t> Sizes{};
  std::vector<std::size_t> Unread{};
};

} // namespace

// Guards against connections that end below the limit, and against a walk over
// all connections at each read.
Test(BufferBudget, endsNothingUpToItsLimit) {
  Connections All;
  for (int Count = 0; Count < 10; ++Count)
    All.add(Limit / 10);
  cr_assert_eq(All.Budget.held(), Limit);
  cr_assert_eq(All.Walks, 0U);
}

// Guards against an end of connections that hold little, of more than are
// needed, and of requests whose callers read while others do not.
Test(BufferBudget, endsMostUnreadThenLargest) {
  Connections All;
  All.add(30'000);
  All.add(10'000, 5'000);
  All.add(20'000, 8'000);
  All.add(25'000);
  All.add(20'000);
  cr_assert((All.Ended == std::vector<std::size_t>{20'000}));
  cr_assert_eq(All.Budget.held(), 85'000U);
  All.add(40'000, 1'000);
  cr_assert((All.Ended == std::vector<std::size_t>{20'000, 10'000, 40'000}));
}

// Guards against a walk at each read while nothing can be freed, and against
// none once more has been buffered.
Test(BufferBudget, waitsForGrowthIfNothingCanBeFreed) {
  Connections All;
  All.CanEnd = false;
  All.add(Limit + 1);
  for (int Count = 0; Count < 10; ++Count)
    All.Budget.relieve();
  cr_assert_eq(All.Walks, 1U);
  All.CanEnd = true;
  All.add(Limit / 10);
  cr_assert_eq(All.Walks, 2U);
  cr_assert_leq(All.Budget.held(), Limit);
}

// Guards against bytes that are counted twice, or never released, when a
// request takes over the buffers of its connection.
Test(BufferBudget, countsMovedAndReleasedSharesOnce) {
  BufferBudget Budget(Limit);
  {
    BufferShare First(Budget, BufferUse::RequestBody);
    First.set(30'000);
    BufferShare Second = std::move(First);
    BufferShare Third(Budget, BufferUse::ToServer);
    Third.set(10'000);
    Third = std::move(Second);
    cr_assert_eq(Budget.held(), 30'000U);
    cr_assert_eq(Budget.held(BufferUse::RequestBody), 30'000U);
    cr_assert(Budget.hasRoomForBody(20'000));
    cr_assert_not(Budget.hasRoomForBody(20'001));
  }
  cr_assert_eq(Budget.held(), 0U);
}
