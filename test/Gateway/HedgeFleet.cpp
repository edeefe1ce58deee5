#include "Gateway/HedgeFleet.h"

#include <criterion/criterion.h>
#include <thread>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

constexpr auto PollInterval = 10ms;
constexpr auto MaxWait = 4s;

std::string requestText(const std::string &Path,
                        std::chrono::milliseconds Timeout) {
  return "GET " + Path +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: " +
         std::to_string(Timeout.count()) +
         "\r\nAuthorization: Token key\r\n\r\n";
}

} // namespace

HedgeFleet::HedgeFleet(std::vector<PlannedReaction> R, std::size_t Count)
    : Reactions(std::move(R)) {
  for (std::size_t Number = 0; Number < Count; ++Number) {
    this->Servers.push_back(std::make_unique<ReactingServer>(
        this->Log, Number,
        [this, Number](const std::string &) { return reactionTo(Number); }));
    this->Front.addServer(this->Servers.back()->server());
  }
  for (GatewayRoute &Each : this->Front.Configuration.Routes)
    Each.Timeout = 10s;
}

PlannedReaction HedgeFleet::reactionTo(std::size_t Server) {
  const std::size_t Number = this->Requests++;
  if (Number == 0)
    this->FirstServer = static_cast<int>(Server);
  if (Number < this->Reactions.size())
    return this->Reactions.at(Number);
  return {ServerReaction::Reject, {}};
}

std::string HedgeFleet::call(const std::string &Path,
                             std::chrono::milliseconds Timeout) {
  return this->Front.call(requestText(Path, Timeout));
}

Poco::Net::StreamSocket HedgeFleet::open(const std::string &Path,
                                         std::chrono::milliseconds Timeout) {
  Poco::Net::StreamSocket Connection = this->Front.connect();
  sendText(Connection, requestText(Path, Timeout));
  return Connection;
}

std::vector<ServerArrival> HedgeFleet::waitForArrivals(std::size_t Count) {
  const SteadyTime Until = std::chrono::steady_clock::now() + MaxWait;
  std::vector<ServerArrival> Arrivals = this->Log.arrivals();
  while (Arrivals.size() < Count && std::chrono::steady_clock::now() < Until) {
    std::this_thread::sleep_for(PollInterval);
    Arrivals = this->Log.arrivals();
  }
  cr_assert_eq(Arrivals.size(), Count);
  return Arrivals;
}

std::string HedgeFleet::firstServer() {
  const SteadyTime Until = std::chrono::steady_clock::now() + MaxWait;
  while (this->FirstServer < 0 && std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(PollInterval);
  cr_assert_geq(this->FirstServer.load(), 0);
  return "s" + std::to_string(this->FirstServer);
}

std::uint64_t HedgeFleet::metric(const std::string &Series) const {
  const std::string Text = "\n" + this->Front.metrics();
  const std::string Start = "\nparsleywing_" + Series + " ";
  const std::size_t Found = Text.find(Start);
  cr_assert_neq(Found, std::string::npos, "%s", Series.c_str());
  return std::stoull(Text.substr(Found + Start.size()));
}

} // namespace parsleywing::test
