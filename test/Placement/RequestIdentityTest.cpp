#include "Placement/RequestIdentity.h"

#include <criterion/criterion.h>
#include <vector>

using namespace parsleywing;

// Guards against repeats that are not known as such.
Test(RequestIdentity, isTheSameForTheSameContent) {
  const RequestContent Content{"acc", "h", "POST", "/a/b?c", "body"};
  cr_assert(identityOf(Content) == identityOf(Content));
  cr_assert_eq(identityOf(Content).ShortHash, shortHashOf(Content));
}

// Guards against one request refused for what another has done.
Test(RequestIdentity, differsWithEachPartAndWithWhereTheyPart) {
  const std::vector<RequestContent> All{
      {"acc", "h", "POST", "/a", "body"}, {"acd", "h", "POST", "/a", "body"},
      {"acc", "i", "POST", "/a", "body"}, {"acc", "h", "PUT", "/a", "body"},
      {"acc", "h", "POST", "/b", "body"}, {"acc", "h", "POST", "/a", "bodz"},
      {"acch", "", "POST", "/a", "body"}, {"acc", "h", "POST", "/ab", "ody"},
  };
  for (std::size_t I = 0; I < All.size(); ++I)
    for (std::size_t J = 0; J < I; ++J)
      cr_assert(identityOf(All[I]) != identityOf(All[J]), "%zu and %zu", I, J);
}
