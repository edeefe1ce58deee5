#include "Gateway/FrontFixture.h"
#include "RawServer.h"
#include "ResponseText.h"

#include <criterion/criterion.h>
#include <functional>
#include <string>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// More than the kernel takes from a router while the server reads nothing.
constexpr std::size_t UploadBytes = 1U << 20U;
/// How often each case is played. Whether a read or a write of the router meets
/// a reset first depends on when it arrives.
constexpr int Plays = 4;

constexpr const char *FieldsOfAll = "Request-Id: r1\r\nResponse-Seal: s\r\n";
constexpr const char *EventType = "Content-Type: text/event-stream\r\n";

/// An answer that is cut off where its framing does not show it, or does.
struct CutAnswer {
  std::string Name;
  std::string Path;
  std::string Fields;
  std::string Body;
};

const std::vector<CutAnswer> CutAnswers{
    {"without length, repeatable", "/safe/x", "", "a part"},
    {"without length", "/unsafe/x", "", "a part"},
    {"with a length", "/unsafe/x", "Content-Length: 20\r\n", "a part"},
    {"in chunks", "/unsafe/x", "Transfer-Encoding: chunked\r\n",
     "6\r\na part\r\n"},
    {"events without length", "/once/x", EventType, "id: 1\ndata: 1\n\n"},
    {"events without length, resumable", "/stream/x", EventType,
     "id: 1\ndata: 1\n\n"},
    {"events in chunks", "/once/x",
     std::string(EventType) + "Transfer-Encoding: chunked\r\n",
     "f\r\nid: 1\ndata: 1\n\n\r\n"},
};

/// When the connection is reset.
struct ResetTime {
  std::string Name;
  std::size_t ReadBefore = 0;
  std::size_t ReadInTotal = 0;
  std::chrono::milliseconds Pause{0};
};

const std::vector<ResetTime> ResetTimes{
    {"at once", 0, 0, 0ms},
    {"a little later", 0, 0, 2ms},
    {"while the upload is written", 0, UploadBytes / 4, 0ms},
    {"behind the upload", 0, RawAnswer::WholeRequest, 2ms},
    {"behind an answer to the whole upload", RawAnswer::WholeRequest, 0, 0ms},
};

std::string upload(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 2000\r\n"
         "Authorization: Token key\r\nPrefix-Hash: a:10,own:1\r\n"
         "Content-Length: " +
         std::to_string(UploadBytes) + "\r\n\r\n" +
         std::string(UploadBytes, 'u');
}

RawAnswer soundAnswer() {
  return {"HTTP/1.1 200 OK\r\n" + std::string(FieldsOfAll) +
              "Content-Length: 5\r\n\r\nhello",
          RawEnd::KeptOpen, RawAnswer::WholeRequest};
}

/// Whether a response is complete by its framing and comes from a server.
bool isWholeFromServer(const std::string &Response) {
  return isCompleteResponse(Response) &&
         !fieldOf(Response, "Response-Seal").empty();
}

/// Sends uploads to a router with one server, which breaks off each answer, and
/// checks that no caller gets one as complete.
void expectNoneWhole(int Status, bool OnKeptConnection) {
  for (const CutAnswer &Cut : CutAnswers)
    for (const ResetTime &When : ResetTimes) {
      const std::string Bytes = "HTTP/1.1 " + std::to_string(Status) +
                                " Any\r\n" + FieldsOfAll + Cut.Fields + "\r\n" +
                                Cut.Body;
      RawServer Server([&](const std::string &, std::size_t Earlier) {
        if (OnKeptConnection && Earlier == 0)
          return soundAnswer();
        return RawAnswer{Bytes, RawEnd::Reset, When.ReadBefore,
                         When.ReadInTotal, When.Pause};
      });
      std::size_t Tried = 0;
      for (int Play = 0; Play < Plays; ++Play) {
        FrontFixture Front;
        Front.addServer(Server.address());
        Front.start();
        if (OnKeptConnection)
          Front.call(upload("/unsafe/x"));
        const std::size_t Before =
            OnKeptConnection ? Server.receivedOnKept() : Server.received();
        const std::string Response = Front.call(upload(Cut.Path));
        Tried +=
            (OnKeptConnection ? Server.receivedOnKept() : Server.received()) -
            Before;
        cr_expect_not(isWholeFromServer(Response), "%s, reset %s: %s",
                      Cut.Name.c_str(), When.Name.c_str(), Response.c_str());
      }
      cr_expect_geq(Tried, static_cast<std::size_t>(Plays), "%s, reset %s",
                    Cut.Name.c_str(), When.Name.c_str());
    }
}

} // namespace

// Guards against a success that was reset on its way and looks complete.
Test(BrokenAnswer, successOnANewConnectionIsNotComplete, .timeout = 300) {
  expectNoneWhole(200, false);
}

// The same on a connection that has carried a request before.
Test(BrokenAnswer, successOnAKeptConnectionIsNotComplete, .timeout = 300) {
  expectNoneWhole(200, true);
}

// The same of a failure.
Test(BrokenAnswer, failureOnANewConnectionIsNotComplete, .timeout = 300) {
  expectNoneWhole(500, false);
}

// The same of a failure on a connection that has carried a request before.
Test(BrokenAnswer, failureOnAKeptConnectionIsNotComplete, .timeout = 300) {
  expectNoneWhole(500, true);
}

// Guards against rejecting a whole answer to a request that was not read, whose
// connection ends orderly and is reset by the rest of the upload.
Test(BrokenAnswer, wholeAnswerToAnUnreadUploadIsForwarded, .timeout = 60) {
  for (const std::string Fields : {"", "Content-Length: 5\r\n"}) {
    RawServer Server([&](const std::string &, std::size_t) {
      return RawAnswer{"HTTP/1.1 200 OK\r\n" + std::string(FieldsOfAll) +
                           Fields + "\r\nhello",
                       RawEnd::OrderlyThenReset};
    });
    FrontFixture Front;
    Front.addServer(Server.address());
    Front.start();
    const std::string Response = Front.call(upload("/unsafe/x"));
    cr_expect(Response.starts_with("HTTP/1.1 200") &&
                  Response.ends_with("\r\n\r\nhello"),
              "%s", Response.c_str());
  }
}
