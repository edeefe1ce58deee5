#include "RawServer.h"
#include "Stream/RouterProcess.h"

#include <criterion/criterion.h>
#include <thread>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MemoryMb = 110;
constexpr std::size_t BytesPerMb = 1'000'000;
constexpr std::size_t Requests = 900;
constexpr auto PlayTime = 6s;
const std::string HeadStart = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n";
/// Just below the largest head that a router accepts.
constexpr std::size_t LargeHeadBytes = 32'000;

std::string repeated(const std::string &Text, std::size_t Bytes) {
  std::string Result;
  while (Result.size() < Bytes)
    Result += Text;
  return Result;
}

/// Sends many requests at once to a router whose server answers all of them
/// with these bytes and goes no further. The router keeps within its memory,
/// and serves requests to another server.
void expectBounded(const std::string &Path, const std::string &Bytes) {
  RawServer Faulty([&](const std::string &, std::size_t) {
    return RawAnswer{Bytes, RawEnd::Reset, 0, 0, PlayTime};
  });
  RawServer Sound([](const std::string &, std::size_t) {
    return RawAnswer{
        "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nhello",
        RawEnd::KeptOpen, RawAnswer::WholeRequest};
  });
  RouterProcess Router(
      {{Faulty.address(), "plain"}, {Sound.address(), "other"}},
      "memory-mb = " + std::to_string(MemoryMb) +
          "\ndescriptors = 4100\nmax-callers = 1500\n");
  std::vector<Poco::Net::StreamSocket> Callers;
  std::size_t Most = 0;
  std::size_t SoundServed = 0;
  std::size_t SoundSent = 0;
  const auto Until = std::chrono::steady_clock::now() + PlayTime - 1s;
  while (std::chrono::steady_clock::now() < Until) {
    for (int I = 0; I < 30 && Callers.size() < Requests; ++I) {
      Callers.push_back(Router.connect());
      sendText(Callers.back(), RouterProcess::request(
                                   Path + std::to_string(Callers.size()),
                                   "q" + std::to_string(Callers.size()), 20s));
    }
    std::this_thread::sleep_for(20ms);
    Poco::Net::StreamSocket Caller = Router.connect();
    ++SoundSent;
    sendText(Caller, RouterProcess::request("/safe/x", "sound", 2s));
    bool WasReset = false;
    SoundServed +=
        readResponse(Caller, WasReset).starts_with("HTTP/1.1 200") ? 1 : 0;
    Most = std::max(Most, Router.residentBytes());
  }
  cr_expect_geq(Faulty.received(), Requests / 2, "%zu", Faulty.received());
  cr_expect_leq(Most, MemoryMb * BytesPerMb, "%s: %zu bytes", Path.c_str(),
                Most);
  cr_log_info("%s: at most %zu bytes", Path.c_str(), Most);
  cr_expect_eq(SoundServed, SoundSent, "%zu of %zu", SoundServed, SoundSent);
}

} // namespace

// Guards against heads without end that fill the memory of a router together.
Test(EndlessAnswers, ofHeadsAreBoundedTogether, .timeout = 60) {
  expectBounded("/unsafe/",
                HeadStart + repeated("Abc: defghi\r\n", LargeHeadBytes));
}

// The same of whole heads of many small fields, which take more memory than
// their bytes, before bodies without end.
Test(EndlessAnswers, ofSmallFieldsAreBoundedTogether, .timeout = 60) {
  expectBounded("/unsafe/",
                HeadStart + repeated("A:b\r\n", LargeHeadBytes) + "\r\na body");
}

// The same of bodies.
Test(EndlessAnswers, ofBodiesAreBoundedTogether, .timeout = 60) {
  expectBounded("/unsafe/", HeadStart + "\r\n" + std::string(200'000, 'x'));
}

// The same of events.
Test(EndlessAnswers, ofEventsAreBoundedTogether, .timeout = 60) {
  expectBounded("/once/", HeadStart +
                              "Content-Type: text/event-stream\r\n\r\ndata: " +
                              std::string(60'000, 'x'));
}
