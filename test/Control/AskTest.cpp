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

// Symptom: a dump crashes the router a moment after it timed out.
// Sequence: the control thread is busy; the asking thread gives up and frees
// what its function refers to; the control thread then runs the function.
// Cause: a question that was given up stayed in the mailbox.
// Without the mark of giving up, the second function runs and `Ran` is true.
Test(Ask, AQuestionGivenUpNeverRuns) {
  ControlLoop Control(Clock::steady());
  Control.start();
  std::promise<void> Blocked;
  std::promise<void> Release;
  std::thread Holder([&] {
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
  Holder.join();
  // A later question is answered after the one given up was passed over.
  cr_assert(Control.ask([] {}, std::chrono::seconds(10)));
  cr_assert(!Ran);
}

Test(Ask, AfterTheEndNothingRuns) {
  ControlLoop Control(Clock::steady());
  Control.start();
  Control.stop();
  cr_assert(!Control.ask([] {}, std::chrono::milliseconds(10)));
}
