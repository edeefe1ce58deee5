#ifndef PARSLEYWING_TEST_GATEWAY_ROUTERSONALOOP_H
#define PARSLEYWING_TEST_GATEWAY_ROUTERSONALOOP_H

#include "FreeAddress.h"
#include "Gateway/RouterExchange.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleywing::test {

/// Some routers of one process each, on one loop.
struct RoutersOnALoop {
  explicit RoutersOnALoop(Clock C) : Loop(std::move(C)) {}

  RouterExchange &add(const std::string &Name, double Cores) {
    const std::string Address = freeLoopbackAddress();
    this->Places[Name] = {Address, Cores};
    this->Measured.push_back(std::make_unique<Metrics>());
    this->All.push_back(std::make_unique<RouterExchange>(
        this->Loop, RouterExchange::Options{Name, Address, Cores},
        *this->Measured.back()));
    return *this->All.back();
  }

  void list() {
    for (const auto &Each : this->All)
      Each->setRouters(this->Places);
  }

  EventLoop Loop;
  std::vector<std::unique_ptr<Metrics>> Measured;
  RouterList Places;
  std::vector<std::unique_ptr<RouterExchange>> All;
};

} // namespace parsleywing::test

#endif
