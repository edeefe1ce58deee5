#include "Gateway/FrontFixture.h"
#include "MalformedAnswers.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// Calls a router whose server sends each of these answers. Callers get none of
/// them, and for a repeatable request another server's.
void expectNone(const std::vector<MalformedAnswer> &Answers) {
  for (const MalformedAnswer &Each : Answers) {
    std::atomic<int> Requests{0};
    const auto Serve = [&](Poco::Net::StreamSocket &Connection,
                           const std::string &) {
      const bool IsFirst = Requests++ == 0;
      sendText(Connection,
               IsFirst ? Each.Bytes
                       : "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                         "Response-Seal: s\r\nContent-Length: 5\r\n\r\nsound");
      return !IsFirst;
    };
    ScriptedServer One(Serve);
    ScriptedServer Other(Serve);
    FrontFixture Front;
    Front.addServer(One);
    Front.addServer(Other);
    Front.start();
    const std::string Unsafe = Front.call(FrontFixture::request("/unsafe/x"));
    cr_expect(Unsafe.starts_with("HTTP/1.1 502"), "%s: %s", Each.Name.c_str(),
              Unsafe.c_str());
    Requests = 0;
    const std::string Safe = Front.call(FrontFixture::request("/safe/x"));
    cr_expect(Safe.starts_with("HTTP/1.1 200") && Safe.ends_with("sound"),
              "%s: %s", Each.Name.c_str(), Safe.c_str());
  }
}

} // namespace

// Guards against an answer whose status line is not whole and that callers get.
Test(MalformedAnswer, withAStatusLineThatIsNotWholeIsNone, .timeout = 120) {
  expectNone(malformedStatusLines());
}

// Guards against an answer with malformed fields that callers get.
Test(MalformedAnswer, withMalformedFieldsIsNone, .timeout = 120) {
  expectNone(malformedFields());
}
