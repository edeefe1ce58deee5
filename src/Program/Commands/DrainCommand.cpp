#include "Program/Commands/DrainCommand.h"

#include "Operator/OperatorClient.h"

#include <thread>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(100);

/// Waits until the router's process is unreachable.
ExitCode waitForEnd(const OperatorClient &Router, std::uint32_t Seconds) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (std::chrono::steady_clock::now() < Deadline) {
    const auto Health = Router.health();
    if (!Health && Health.error().Code == ErrorCode::Unreachable) {
      std::cout << "the router has ended\n";
      return ExitCode::Success;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return printError(
      {ErrorCode::TimedOut,
       "the router is still draining after " + std::to_string(Seconds) + " s"});
}

} // namespace

OptionsDescription DrainCommand::options() const {
  OptionsDescription Options("Options");
  Options.add_options()(
      "router",
      options::value<std::string>()->required()->value_name("ADDRESS"),
      "the router's [listen] operators address")(
      "wait", options::value<std::uint32_t>()->value_name("SECONDS"),
      "wait at most so long until the router has ended");
  return Options;
}

ExitCode DrainCommand::run(const OptionValues &Values) const {
  const OperatorClient Router(optionValue<std::string>(Values, "router"));
  const auto Response = Router.post("/drain");
  if (!Response)
    return printError(Response.error());
  if (Values.count("wait") == 1)
    return waitForEnd(Router, optionValue<std::uint32_t>(Values, "wait"));
  std::cout << "the router is draining\n";
  return ExitCode::Success;
}

} // namespace parsleywing
