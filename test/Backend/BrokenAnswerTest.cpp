#include "Backend/PlainServiceClient.h"
#include "Backend/ShortCall.h"
#include "MalformedAnswers.h"
#include "RawServer.h"

#include <criterion/criterion.h>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// More than the kernel takes while the server reads nothing.
constexpr std::size_t UploadBytes = 1U << 20U;
/// How often each case is played. Whether a read or a write meets a reset first
/// depends on when it arrives.
constexpr int Plays = 20;

RawServer::Script always(const RawAnswer &Answer) {
  return [Answer](const std::string &, std::size_t) { return Answer; };
}

AttemptOutcome outcomeAt(const RawServer &Server, const std::string &Body) {
  BackendCounters Counters;
  PlainServiceClient Client(BackendSettings{}, Counters);
  PlainCall Call;
  Call.Address = Server.address();
  Call.Path = "/records";
  Call.Body = Body;
  Call.Identity = "request-1.1";
  PlainListener Listener;
  Listener.BodyReceived = [](std::string_view) { return true; };
  return Client.run(Call, Listener).Outcome;
}

bool succeedsAt(const RawServer &Server, const std::string &Body) {
  ShortCall Call;
  Call.Address = Server.address();
  Call.Method = "POST";
  Call.Path = "/records";
  Call.Body = Body;
  Call.Timeout = 2s;
  return runShortCall(Call).has_value();
}

/// Checks that no call takes one of these answers for one.
void expectNone(const std::vector<MalformedAnswer> &Answers) {
  for (const MalformedAnswer &Each : Answers) {
    RawServer Server(always(
        {Each.Bytes, RawEnd::OrderlyThenReset, RawAnswer::WholeRequest}));
    cr_expect(outcomeAt(Server, "{}") == AttemptOutcome::Interrupted, "%s",
              Each.Name.c_str());
    cr_expect_not(succeedsAt(Server, "{}"), "%s", Each.Name.c_str());
  }
}

/// Checks that no call takes this cut answer for a whole one, wherever in the
/// upload the connection is reset.
void expectCut(const std::string &Answer) {
  const std::string Upload(UploadBytes, 'u');
  for (const std::size_t ReadInTotal :
       {std::size_t{0}, UploadBytes / 4, RawAnswer::WholeRequest}) {
    RawServer Server(always({Answer, RawEnd::Reset, 0, ReadInTotal}));
    for (int Play = 0; Play < Plays; ++Play) {
      cr_expect(outcomeAt(Server, Upload) == AttemptOutcome::Interrupted,
                "reset behind %zu bytes of the request: %s", ReadInTotal,
                Answer.c_str());
      cr_expect_not(succeedsAt(Server, Upload),
                    "short call, reset behind %zu bytes of the request: %s",
                    ReadInTotal, Answer.c_str());
    }
  }
}

} // namespace

// Guards against a part of an answer without length that looks complete, since
// a write met the reset behind it before a read did.
Test(BrokenAnswer, withoutLengthIsNotComplete, .timeout = 120) {
  expectCut("HTTP/1.1 200 OK\r\n\r\na part");
}

// The same of a failure.
Test(BrokenAnswer, ofAFailureIsNotComplete, .timeout = 120) {
  expectCut("HTTP/1.1 500 Any\r\n\r\na part");
  expectCut("HTTP/1.1 503 Any\r\n\r\na part");
}

// The same of answers whose framing shows that they were cut off.
Test(BrokenAnswer, withFramingIsNotComplete, .timeout = 120) {
  expectCut("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\na part");
  expectCut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "6\r\na part\r\n");
}

// Guards against a short answer whose connection ends orderly before its end.
Test(BrokenAnswer, ofAShortCallThatEndsEarlyIsNone, .timeout = 60) {
  for (const std::string Framed :
       {"Content-Length: 20\r\n\r\na part",
        "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n"}) {
    RawServer Server(
        always({"HTTP/1.1 200 OK\r\n" + Framed, RawEnd::OrderlyThenReset,
                RawAnswer::WholeRequest}));
    cr_expect_not(succeedsAt(Server, "{}"), "%s", Framed.c_str());
  }
}

// Guards against rejecting a whole answer to a request that was not read, whose
// connection ends orderly and is reset by the rest of the upload.
Test(BrokenAnswer, wholeAnswerToAnUnreadUploadIsForwarded, .timeout = 60) {
  RawServer Server(
      always({"HTTP/1.1 200 OK\r\n\r\nhello", RawEnd::OrderlyThenReset}));
  cr_expect(outcomeAt(Server, std::string(UploadBytes, 'u')) ==
            AttemptOutcome::Completed);
}

// Guards against rejecting a whole answer with trailers.
Test(BrokenAnswer, wholeAnswerWithTrailersIsForwarded, .timeout = 60) {
  RawServer Server(always({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n5\r\nhello\r\n0\r\nA: b\r\nC: d\r\n\r\n",
                           RawEnd::KeptOpen}));
  cr_expect(outcomeAt(Server, "{}") == AttemptOutcome::Completed);
}

// Guards against an answer whose status line is not whole and that callers get.
Test(MalformedAnswer, withAStatusLineThatIsNotWholeIsNone, .timeout = 120) {
  expectNone(malformedStatusLines());
}

// Guards against an answer with malformed fields that callers get.
Test(MalformedAnswer, withMalformedFieldsIsNone, .timeout = 120) {
  expectNone(malformedFields());
}
