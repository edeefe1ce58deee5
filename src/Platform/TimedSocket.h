#ifndef PARSLEYWING_PLATFORM_TIMEDSOCKET_H
#define PARSLEYWING_PLATFORM_TIMEDSOCKET_H

#include "Runtime/Clock.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace parsleywing {

namespace internal {

/// A socket with a deadline for reads and writes, and a limit on what may be
/// received, which both hold for a whole exchange however slowly or quickly the
/// peer sends. Counts its bytes and records whether the peer closed the
/// connection. The functions throw Poco::Exception.
class TimedSocket : public Poco::Net::StreamSocketImpl {
public:
  explicit TimedSocket(Clock T) : Time(std::move(T)) {}

  int receiveBytes(void *Buffer, int Length, int Flags) override;
  int sendBytes(const void *Buffer, int Length, int Flags) override;

  Clock Time;
  TimePoint Deadline;
  /// More bytes than these end the connection.
  std::uint64_t MaxReceived = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  bool PeerClosed = false;

private:
  bool mayReadLate();
  int receiveNow(void *Buffer, int Length, int Flags);

  /// The deadline after which a late read was made.
  std::optional<TimePoint> LateReadFor;
  /// A call has met a failure of the connection. The system reports it once;
  /// later reads return the same as behind an orderly close.
  bool Failed = false;
};

} // namespace internal

} // namespace parsleywing

#endif
