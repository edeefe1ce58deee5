#include "Runtime/SentBytes.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>
#include <string>
#include <sys/socket.h>

using namespace parsleywing;

Test(SentBytes, countsUnacknowledgedBytes) {
  Poco::Net::ServerSocket Server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Poco::Net::StreamSocket Sender(Server.address());
  const int Descriptor = Sender.impl()->sockfd();
  cr_assert_eq(unacknowledgedBytes(Descriptor).value_or(-1), 0);
  const std::string LargeText(1U << 20U, 'x');
  while (::send(Descriptor, LargeText.data(), LargeText.size(), MSG_DONTWAIT) >
         0)
    continue;
  cr_assert_gt(unacknowledgedBytes(Descriptor).value_or(0), 0);
}

Test(SentBytes, returnsNothingWithoutAConnection) {
  cr_assert_not(unacknowledgedBytes(-1).has_value());
}
