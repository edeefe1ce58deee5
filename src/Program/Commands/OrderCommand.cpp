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
constexpr std::uint32_t MinLeaseSeconds = 4;
constexpr std::uint32_t MaxLeaseSeconds = 600;
constexpr std::uint32_t DefaultLoads = 4;
constexpr std::uint32_t DefaultPeriodSeconds = 60;

std::string textOption(const OptionValues &Values, const char *Name) {
  return Values.count(Name) == 1 ? optionValue<std::string>(Values, Name) : "";
}

std::uint32_t numberOption(const OptionValues &Values, const char *Name) {
  return optionValue<std::uint32_t>(Values, Name);
}

/// Returns what is wrong with the combination of options, or an empty string.
std::string checkOptions(const OptionValues &Values) {
  if (Values.count("load-adapter") + Values.count("unload-adapter") != 1)
    return "order: give either --load-adapter or --unload-adapter";
  if (Values.count("load-adapter") != Values.count("path"))
    return "order: --path goes with --load-adapter";
  const std::uint32_t Ttl = numberOption(Values, "lease-life");
  if (Ttl < MinLeaseSeconds || Ttl > MaxLeaseSeconds)
    return "order: --lease-life must be from " +
           std::to_string(MinLeaseSeconds) + " to " +
           std::to_string(MaxLeaseSeconds);
  if (numberOption(Values, "loads") == 0 ||
      numberOption(Values, "load-period") == 0)
    return "order: --loads and --load-period must be at least 1";
  return "";
}

/// Returns the server's entry in the active declarations.
Result<ServerDeclaration> findServer(const PlatformEndpoint &Platform,
                                     const std::string &Name) {
  const auto Active = readFromPlatform(Platform);
  if (!Active)
    return tl::unexpected<Error>(Active.error());
  const auto Parsed = parseDeclarations(Active->Text, "(in force)");
  if (!Parsed)
    return tl::unexpected<Error>(Parsed.error());
  const auto Entry = Parsed->Servers.find(idOf<ServerId>(Name));
  if (Entry == Parsed->Servers.end())
    return failure(ErrorCode::InvalidInput,
                   "the declarations in force have no server '" + Name + "'");
  return Entry->second;
}

EngineOrder orderOf(const OptionValues &Values,
                    const ServerDeclaration &Server) {
  EngineOrder Order;
  Order.Address = Server.Address;
  Order.Fencing = Server.Fencing;
  Order.Path = textOption(Values, "path");
  const bool IsLoad = Values.count("load-adapter") == 1;
  Order.Kind = IsLoad ? OrderKind::LoadAdapter : OrderKind::UnloadAdapter;
  Order.Name = textOption(Values, IsLoad ? "load-adapter" : "unload-adapter");
  return Order;
}

ServerOrderSettings settingsOf(const OptionValues &Values,
                               const PlatformEndpoint &Platform) {
  ServerOrderSettings Settings;
  Settings.Store.Address = Platform.Address;
  Settings.Prefix = Platform.Prefix;
  Settings.Server = textOption(Values, "server");
  Settings.Holder = textOption(Values, "operator") + ", process " +
                    std::to_string(::getpid());
  Settings.LeaseTtl = std::chrono::seconds(numberOption(Values, "lease-life"));
  Settings.Timeout = std::chrono::seconds(numberOption(Values, "wait"));
  Settings.Rate.MaxLoads = numberOption(Values, "loads");
  Settings.Rate.Period =
      std::chrono::seconds(numberOption(Values, "load-period"));
  return Settings;
}

std::string describe(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
    return "the engine executed the order";
  case OrderOutcome::AlreadyInEffect:
    return "the order was already in effect; nothing was sent";
  case OrderOutcome::Stale:
    return "the engine has received a newer order and refused this one";
  case OrderOutcome::LeaseLost:
    return "the lease was lost; the order was not sent this time";
  case OrderOutcome::NotSent:
    return "the engine is unreachable; nothing was sent";
  case OrderOutcome::Refused:
    return "the engine refused the order";
  case OrderOutcome::Unknown:
    return "the order may be in effect; the engine's report does not show it";
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
      describe(Report.Outcome) + " (number " + std::to_string(Report.Number) +
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
  const auto Text = [](const char *ValueName) {
    return options::value<std::string>()->value_name(ValueName);
  };
  const auto Number = [](std::uint32_t Default, const char *ValueName) {
    return options::value<std::uint32_t>()->default_value(Default)->value_name(
        ValueName);
  };
  OptionsDescription Options("Options");
  Options.add_options()("server", Text("NAME")->required(),
                        "backend server, as the declarations in force name it")(
      "load-adapter", Text("NAME"), "load this adapter, as requests name it")(
      "path", Text("PATH"), "where the engine finds the adapter's weights")(
      "unload-adapter", Text("NAME"), "unload this adapter")(
      "operator", Text("NAME")->required(),
      "name of the operator; shown in the store to others who wait")(
      "platform", Text("ADDRESS")->required(),
      "numeric IP:port of the platform's store")(
      "prefix", Text("TEXT")->default_value(Settings{}.Platform.Prefix),
      "prefix of the fleet's keys in the store, as [platform] prefix")(
      "wait", Number(DefaultWaitSeconds, "SECONDS"),
      "how long to wait for the server's lease and for permission to load")(
      "lease-life", Number(DefaultLeaseSeconds, "SECONDS"),
      "TTL of the lease; must be the same for all operators of a fleet")(
      "loads", Number(DefaultLoads, "COUNT"),
      "maximum number of loads started in one period, fleet-wide")(
      "load-period", Number(DefaultPeriodSeconds, "SECONDS"),
      "length of that period");
  return Options;
}

ExitCode OrderCommand::run(const OptionValues &Values) const {
  if (const std::string Problem = checkOptions(Values); !Problem.empty())
    return printError({ErrorCode::InvalidInput, Problem}, ExitCode::WrongUsage);
  const PlatformEndpoint Platform{textOption(Values, "platform"),
                                  textOption(Values, "prefix")};
  const auto Server = findServer(Platform, textOption(Values, "server"));
  if (!Server)
    return printError(Server.error());
  ServerOrder Order(settingsOf(Values, Platform), orderOf(Values, *Server),
                    [](const std::string &Line) {
                      std::cout << Line << '\n' << std::flush;
                    });
  const auto Report = Order.run();
  return Report ? print(*Report) : printError(Report.error());
}

} // namespace parsleywing
