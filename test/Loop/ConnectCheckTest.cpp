#include "Loop/ConnectCheck.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

ConnectOutcome check(const Poco::Net::SocketAddress &Address) {
  EventLoop Loop(Clock::steady());
  ConnectOutcome Result = ConnectOutcome::Unknown;
  int Calls = 0;
  checkConnect(Loop, Address, 200ms, [&](ConnectOutcome Outcome) {
    Result = Outcome;
    ++Calls;
  });
  Loop.after(400ms, [&Loop] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Calls, 1);
  return Result;
}

} // namespace

Test(ConnectCheck, detectsAListeningProcess) {
  Poco::Net::ServerSocket Server(Poco::Net::SocketAddress("127.0.0.1", 0));
  cr_assert(check(Server.address()) == ConnectOutcome::Listening);
}

// Guards against a crashed process that is mistaken for an unreachable host.
Test(ConnectCheck, detectsAPortWithoutAProcess) {
  Poco::Net::ServerSocket Server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Poco::Net::SocketAddress Address = Server.address();
  Server.close();
  cr_assert(check(Address) == ConnectOutcome::Refused);
}

// Guards against an unreachable host that is mistaken for a crashed process.
Test(ConnectCheck, reportsUnknownIfTheAddressDoesNotRespond) {
  // With a full backlog, the system does not respond to further connections.
  Poco::Net::ServerSocket Server;
  Server.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  Server.listen(0);
  Poco::Net::StreamSocket FirstConnection(Server.address());
  cr_assert(check(Server.address()) == ConnectOutcome::Unknown);
}
