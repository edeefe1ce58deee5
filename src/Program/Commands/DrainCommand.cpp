#include "Program/Commands/DrainCommand.h"

#include "Operator/OperatorClient.h"

#include <thread>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(100);

/// Waits until the router's process no longer answers.
ExitCode waitForEnd(const OperatorClient &Router, std::uint32_t Seconds) {
  const auto Limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (std::chrono::steady_clock::now() < Limit) {
    const auto Health = Router.health();
    if (!Health && Health.error().Code == ErrorCode::Unreachable) {
      std::cout << "the router has ended\n";
      return ExitCode::Success;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return printError({ErrorCode::TimedOut, "the router still drains after " +
                                              std::to_string(Seconds) + " s"});
}

} // namespace

OptionsDescription DrainCommand::options() const {
  OptionsDescription Known("Options");
  Known.add_options()(
      "router",
      options::value<std::string>()->required()->value_name("ADDRESS"),
      "the router's [listen] operators address")(
      "wait", options::value<std::uint32_t>()->value_name("SECONDS"),
      "wait so long for the router's end");
  return Known;
}

ExitCode DrainCommand::run(const OptionValues &Given) const {
  const OperatorClient Router(optionValue<std::string>(Given, "router"));
  const auto Asked = Router.post("/drain");
  if (!Asked)
    return printError(Asked.error());
  if (Given.count("wait") == 1)
    return waitForEnd(Router, optionValue<std::uint32_t>(Given, "wait"));
  std::cout << "the router drains\n";
  return ExitCode::Success;
}

} // namespace parsleywing
