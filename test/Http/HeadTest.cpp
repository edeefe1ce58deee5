#include "Http/HttpHead.h"

#include <criterion/criterion.h>

using namespace parsleywing;

Test(HttpHead, readsARequestAndKeepsTheOrderOfFields) {
  const auto Head = parseRequestHead("GET /a/b?c HTTP/1.1\r\nHost: h\r\n"
                                     "X-One:  two \r\n\r\n");
  cr_assert(Head.has_value());
  cr_assert_eq(Head->Method, "GET");
  cr_assert_eq(Head->Target, "/a/b?c");
  cr_assert_eq(Head->value("x-one"), "two");
  cr_assert_eq(Head->Fields.size(), 2U);
}

// Request smuggling: a server runs a request that no caller sent if the router
// accepts forms that the standard forbids, and the two disagree on the end of
// the body.
Test(HttpHead, rejectsAmbiguousForms) {
  for (const char *Text :
       {"GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET /a HTTP/1.1\r\n X: h\r\n\r\n", "GET /a  HTTP/1.1\r\n\r\n",
        "GET /a HTTP/2\r\n\r\n", "GET /a HTTP/1.1\r\nX: a\rb\r\n\r\n",
        "G ET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nX: a\nY: b\r\n\r\n",
        "GET\r\n\r\n"})
    cr_assert_not(parseRequestHead(Text).has_value(), "accepted: %s", Text);
}

Test(HttpHead, readsAResponseWithAndWithoutReason) {
  const auto Head =
      parseResponseHead("HTTP/1.1 503 Service Unavailable\r\n\r\n");
  cr_assert(Head.has_value());
  cr_assert_eq(Head->Status, 503);
  cr_assert_eq(Head->Reason, "Service Unavailable");
  cr_assert(parseResponseHead("HTTP/1.1 200\r\n\r\n").has_value());
  cr_assert_not(parseResponseHead("HTTP/1.1 2000 x\r\n\r\n").has_value());
  cr_assert_not(parseResponseHead("garbage\r\n\r\n").has_value());
}

Test(HttpHead, removesHopByHopFields) {
  HttpHead Head;
  Head.add("Connection", "close, X-Hop");
  Head.add("X-Hop", "1");
  Head.add("Keep-Alive", "timeout=3");
  Head.add("X-Stays", "2");
  cr_assert_not(isKeepAlive(Head));
  removeHopByHopFields(Head);
  cr_assert_eq(Head.Fields.size(), 1U);
  cr_assert_eq(Head.Fields[0].Name, "X-Stays");
}

Test(HttpHead, findsTheEndOfAHead) {
  cr_assert_eq(headLength("GET / HTTP/1.1\r\n\r"), 0U);
  cr_assert_eq(headLength("GET / HTTP/1.1\r\n\r\nrest"), 18U);
}
