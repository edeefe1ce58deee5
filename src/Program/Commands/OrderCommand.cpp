#include "Program/Commands/OrderCommand.h"

#include "Operator/DeclarationsReader.h"
#include "Program/Orders/ServerOrder.h"
#include "Program/PlatformDeclarations.h"
#include "Program/Settings.h"

#include <algorithm>
#include <sstream>
#include <unistd.h>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

constexpr std::uint32_t DefaultWaitSeconds = 120;
constexpr std::uint32_t DefaultLeaseSeconds = 20;
constexpr std::uint32_t LeastLeaseSeconds = 4;
constexpr std::uint32_t MostLeaseSeconds = 600;
constexpr std::uint32_t DefaultLoads = 4;
constexpr std::uint32_t DefaultPeriodSeconds = 60;

std::string wordOf(const OptionValues &Given, const char *Name) {
  return Given.count(Name) == 1 ? optionValue<std::string>(Given, Name) : "";
}

std::uint32_t numberOf(const OptionValues &Given, const char *Name) {
  return optionValue<std::uint32_t>(Given, Name);
}

/// What is wrong with the options together; empty where nothing is.
std::string problemOf(const OptionValues &Given) {
  if (Given.count("load-adapter") + Given.count("unload-adapter") != 1)
    return "order: give either --load-adapter or --unload-adapter";
  if (Given.count("load-adapter") != Given.count("path"))
    return "order: --path goes with --load-adapter";
  const std::uint32_t Life = numberOf(Given, "lease-life");
  if (Life < LeastLeaseSeconds || Life > MostLeaseSeconds)
    return "order: --lease-life must be from " +
           std::to_string(LeastLeaseSeconds) + " to " +
           std::to_string(MostLeaseSeconds);
  if (numberOf(Given, "loads") == 0 || numberOf(Given, "load-period") == 0)
    return "order: --loads and --load-period must be at least 1";
  return "";
}

/// The server as the declarations in force have it.
Result<ServerDeclaration> findServer(const PlatformEndpoint &Platform,
                                     const std::string &Name) {
  const auto InForce = readFromPlatform(Platform);
  if (!InForce)
    return tl::unexpected<Error>(InForce.error());
  const auto Declared = parseDeclarations(InForce->Text, "(in force)");
  if (!Declared)
    return tl::unexpected<Error>(Declared.error());
  const auto Found = Declared->Servers.find(idOf<ServerId>(Name));
  if (Found == Declared->Servers.end())
    return failure(ErrorCode::InvalidInput,
                   "the declarations in force have no server '" + Name + "'");
  return Found->second;
}

EngineOrder orderOf(const OptionValues &Given,
                    const ServerDeclaration &Server) {
  EngineOrder Order;
  Order.Address = Server.Address;
  Order.Fencing = Server.Fencing;
  Order.Path = wordOf(Given, "path");
  const bool Load = Given.count("load-adapter") == 1;
  Order.Kind = Load ? OrderKind::LoadAdapter : OrderKind::UnloadAdapter;
  Order.Name = wordOf(Given, Load ? "load-adapter" : "unload-adapter");
  return Order;
}

ServerOrderSettings settingsOf(const OptionValues &Given,
                               const PlatformEndpoint &Platform) {
  ServerOrderSettings Settings;
  Settings.Store.Address = Platform.Address;
  Settings.Prefix = Platform.Prefix;
  Settings.Server = wordOf(Given, "server");
  Settings.Holder =
      wordOf(Given, "operator") + ", process " + std::to_string(::getpid());
  Settings.LeaseTtl = std::chrono::seconds(numberOf(Given, "lease-life"));
  Settings.Timeout = std::chrono::seconds(numberOf(Given, "wait"));
  Settings.Rate.MaxLoads = numberOf(Given, "loads");
  Settings.Rate.Period = std::chrono::seconds(numberOf(Given, "load-period"));
  return Settings;
}

std::string explain(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
    return "the engine obeyed";
  case OrderOutcome::AlreadyInEffect:
    return "it was in effect before; nothing was sent";
  case OrderOutcome::Stale:
    return "the engine knows a newer order and refused this one";
  case OrderOutcome::LeaseLost:
    return "the lease was lost; this order was not sent then";
  case OrderOutcome::NotSent:
    return "the engine cannot be reached; nothing was sent";
  case OrderOutcome::Refused:
    return "the engine refused it";
  case OrderOutcome::Unknown:
    return "it may or may not be in effect; its report did not tell";
  }
  return "";
}

ExitCode exitCodeOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
  case OrderOutcome::AlreadyInEffect:
    return ExitCode::Success;
  case OrderOutcome::Stale:
    return ExitCode::StaleOrder;
  case OrderOutcome::LeaseLost:
    return ExitCode::LeaseLost;
  case OrderOutcome::NotSent:
    return ExitCode::Unreachable;
  case OrderOutcome::Refused:
    return ExitCode::Failed;
  case OrderOutcome::Unknown:
    return ExitCode::TimedOut;
  }
  return ExitCode::Failed;
}

ExitCode print(const ServerOrderReport &Report) {
  const std::string Line =
      std::string(nameOf(OrderOutcomeNames, Report.Outcome)) + ": " +
      explain(Report.Outcome) + " (number " + std::to_string(Report.Number) +
      ", repeats " + std::to_string(Report.Repeats) + ")";
  const ExitCode Code = exitCodeOf(Report.Outcome);
  if (Code == ExitCode::Success)
    std::cout << Line << '\n';
  else
    std::cerr << "parsleywing: " << Line << '\n';
  for (const std::string &Change : Report.OtherChanges)
    std::cerr << "parsleywing: changed meanwhile under an older lease: "
              << Change << '\n';
  return Code;
}

} // namespace

OptionsDescription OrderCommand::options() const {
  const auto Word = [](const char *Shown) {
    return options::value<std::string>()->value_name(Shown);
  };
  const auto Number = [](std::uint32_t Default, const char *Shown) {
    return options::value<std::uint32_t>()->default_value(Default)->value_name(
        Shown);
  };
  OptionsDescription Known("Options");
  Known.add_options()("server", Word("NAME")->required(),
                      "backend server, as the declarations in force name it")(
      "load-adapter", Word("NAME"), "load this adapter, as requests name it")(
      "path", Word("PATH"), "where the engine finds the adapter's weights")(
      "unload-adapter", Word("NAME"), "unload this adapter")(
      "operator", Word("NAME")->required(),
      "who orders; shown in the store to those who wait")(
      "platform", Word("ADDRESS")->required(),
      "numeric IP:port of the platform's store")(
      "prefix", Word("TEXT")->default_value(Settings{}.Platform.Prefix),
      "start of the fleet's keys in the store, as [platform] prefix")(
      "wait", Number(DefaultWaitSeconds, "SECONDS"),
      "how long to wait for the server's lease and for leave to load")(
      "lease-life", Number(DefaultLeaseSeconds, "SECONDS"),
      "life of the lease; the same for all operators of a fleet")(
      "loads", Number(DefaultLoads, "COUNT"),
      "loads that may begin in one period, fleet-wide")(
      "load-period", Number(DefaultPeriodSeconds, "SECONDS"),
      "length of that period");
  return Known;
}

ExitCode OrderCommand::run(const OptionValues &Given) const {
  if (const std::string Problem = problemOf(Given); !Problem.empty())
    return printError({ErrorCode::InvalidInput, Problem}, ExitCode::WrongUsage);
  const PlatformEndpoint Platform{wordOf(Given, "platform"),
                                  wordOf(Given, "prefix")};
  const auto Server = findServer(Platform, wordOf(Given, "server"));
  if (!Server)
    return printError(Server.error());
  ServerOrder Order(settingsOf(Given, Platform), orderOf(Given, *Server),
                    [](const std::string &Line) {
                      std::cout << Line << '\n' << std::flush;
                    });
  const auto Report = Order.run();
  return Report ? print(*Report) : printError(Report.error());
}

} // namespace parsleywing
