#include "Http/BodyDecoder.h"
#include "Http/EventSplitter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace parsleywing;

namespace {

HttpHead headWith(std::initializer_list<HttpField> Fields) {
  HttpHead Head;
  Head.Status = 200;
  Head.Fields = Fields;
  return Head;
}

} // namespace

Test(BodyDecoder, readsContentLengthAndLeavesTheRest) {
  BodyDecoder Decoder({BodyFraming::ContentLength, 3});
  std::string Output;
  cr_assert_eq(Decoder.feed("abcdef", Output), 3U);
  cr_assert_eq(Output, "abc");
  cr_assert(Decoder.complete());
}

Test(BodyDecoder, readsChunksHoweverTheInputIsSplit) {
  const std::string Input =
      "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n";
  const bool Passed = rc::check("chunks", [&Input](std::uint8_t Seed) {
    BodyDecoder Decoder({BodyFraming::Chunked, 0});
    std::string Output;
    std::size_t Position = 0;
    std::size_t Step = Seed % 7 + 1U;
    while (Position < Input.size()) {
      const std::size_t Consumed =
          Decoder.feed(std::string_view(Input).substr(Position, Step), Output);
      RC_ASSERT(Consumed > 0U);
      Position += Consumed;
    }
    RC_ASSERT(Decoder.complete());
    RC_ASSERT(Output == "abc0123456789");
  });
  cr_assert(Passed);
}

Test(BodyDecoder, rejectsMalformedChunks) {
  for (const char *Input : {"z\r\n", "3\nabc\r\n", "3\r\nabcX\r\n", "\r\n",
                            "-1\r\n", "fffffffffffffffff\r\n"}) {
    BodyDecoder Decoder({BodyFraming::Chunked, 0});
    std::string Output;
    Decoder.feed(Input, Output);
    cr_assert(Decoder.malformed(), "accepted: %s", Input);
  }
}

// Request smuggling: the rest of a request's body runs as a request of its own
// if a head with a length and chunked encoding is accepted, because the router
// follows one of them and the server the other.
Test(BodyDecoder, rejectsConflictingBodyLengths) {
  cr_assert_not(requestBodyLength(headWith({{"Content-Length", "3"},
                                            {"Transfer-Encoding", "chunked"}}))
                    .has_value());
  cr_assert_not(requestBodyLength(headWith({{"Content-Length", "3"},
                                            {"Content-Length", "4"}}))
                    .has_value());
  cr_assert_not(
      requestBodyLength(headWith({{"Content-Length", "+3"}})).has_value());
  cr_assert_not(
      requestBodyLength(headWith({{"Transfer-Encoding", "gzip"}})).has_value());
}

Test(BodyDecoder, responseWithoutLengthIsCloseDelimited) {
  const auto Length = responseBodyLength(headWith({}), "GET");
  cr_assert(Length.has_value());
  BodyDecoder Decoder(*Length);
  std::string Output;
  Decoder.feed("abc", Output);
  cr_assert(Decoder.isCloseDelimited());
  cr_assert_not(Decoder.complete());
}

// A caller reads half an event joined to another if partial events are
// forwarded: a server dies in the middle of an event, and the next server
// resumes the stream.
Test(EventSplitter, returnsOnlyCompleteEvents) {
  EventSplitter Splitter;
  auto Events =
      Splitter.add("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
  cr_assert_eq(Events.size(), 2U);
  cr_assert_eq(*Events[0].Id, 1U);
  cr_assert_eq(*Events[1].Id, 2U);
  cr_assert_eq(Splitter.partialEvent(), "id: 3\nda");
  Events = Splitter.add("ta: c\n\n");
  cr_assert_eq(Events.size(), 1U);
  cr_assert_eq(Events[0].Text, "id: 3\ndata: c\n\n");
}
