#include "Crash/RequestIdentity.h"

#include <criterion/criterion.h>
#include <vector>

using namespace parsleywing;

// Guards against repeated requests that are not recognized.
Test(RequestIdentity, isEqualForEqualContent) {
  const RequestContent Content{"acc", "h", "POST", "/a/b?c", "body"};
  cr_assert(identityOf(Content) == identityOf(Content));
  cr_assert_eq(identityOf(Content).ShortHash, shortHashOf(Content));
}

// Guards against refusing one request for crashes caused by another.
Test(RequestIdentity, differsByEachFieldAndByFieldBoundaries) {
  const std::vector<RequestContent> Contents{
      {"acc", "h", "POST", "/a", "body"}, {"acd", "h", "POST", "/a", "body"},
      {"acc", "i", "POST", "/a", "body"}, {"acc", "h", "PUT", "/a", "body"},
      {"acc", "h", "POST", "/b", "body"}, {"acc", "h", "POST", "/a", "bodz"},
      {"acch", "", "POST", "/a", "body"}, {"acc", "h", "POST", "/ab", "ody"},
  };
  for (std::size_t I = 0; I < Contents.size(); ++I)
    for (std::size_t J = 0; J < I; ++J)
      cr_assert(identityOf(Contents[I]) != identityOf(Contents[J]),
                "%zu and %zu", I, J);
}
