#ifndef PARSLEYWING_TEST_FREEADDRESS_H
#define PARSLEYWING_TEST_FREEADDRESS_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace parsleywing::test {

namespace internal {

/// Ports of tests lie below the range from which the system takes the ports of
/// outgoing connections.
constexpr std::uint32_t FirstPort = 10'000;
constexpr std::uint32_t PortBlocks = 220;
constexpr std::uint32_t PortBlockSize = 100;

/// Keeps the block's first port bound until the process ends, so that no other
/// process gets the block. Says whether it could.
inline bool claimPortBlock(std::uint32_t Block) {
  const int Claim = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port =
      htons(static_cast<std::uint16_t>(FirstPort + Block * PortBlockSize));
  if (::bind(Claim, reinterpret_cast<const ::sockaddr *>(&Address),
             sizeof(Address)) == 0)
    return true;
  ::close(Claim);
  return false;
}

/// The first block from the wanted one on that nobody holds.
inline std::optional<std::uint32_t> claimPortBlockFrom(std::uint32_t Wanted) {
  for (std::uint32_t Step = 0; Step < PortBlocks; ++Step) {
    const std::uint32_t Block = (Wanted + Step) % PortBlocks;
    if (claimPortBlock(Block))
      return Block;
  }
  return std::nullopt;
}

} // namespace internal

/// An address on loopback that nobody listened on a moment ago, and that no
/// other test at work is given. Tests run in several processes at once: had
/// each asked the system for any free port, two could get the same one, since
/// it is given back before its server starts, and two fleets would share one
/// store. So each process claims blocks of ports for its own.
inline std::string freeLoopbackAddress() {
  constexpr std::size_t MaxBlocks = 4;
  static std::vector<std::uint32_t> Blocks;
  static ::pid_t Owner = 0;
  static std::uint32_t Next = 0;
  constexpr std::uint32_t PerBlock = internal::PortBlockSize - 1;
  // A child without a program of its own takes no ports of its parent.
  if (Owner != ::getpid()) {
    Owner = ::getpid();
    Blocks.clear();
    Next = 0;
  }
  while (true) {
    const std::uint32_t Turn = Next++ % (MaxBlocks * PerBlock);
    const std::uint32_t Index = Turn / PerBlock;
    if (Index >= Blocks.size()) {
      const auto Claimed = internal::claimPortBlockFrom(
          static_cast<std::uint32_t>(Owner) % internal::PortBlocks);
      if (!Claimed)
        throw std::runtime_error("no free block of ports for this test");
      Blocks.push_back(*Claimed);
    }
    const std::uint32_t Port = internal::FirstPort +
                               Blocks[Index] * internal::PortBlockSize + 1 +
                               Turn % PerBlock;
    const Poco::Net::SocketAddress Address("127.0.0.1",
                                           static_cast<std::uint16_t>(Port));
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
