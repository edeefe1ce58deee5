#ifndef PARSLEYWING_STANDIN_ENGINESTREAMWRITER_H
#define PARSLEYWING_STANDIN_ENGINESTREAMWRITER_H

#include "standin/EngineStandIn.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace parsleywing::standin {

/// Writes the events of one response to one connection and applies the injected
/// stream faults.
class EngineStreamWriter {
public:
  EngineStreamWriter(EngineStandIn &E, EngineResponsePtr R, EngineFaults F,
                     std::uint64_t ConnectionCookie, ConnectionPause P = {})
      : Engine(E), Response(std::move(R)), Faults(std::move(F)),
        Cookie(ConnectionCookie), Pause(P) {}

  void write(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &HttpResponse,
             std::size_t FirstEvent);

private:
  /// Returns false if the connection must be closed.
  bool writeEvents(const std::vector<std::string> &Events, std::ostream &Out);
  bool writeEvent(const std::string &Data, std::string &Batch);
  bool isReached(std::uint64_t TokenCount) const;
  bool isSilent();
  void pauseAtEvent(const std::string &Data, std::size_t Start,
                    std::string &Batch, std::ostream &Out);

  EngineStandIn &Engine;
  EngineResponsePtr Response;
  EngineFaults Faults;
  std::uint64_t Cookie;
  ConnectionPause Pause;
  std::uint64_t Tokens = 0;
};

} // namespace parsleywing::standin

#endif
