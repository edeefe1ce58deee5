#ifndef PARSLEYWING_TEST_GATEWAY_LARGESTREAM_H
#define PARSLEYWING_TEST_GATEWAY_LARGESTREAM_H

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <string>

namespace parsleywing::test {

/// More than the connections between server, router and caller can buffer.
inline constexpr std::size_t LargeStreamBytes = 48U << 20U;
/// Below the router's limit of 64 KB for an event, which includes its fields.
inline constexpr std::size_t LargeEventBytes = 32U << 10U;

/// Sends a server's complete response: a stream of numbered events.
void sendLargeStream(Poco::Net::StreamSocket &Connection,
                     const std::string &Request);

} // namespace parsleywing::test

#endif
