#ifndef PARSLEYWING_TEST_GATEWAY_LOOPBACKROUTERS_H
#define PARSLEYWING_TEST_GATEWAY_LOOPBACKROUTERS_H

#include "FreeAddress.h"
#include "Gateway/RouterMessenger.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleywing::test {

/// Router messengers on loopback addresses that share one event loop.
struct LoopbackRouters {
  explicit LoopbackRouters(Clock C) : Loop(std::move(C)) {}

  RouterMessenger &add(const std::string &Name, double Cores) {
    const std::string Address = freeLoopbackAddress();
    this->Endpoints[Name] = {Address, Cores};
    this->MetricsRegistries.push_back(std::make_unique<Metrics>());
    this->Messengers.push_back(std::make_unique<RouterMessenger>(
        this->Loop, RouterMessenger::Options{Name, Address, Cores},
        *this->MetricsRegistries.back()));
    return *this->Messengers.back();
  }

  void publishList() {
    for (const auto &Each : this->Messengers)
      Each->setRouters(this->Endpoints);
  }

  EventLoop Loop;
  std::vector<std::unique_ptr<Metrics>> MetricsRegistries;
  RouterList Endpoints;
  std::vector<std::unique_ptr<RouterMessenger>> Messengers;
};

} // namespace parsleywing::test

#endif
