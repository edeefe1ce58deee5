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

Test(BodyDecoder, readsALengthAndLeavesWhatIsBehind) {
  BodyDecoder Decoder({BodyFraming::ContentLength, 3});
  std::string Out;
  cr_assert_eq(Decoder.feed("abcdef", Out), 3U);
  cr_assert_eq(Out, "abc");
  cr_assert(Decoder.complete());
}

Test(BodyDecoder, readsChunksHoweverTheyAreCut) {
  const std::string Wire =
      "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n";
  const bool Good = rc::check("chunks", [&Wire](std::uint8_t Seed) {
    BodyDecoder Decoder({BodyFraming::Chunked, 0});
    std::string Out;
    std::size_t At = 0;
    std::size_t Step = Seed % 7 + 1U;
    while (At < Wire.size()) {
      const std::size_t Used =
          Decoder.feed(std::string_view(Wire).substr(At, Step), Out);
      RC_ASSERT(Used > 0U);
      At += Used;
    }
    RC_ASSERT(Decoder.complete());
    RC_ASSERT(Out == "abc0123456789");
  });
  cr_assert(Good);
}

Test(BodyDecoder, takesNoSpoiltChunks) {
  for (const char *Wire : {"z\r\n", "3\nabc\r\n", "3\r\nabcX\r\n", "\r\n",
                           "-1\r\n", "fffffffffffffffff\r\n"}) {
    BodyDecoder Decoder({BodyFraming::Chunked, 0});
    std::string Out;
    Decoder.feed(Wire, Out);
    cr_assert(Decoder.malformed(), "taken: %s", Wire);
  }
}

// Symptom: the rest of one request's body runs as a request of its own.
// Sequence: a head states a length and chunks; this router goes by one, the
// server by the other. Cause: both were taken.
Test(BodyDecoder, refusesTwoStatementsOfTheLength) {
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

Test(BodyDecoder, anAnswerWithoutLengthEndsWithItsConnection) {
  const auto Plan = responseBodyLength(headWith({}), "GET");
  cr_assert(Plan.has_value());
  BodyDecoder Decoder(*Plan);
  std::string Out;
  Decoder.feed("abc", Out);
  cr_assert(Decoder.isCloseDelimited());
  cr_assert_not(Decoder.complete());
}

// Symptom: a caller reads half an event joined to another. Sequence: a server
// dies in the middle of an event, and the stream goes on at the next server.
// Cause: pieces were passed on as they came.
Test(EventSplitter, onlyWholeEventsLeave) {
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
