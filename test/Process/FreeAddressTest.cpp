#include "FreeAddress.h"

#include <array>
#include <criterion/criterion.h>
#include <set>
#include <sys/wait.h>

using namespace parsleywing::test;

// Guards against two fleets of concurrent tests that are given the same ports.
Test(FreeAddress, processesThatWantTheSameBlockGetTwo) {
  const auto Own = internal::claimPortBlockFrom(7);
  cr_assert(Own.has_value());
  std::array<int, 2> Pipe{};
  cr_assert_eq(::pipe(Pipe.data()), 0);
  const ::pid_t Child = ::fork();
  if (Child == 0) {
    const std::uint32_t Other =
        internal::claimPortBlockFrom(*Own).value_or(*Own);
    const bool Told = ::write(Pipe[1], &Other, sizeof(Other)) == sizeof(Other);
    ::_exit(Told ? 0 : 1);
  }
  std::uint32_t Other = *Own;
  cr_assert_eq(::read(Pipe[0], &Other, sizeof(Other)),
               static_cast<::ssize_t>(sizeof(Other)));
  ::waitpid(Child, nullptr, 0);
  cr_expect_neq(Other, *Own);
}

// Guards against an address that is given out twice before its server listens.
Test(FreeAddress, noAddressIsGivenTwiceWithinTheBlocksOfAProcess) {
  std::set<std::string> Given;
  for (int Count = 0; Count < 300; ++Count)
    cr_assert(Given.insert(freeLoopbackAddress()).second);
}
