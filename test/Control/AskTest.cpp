#include "Control/ControlLoop.h"

#include <criterion/criterion.h>
#include <future>

using namespace parsleywing;

Test(Ask, RunsOnTheControlThread) {
  ControlLoop Control(Clock::steady());
  Control.start();
  std::thread::id First;
  std::thread::id Second;
  cr_assert(Control.ask([&] { First = std::this_thread::get_id(); },
                        std::chrono::seconds(10)));
  cr_assert(Control.ask([&] { Second = std::this_thread::get_id(); },
                        std::chrono::seconds(10)));
  cr_assert(First == Second && First != std::this_thread::get_id());
}

// Guards against a crash shortly after a dump has timed out: the control thread
// is busy, the calling thread times out and destroys the objects that its
// function refers to, and the control thread then runs the function, which is
// still in the mailbox. Without the abandoned flag the second function runs and
// `Ran` is true.
Test(Ask, AnAbandonedCallNeverRuns) {
  ControlLoop Control(Clock::steady());
  Control.start();
  std::promise<void> Blocked;
  std::promise<void> Release;
  std::thread BlockingCaller([&] {
    Control.ask(
        [&] {
          Blocked.set_value();
          Release.get_future().wait();
        },
        std::chrono::seconds(60));
  });
  Blocked.get_future().wait();
  std::atomic<bool> Ran{false};
  cr_assert(!Control.ask([&] { Ran = true; }, std::chrono::milliseconds(20)));
  Release.set_value();
  BlockingCaller.join();
  // A later call succeeds after the abandoned one was skipped.
  cr_assert(Control.ask([] {}, std::chrono::seconds(10)));
  cr_assert(!Ran);
}

Test(Ask, NothingRunsAfterStop) {
  ControlLoop Control(Clock::steady());
  Control.start();
  Control.stop();
  cr_assert(!Control.ask([] {}, std::chrono::milliseconds(10)));
}
