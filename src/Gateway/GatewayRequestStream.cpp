#include "Gateway/GatewayRequest.h"

namespace parsleywing {

namespace {

/// The length up to which an id that a caller states is logged.
constexpr std::size_t MaxLoggedId = 64;

} // namespace

void GatewayRequest::bindStream() {
  if (!this->Software && this->Route->repeatable())
    this->Software = this->ServerSoftware;
}

bool GatewayRequest::isVersionGone() const {
  return this->Software &&
         !this->Context.Servers.anyOfSoftware(
             this->ServiceHash, *this->Software, this->TriedServers);
}

/// Log fields of a stream: its version, and what a caller states that takes it
/// up.
std::string GatewayRequest::streamText() const {
  std::string Text;
  if (this->Software)
    Text += " version=" + this->ServerVersion;
  if (!this->CallerFields.TakesUpStream)
    return Text;
  Text += " resumes=" +
          (this->CallerFields.StreamBegunBy.empty()
               ? "-"
               : this->CallerFields.StreamBegunBy.substr(0, MaxLoggedId)) +
          " last-event=" +
          (this->CallerFields.LastEventId
               ? std::to_string(*this->CallerFields.LastEventId)
               : "-");
  return Text;
}

} // namespace parsleywing
