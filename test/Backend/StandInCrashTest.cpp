#include "Backend/EngineFixture.h"
#include "standin/PlainServiceStandIn.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <criterion/criterion.h>
#include <future>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// Sends a request and returns the status of the complete response; 0 if there
/// is none.
int post(const std::string &Address, const std::string &Path,
         const std::string &Body) {
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Poco::Net::HTTPRequest Request("POST", Path, "HTTP/1.1");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::string ResponseBody;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response),
                                     ResponseBody);
    return Session.networkException() == nullptr ? Response.getStatus() : 0;
  } catch (const Poco::Exception &) {
    return 0;
  }
}

bool refusesConnections(const std::string &Address) {
  try {
    const Poco::Net::StreamSocket Socket{Poco::Net::SocketAddress(Address)};
    return false;
  } catch (const Poco::Net::ConnectionRefusedException &) {
    return true;
  }
}

standin::EngineFaults crashOn(const std::string &Text) {
  standin::EngineFaults Faults;
  Faults.CrashOn = Text;
  Faults.BackAfterMs = 500;
  return Faults;
}

std::string input(const std::string &Text) {
  return R"({"stream":true,"max_output_tokens":10000,"input":")" + Text +
         R"(","metadata":{}})";
}

} // namespace

Test(StandInCrash, anEngineCrashesWithAllItsRequestsAndRestarts,
     .timeout = 30) {
  standin::EngineOptions Options = EngineFixture::quickEngine();
  Options.Step = std::chrono::milliseconds(20);
  standin::EngineStandIn Engine(Options);
  Engine.start();
  Engine.setFaults(crashOn("poison"));
  const std::string Address = Engine.address();
  auto Concurrent = std::async(std::launch::async, [&Address] {
    return post(Address, "/v1/responses", input("tokens=10000"));
  });
  cr_assert(eventually([&Engine] { return Engine.running() == 1; }));
  cr_assert_eq(post(Address, "/v1/responses", input("poison")), 0);
  cr_assert(eventually([&] { return refusesConnections(Address); }));
  // Without the crash the request would run for minutes.
  cr_assert(eventually([&Engine] { return Engine.running() == 0; }));
  Concurrent.wait();
  cr_assert(eventually([&] { return !refusesConnections(Address); }));
  cr_assert_eq(post(Address, "/v1/responses", input("tokens=2")), 200);
}

Test(StandInCrash, aPlainServiceCrashesAndRestarts, .timeout = 30) {
  standin::PlainServiceStandIn Service("127.0.0.1:0");
  Service.start();
  Service.setFaults(crashOn("poison"));
  const std::string Address = Service.address();
  cr_assert_eq(post(Address, "/records", "poison"), 0);
  cr_assert(eventually([&] { return refusesConnections(Address); }));
  cr_assert(eventually([&] { return !refusesConnections(Address); }));
  cr_assert_eq(post(Address, "/records", "sound"), 201);
}
