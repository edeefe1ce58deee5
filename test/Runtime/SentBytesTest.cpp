#include "Runtime/SentBytes.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>
#include <string>
#include <sys/socket.h>

using namespace parsleywing;

Test(SentBytes, countsWhatThePeerHasNotTaken) {
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Poco::Net::StreamSocket Sender(Listening.address());
  const int Descriptor = Sender.impl()->sockfd();
  cr_assert_eq(unacknowledgedBytes(Descriptor).value_or(-1), 0);
  const std::string Much(1U << 20U, 'x');
  while (::send(Descriptor, Much.data(), Much.size(), MSG_DONTWAIT) > 0)
    continue;
  cr_assert_gt(unacknowledgedBytes(Descriptor).value_or(0), 0);
}

Test(SentBytes, tellsNothingOfWhatIsNoConnection) {
  cr_assert_not(unacknowledgedBytes(-1).has_value());
}
