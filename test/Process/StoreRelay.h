#ifndef PARSLEYWING_TEST_PROCESS_STORERELAY_H
#define PARSLEYWING_TEST_PROCESS_STORERELAY_H

#include <Poco/Net/TCPServer.h>
#include <atomic>
#include <memory>
#include <string>

namespace parsleywing::test {

/// A way to the store for one router, which a test can cut: connections then
/// close at once, and new ones are closed when they are taken.
class StoreRelay {
public:
  explicit StoreRelay(const std::string &Store);
  ~StoreRelay();
  StoreRelay(const StoreRelay &) = delete;
  StoreRelay &operator=(const StoreRelay &) = delete;

  std::string address() const;
  void setCut(bool Cut) { this->Cut = Cut; }

private:
  std::atomic<bool> Cut{false};
  std::unique_ptr<Poco::Net::TCPServer> Server;
};

} // namespace parsleywing::test

#endif
