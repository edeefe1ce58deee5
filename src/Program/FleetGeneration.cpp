#include "Program/FleetGeneration.h"

#include "Operator/OperatorClient.h"

#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <future>
#include <optional>
#include <span>
#include <thread>

namespace parsleywing {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(100);
constexpr Duration ListInterval = std::chrono::seconds(1);
/// A router answers this request without calling others; a frozen one never
/// answers.
constexpr Duration ResponseTimeout = std::chrono::seconds(1);
/// Number of routers queried concurrently, so that a few frozen ones do not
/// delay the others.
constexpr std::size_t MaxConcurrentQueries = 32;

/// Returns nothing if the router has the generation, else why it is not known
/// to have it.
std::optional<std::string> lagReason(const RouterRegistration &Router,
                                     std::uint64_t Generation) {
  if (Router.OperatorAddress.empty())
    return "it has no operator address";
  const OperatorClient Client(Router.OperatorAddress, ResponseTimeout);
  const auto Body = Client.get("/generation");
  if (!Body)
    return Body.error().Message;
  try {
    const auto Status =
        Poco::JSON::Parser().parse(*Body).extract<Poco::JSON::Object::Ptr>();
    // Another router may listen at the address by now.
    const auto Name = Status->getValue<std::string>("name");
    if (Name != Router.Name)
      return "router " + Name + " answers at its address";
    const auto Current = Status->getValue<Poco::UInt64>("generation");
    if (Current >= Generation)
      return std::nullopt;
    return "it has generation " + std::to_string(Current);
  } catch (const Poco::Exception &) {
    return "its response is malformed";
  }
}

std::vector<LaggingRouter>
queryBatch(std::span<const RouterRegistration> Routers,
           std::uint64_t Generation) {
  std::vector<std::future<std::optional<std::string>>> Reasons;
  Reasons.reserve(Routers.size());
  for (const RouterRegistration &Router : Routers)
    Reasons.push_back(std::async(std::launch::async, [&Router, Generation] {
      return lagReason(Router, Generation);
    }));
  std::vector<LaggingRouter> Lagging;
  for (std::size_t Index = 0; Index < Routers.size(); ++Index)
    if (auto Reason = Reasons[Index].get())
      Lagging.push_back({Routers[Index].Name, std::move(*Reason)});
  return Lagging;
}

std::vector<LaggingRouter>
queryRouters(const std::vector<RouterRegistration> &Routers,
             std::uint64_t Generation) {
  std::vector<LaggingRouter> Lagging;
  std::span<const RouterRegistration> Remaining(Routers);
  while (!Remaining.empty()) {
    const std::size_t BatchSize =
        std::min(MaxConcurrentQueries, Remaining.size());
    for (LaggingRouter &Router :
         queryBatch(Remaining.first(BatchSize), Generation))
      Lagging.push_back(std::move(Router));
    Remaining = Remaining.subspan(BatchSize);
  }
  return Lagging;
}

} // namespace

Result<std::vector<LaggingRouter>>
waitForGeneration(const PlatformEndpoint &Platform, std::uint64_t Generation,
                  Duration Timeout) {
  const Clock Time = Clock::steady();
  const TimePoint Deadline = Time.now() + Timeout;
  auto Routers = listRouters(Platform);
  TimePoint NextList = Time.now() + ListInterval;
  while (true) {
    const bool IsLast = Time.now() >= Deadline;
    std::vector<LaggingRouter> Lagging;
    if (Routers)
      Lagging = queryRouters(*Routers, Generation);
    if (Routers && (Lagging.empty() || IsLast))
      return Lagging;
    if (IsLast)
      return tl::unexpected<Error>(Routers.error());
    std::this_thread::sleep_for(PollInterval);
    if (Time.now() < NextList)
      continue;
    NextList = Time.now() + ListInterval;
    // While the store is unreachable, the previous list is used.
    if (auto NewList = listRouters(Platform); NewList || !Routers)
      Routers = std::move(NewList);
  }
}

} // namespace parsleywing
