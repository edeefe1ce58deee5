#include "Platform/FencedLease.h"
#include "standin/StoreStandIn.h"

#include <criterion/criterion.h>
#include <csignal>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr FencedLeaseTiming ShortTiming{2s, 800ms, 300ms, 300ms, 100ms};

/// An order that could be sent, and when the holder checked its lease, by the
/// machine's clock, which both processes share.
struct Order {
  FencingNumber Number;
  std::int64_t CheckedAt;
};

std::int64_t machineTime() {
  return std::chrono::steady_clock::now().time_since_epoch().count();
}

/// Runs in a child process: acquires the lease, and writes an order to the pipe
/// each time that it could send one.
[[noreturn]] void holdAndReport(const std::string &Address, int Pipe) {
  const auto Budget =
      std::make_shared<StoreBudget>(1000, 1000, Clock::steady().now());
  FencedLease Lease({"orders/s1", "child", ShortTiming, 3},
                    {Address, 200ms, 500ms}, Budget, Clock::steady());
  Lease.setWanted(true);
  while (true) {
    Order Next{0, machineTime()};
    if (const auto Number = Lease.fencingNumber()) {
      Next.Number = *Number;
      if (write(Pipe, &Next, sizeof(Next)) < 0)
        _exit(1);
    }
    std::this_thread::sleep_for(2ms);
  }
}

std::vector<Order> readOrders(int Pipe) {
  std::vector<Order> All;
  Order Next{};
  while (read(Pipe, &Next, sizeof(Next)) == sizeof(Next))
    All.push_back(Next);
  return All;
}

template <typename Condition> bool eventually(Condition Holds) {
  for (int Attempt = 0; Attempt < 1000; ++Attempt) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

} // namespace

// Guards against a stale order that reaches a server: the process that holds
// the lease is stopped (SIGSTOP) beyond the lease's TTL, another process
// acquires the lease and sends orders, and the first is continued (SIGCONT) and
// uses its old number. Two mechanisms prevent this, the check of the clock in
// FencedLeaseState::fencingNumber and the holder's own tick. If only the first
// is missing, this test may pass; FencedLeaseTest then fails.
Test(PausedHolder, sendsNoOrderAfterItIsContinued) {
  int Pipes[2];
  int Address[2];
  cr_assert_eq(pipe(Pipes), 0);
  cr_assert_eq(pipe(Address), 0);
  // The child is forked before this process has threads.
  const pid_t Child = fork();
  if (Child == 0) {
    char Text[64] = {};
    if (read(Address[0], Text, sizeof(Text) - 1) <= 0)
      _exit(1);
    holdAndReport(Text, Pipes[1]);
  }
  standin::StoreStandIn Store({"127.0.0.1:0"});
  Store.start();
  const std::string StoreAddress = Store.address();
  cr_assert_eq(write(Address[1], StoreAddress.data(), StoreAddress.size()),
               static_cast<ssize_t>(StoreAddress.size()));
  fcntl(Pipes[0], F_SETFL, O_NONBLOCK);
  std::vector<Order> Before;
  cr_assert(eventually([&] {
    Before = readOrders(Pipes[0]);
    return !Before.empty();
  }));
  kill(Child, SIGSTOP);
  const std::int64_t StoppedAt = machineTime() + 100'000'000;
  const auto Budget =
      std::make_shared<StoreBudget>(1000, 1000, Clock::steady().now());
  FencedLease Successor({"orders/s1", "successor", ShortTiming, 4},
                        {StoreAddress, 200ms, 500ms}, Budget, Clock::steady());
  Successor.setWanted(true);
  cr_assert(eventually([&] { return Successor.fencingNumber().has_value(); }));
  cr_assert_gt(*Successor.fencingNumber(), Before.back().Number);
  readOrders(Pipes[0]);
  kill(Child, SIGCONT);
  std::this_thread::sleep_for(1s);
  const auto After = readOrders(Pipes[0]);
  kill(Child, SIGKILL);
  waitpid(Child, nullptr, 0);
  // One check may have happened just before the stop; the takeover delay covers
  // it.
  for (const Order &Each : After)
    cr_assert_lt(Each.CheckedAt, StoppedAt, "an order after it was continued");
}
