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
/// A router answers this within its process; a frozen one never does.
constexpr Duration AnswerLimit = std::chrono::seconds(1);
/// Routers asked at once, so that a few frozen ones do not hold up the rest.
constexpr std::size_t AskedAtOnce = 32;

/// Nothing where the router has the generation, else why it is not known to.
std::optional<std::string> whyBehind(const RouterRegistration &Router,
                                     std::uint64_t Wanted) {
  if (Router.OperatorAddress.empty())
    return "it has no operator address";
  const OperatorClient Client(Router.OperatorAddress, AnswerLimit);
  const auto Body = Client.get("/generation");
  if (!Body)
    return Body.error().Message;
  try {
    const auto Told =
        Poco::JSON::Parser().parse(*Body).extract<Poco::JSON::Object::Ptr>();
    // Another router may listen where this one did.
    const auto Name = Told->getValue<std::string>("name");
    if (Name != Router.Name)
      return "router " + Name + " answers at its address";
    const auto Has = Told->getValue<Poco::UInt64>("generation");
    if (Has >= Wanted)
      return std::nullopt;
    return "it has generation " + std::to_string(Has);
  } catch (const Poco::Exception &) {
    return "its answer is not readable";
  }
}

std::vector<LaggingRouter> askSome(std::span<const RouterRegistration> Routers,
                                   std::uint64_t Wanted) {
  std::vector<std::future<std::optional<std::string>>> Answers;
  Answers.reserve(Routers.size());
  for (const RouterRegistration &Router : Routers)
    Answers.push_back(std::async(std::launch::async, [&Router, Wanted] {
      return whyBehind(Router, Wanted);
    }));
  std::vector<LaggingRouter> Behind;
  for (std::size_t Index = 0; Index < Routers.size(); ++Index)
    if (auto Reason = Answers[Index].get())
      Behind.push_back({Routers[Index].Name, std::move(*Reason)});
  return Behind;
}

std::vector<LaggingRouter>
askAll(const std::vector<RouterRegistration> &Routers, std::uint64_t Wanted) {
  std::vector<LaggingRouter> Behind;
  std::span<const RouterRegistration> Rest(Routers);
  while (!Rest.empty()) {
    const std::size_t Some = std::min(AskedAtOnce, Rest.size());
    for (LaggingRouter &Router : askSome(Rest.first(Some), Wanted))
      Behind.push_back(std::move(Router));
    Rest = Rest.subspan(Some);
  }
  return Behind;
}

} // namespace

Result<std::vector<LaggingRouter>>
waitForGeneration(const PlatformEndpoint &Platform, std::uint64_t Generation,
                  Duration Wait) {
  const Clock Time = Clock::steady();
  const TimePoint Limit = Time.now() + Wait;
  auto Listed = listRouters(Platform);
  TimePoint NextList = Time.now() + ListInterval;
  while (true) {
    const bool Last = Time.now() >= Limit;
    std::vector<LaggingRouter> Behind;
    if (Listed)
      Behind = askAll(*Listed, Generation);
    if (Listed && (Behind.empty() || Last))
      return Behind;
    if (Last)
      return tl::unexpected<Error>(Listed.error());
    std::this_thread::sleep_for(PollInterval);
    if (Time.now() < NextList)
      continue;
    NextList = Time.now() + ListInterval;
    // An older list is better than none while the store is away.
    if (auto Newer = listRouters(Platform); Newer || !Listed)
      Listed = std::move(Newer);
  }
}

} // namespace parsleywing
