#ifndef PARSLEYWING_TEST_GATEWAY_LOOPBACKROUTERS_H
#define PARSLEYWING_TEST_GATEWAY_LOOPBACKROUTERS_H

#include "FreeAddress.h"
#include "Gateway/RouterExchange.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleywing::test {

/// Router exchanges on loopback addresses that share one event loop.
struct LoopbackRouters {
  explicit LoopbackRouters(Clock C) : Loop(std::move(C)) {}

  RouterExchange &add(const std::string &Name, double Cores) {
    const std::string Address = freeLoopbackAddress();
    this->Endpoints[Name] = {Address, Cores};
    this->MetricsRegistries.push_back(std::make_unique<Metrics>());
    this->Exchanges.push_back(std::make_unique<RouterExchange>(
        this->Loop, RouterExchange::Options{Name, Address, Cores},
        *this->MetricsRegistries.back()));
    return *this->Exchanges.back();
  }

  void publishList() {
    for (const auto &Each : this->Exchanges)
      Each->setRouters(this->Endpoints);
  }

  EventLoop Loop;
  std::vector<std::unique_ptr<Metrics>> MetricsRegistries;
  RouterList Endpoints;
  std::vector<std::unique_ptr<RouterExchange>> Exchanges;
};

} // namespace parsleywing::test

#endif
