#ifndef PARSLEYWING_TEST_FREEADDRESS_H
#define PARSLEYWING_TEST_FREEADDRESS_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <cstdint>
#include <string>
#include <unistd.h>

namespace parsleywing::test {

/// An address on loopback that nobody listened on a moment ago, and that no
/// other test at work is given. Tests run in several processes at once: had
/// each asked the system for any free port, two could get the same one, since
/// it is given back before its server starts, and two fleets would share one
/// store. So each process takes
/// ports from a block of its own, below the range from which the system takes
/// the ports of outgoing connections.
inline std::string freeLoopbackAddress() {
  constexpr std::uint32_t First = 10'000;
  constexpr std::uint32_t Blocks = 220;
  constexpr std::uint32_t BlockSize = 100;
  static std::uint32_t Next = 0;
  const auto Block = static_cast<std::uint32_t>(::getpid()) % Blocks;
  while (true) {
    const std::uint32_t Offset =
        (Block * BlockSize + Next++) % (Blocks * BlockSize);
    const Poco::Net::SocketAddress Address(
        "127.0.0.1", static_cast<std::uint16_t>(First + Offset));
    try {
      Poco::Net::ServerSocket Probe;
      Probe.bind(Address, true, false);
      return Address.toString();
    } catch (const Poco::Exception &) {
      continue; // Somebody listens there.
    }
  }
}

} // namespace parsleywing::test

#endif
