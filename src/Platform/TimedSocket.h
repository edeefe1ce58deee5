#ifndef PARSLEYWING_PLATFORM_TIMEDSOCKET_H
#define PARSLEYWING_PLATFORM_TIMEDSOCKET_H

#include "Http/ResponseCheck.h"
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
/// peer sends. Counts its bytes, records whether the peer closed the
/// connection, and checks responses, which POCO accepts in any form and cut off
/// anywhere. The functions throw Poco::Exception.
class TimedSocket : public Poco::Net::StreamSocketImpl {
public:
  explicit TimedSocket(Clock T) : Time(std::move(T)) {}

  int receiveBytes(void *Buffer, int Length, int Flags) override;
  int sendBytes(const void *Buffer, int Length, int Flags) override;

  /// From now on a read fails once the bytes are no well-formed response to a
  /// request with this method.
  void expectResponse(const std::string &Method) {
    this->Check.emplace(Method);
  }
  /// Whether all bytes of that response have been read.
  bool responseComplete() const {
    return this->Check && this->Check->complete();
  }
  /// The same, behind the end of the body for POCO: reads the trailers, of
  /// which POCO leaves all but the first.
  bool receiveResponseEnd();

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
  void checkReceived(std::string_view Bytes);

  /// The deadline after which a late read was made.
  std::optional<TimePoint> LateReadFor;
  std::optional<ResponseCheck> Check;
  /// A call has met a failure of the connection. The system reports it once;
  /// later reads return the same as behind an orderly close.
  bool Failed = false;
};

} // namespace internal

} // namespace parsleywing

#endif
