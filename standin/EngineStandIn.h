#ifndef PARSLEYWING_STANDIN_ENGINESTANDIN_H
#define PARSLEYWING_STANDIN_ENGINESTANDIN_H

#include "Runtime/Clock.h"

#include <Poco/Net/HTTPServer.h>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace parsleywing::standin {

struct EngineOptions {
  std::string Address;
  std::uint32_t MaxRunning = 8;
  /// Time for one token of every running request.
  Duration Step = std::chrono::milliseconds(5);
};

/// Takes the place of a model engine: admits in order of arrival, runs up to
/// `MaxRunning` at once, and generates as many tokens as the input's
/// `tokens=N` says. Counts executions by the identity in the metadata.
class EngineStandIn {
public:
  explicit EngineStandIn(EngineOptions O);
  ~EngineStandIn();

  void start();

  const EngineOptions &options() const { return this->Options; }

  /// Waits for a place among the running, in order of arrival.
  void enter(const std::string &Identity);
  void leave();

  std::map<std::string, int> executions() const;
  std::uint32_t running() const;
  std::uint32_t waiting() const;

private:
  EngineOptions Options;
  mutable std::mutex Guard;
  std::condition_variable Changed;
  std::uint64_t NextTicket = 0;
  std::uint64_t Serving = 0;
  std::uint32_t Running = 0;
  std::map<std::string, int> Executions;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace parsleywing::standin

#endif
