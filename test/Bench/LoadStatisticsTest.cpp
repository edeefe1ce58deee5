#include "LoadStatistics.h"
#include "LoadResponseReader.h"

#include <criterion/criterion.h>

using namespace parsleywing::bench;

Test(LoadStatistics, PercentileTakesTheNearestRank) {
  const std::vector<double> Values{5, 1, 4, 2, 3};
  cr_assert_eq(percentile(Values, 0.5), 3);
  cr_assert_eq(percentile(Values, 0.99), 5);
  cr_assert_eq(percentile(Values, 0), 1);
  cr_assert_eq(percentile({}, 0.5), 0);
}

Test(LoadStatistics, GapIsTheLargestDifferenceOfTheChosenAccounts) {
  const std::vector<ServiceSample> Samples{{0, 0, 0}, {9, 2, 100}, {10, 8, 0}};
  const ServiceGap Gap = serviceGap(Samples, {0, 1});
  cr_assert_eq(Gap.Largest, 7);
  cr_assert_eq(Gap.AtEnd, 2);
  cr_assert_eq(serviceGap(Samples, {2}).Largest, 0);
}

Test(LoadStatistics, RecoveredWhenTheRecentGapStaysWithinTheLimit) {
  // The second account receives nothing between samples 2 and 4.
  const std::vector<ServiceSample> Samples{{0, 0}, {1, 1}, {2, 2}, {3, 2},
                                           {4, 2}, {5, 3}, {6, 4}};
  cr_assert_eq(recentGap(Samples, {0, 1}, 4, 2), 2);
  cr_assert_eq(samplesUntilRecovered(Samples, {0, 1}, 2, 1, 0.5), 3U);
  const std::vector<ServiceSample> NotRecovered{{0, 0}, {1, 1}, {2, 1}};
  cr_assert_not(samplesUntilRecovered(NotRecovered, {0, 1}, 1, 1, 0.5));
}

Test(LoadStatistics, SizesStayInBoundsAndMeetTheirMean) {
  const ResponseSizes Sizes(16, 600, 1.2);
  std::mt19937_64 Random(7);
  constexpr int Draws = 200000;
  double Sum = 0;
  for (int Draw = 0; Draw < Draws; ++Draw) {
    const std::uint64_t Size = Sizes.draw(Random);
    cr_assert(Size >= 16 && Size <= 600);
    Sum += static_cast<double>(Size);
  }
  cr_assert_float_eq(Sum / Draws, Sizes.mean(), 2);
}

Test(LoadStatistics, HintsDeviateBothWaysWithinTheFactor) {
  std::mt19937_64 Random(7);
  int Low = 0;
  int High = 0;
  for (int Draw = 0; Draw < 1000; ++Draw) {
    const std::uint64_t Hint = drawHint(100, 10, Random);
    cr_assert(Hint >= 10 && Hint <= 1000);
    Low += Hint < 50;
    High += Hint > 200;
  }
  cr_assert(Low > 100 && High > 100);
}

namespace {

std::string chunk(const std::string &Text) {
  constexpr const char *Digits = "0123456789abcdef";
  std::string Chunk{Digits[Text.size() / 16], Digits[Text.size() % 16]};
  return Chunk.append("\r\n").append(Text).append("\r\n");
}

std::string delta(const std::string &Text, int Sequence) {
  std::string Event = "event: response.output_text.delta\ndata: {\"delta\":\"";
  Event.append(Text).append("\",\"sequence_number\":");
  return chunk(Event.append(std::to_string(Sequence)).append("}\n\n"));
}

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                         "\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Tail =
    chunk("event: response.completed\ndata: {\"output_tokens\":2,"
          "\"sequence_number\":2}\n\n") +
    "0\r\n\r\n";

} // namespace

Test(LoadResponseReader, ReadsAStreamThatArrivesByteByByte) {
  LoadResponseReader Reader;
  const std::string Response = Head + delta("t0 ", 0) + delta("t1 ", 1) + Tail;
  for (const char Byte : Response)
    Reader.feed({&Byte, 1});
  cr_assert(Reader.completed() && Reader.ended());
  cr_assert(!Reader.isOutOfOrder());
  cr_assert_eq(Reader.tokens(), 2);
  cr_assert_eq(Reader.reportedTokens(), 2);
}

// Guards against a load generator that counts a response as complete although a
// token is missing or belongs to another caller: a fault in the path that the
// reader must report. Fails if the reader does not set `OutOfOrder`.
Test(LoadResponseReader, ReportsAMissingToken) {
  LoadResponseReader Reader;
  Reader.feed(Head + delta("t0 ", 0) + delta("t2 ", 1) + Tail);
  cr_assert(Reader.isOutOfOrder());
  LoadResponseReader GapReader;
  GapReader.feed(Head + delta("t0 ", 0) + Tail);
  cr_assert(GapReader.isOutOfOrder());
}
