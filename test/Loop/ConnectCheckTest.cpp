#include "Loop/ConnectCheck.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

ConnectOutcome check(const Poco::Net::SocketAddress &Address) {
  EventLoop Loop(Clock::steady());
  ConnectOutcome Found = ConnectOutcome::Unknown;
  int Calls = 0;
  checkConnect(Loop, Address, 200ms, [&](ConnectOutcome Outcome) {
    Found = Outcome;
    ++Calls;
  });
  Loop.after(400ms, [&Loop] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Calls, 1);
  return Found;
}

} // namespace

Test(ConnectCheck, tellsAProcessThatListens) {
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1", 0));
  cr_assert(check(Listening.address()) == ConnectOutcome::Listening);
}

// Guards against a crashed process taken for a host that is out of reach.
Test(ConnectCheck, tellsAPortWithoutAProcess) {
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Poco::Net::SocketAddress Address = Listening.address();
  Listening.close();
  cr_assert(check(Address) == ConnectOutcome::Refused);
}

// Guards against a host that is out of reach taken for a crashed process.
Test(ConnectCheck, tellsNothingOfAnAddressThatDoesNotAnswer) {
  // With its queue full, the system answers no further connection.
  Poco::Net::ServerSocket Listening;
  Listening.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  Listening.listen(0);
  Poco::Net::StreamSocket First(Listening.address());
  cr_assert(check(Listening.address()) == ConnectOutcome::Unknown);
}
