#include "Program/ServerChecker.h"

#include <Poco/Exception.h>

namespace parsleywing {

namespace {

/// Connecting takes one round trip; a host that does not answer within this
/// time is unreachable.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(200);

} // namespace

ServerChecker::ServerChecker(const Clock &Time)
    : Loop(Time), Thread([this] { this->Loop.run(); }) {}

ServerChecker::~ServerChecker() {
  this->Loop.stop();
  this->Thread.join();
}

void ServerChecker::check(const std::string &Address,
                          std::function<void(ConnectOutcome)> OnOutcome) {
  this->Loop.post([this, Address, OnOutcome = std::move(OnOutcome)] {
    try {
      checkConnect(this->Loop, Poco::Net::SocketAddress(Address),
                   ConnectTimeout, OnOutcome);
    } catch (const Poco::Exception &) {
      // The address is not numeric, which says nothing about the server.
      OnOutcome(ConnectOutcome::Unknown);
    }
  });
}

} // namespace parsleywing
