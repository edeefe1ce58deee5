#include "Runtime/RetryAfter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <string>

using namespace parsleywing;
using namespace std::chrono_literals;

Test(RetryAfter, acceptsSecondsWithAndWithoutFraction) {
  cr_assert(parseRetryAfter("3") == Duration(3s));
  cr_assert(parseRetryAfter(" 0.25 ") == Duration(250ms));
}

// Guards against a pause of unknown length because of an odd value.
Test(RetryAfter, ignoresOtherValues) {
  for (const char *Text : {"", " ", "0", "-3", "+3", "3s", "3 4", "1e3", "0x3",
                           "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"})
    cr_assert_not(parseRetryAfter(Text), "\"%s\" is accepted", Text);
}

// Guards against an overflow of the clock.
Test(RetryAfter, limitsLongDelays) {
  cr_assert(parseRetryAfter("999999999999") == MaxRetryAfter);
  cr_assert(parseRetryAfter(std::string(400, '9')) == MaxRetryAfter);
}

Test(RetryAfter, staysInRangeForArbitraryText) {
  cr_assert(rc::check("text", [](const std::string &Text) {
    const auto Delay = parseRetryAfter(Text);
    RC_ASSERT(!Delay ||
              (*Delay >= Duration::zero() && *Delay <= MaxRetryAfter));
  }));
}
