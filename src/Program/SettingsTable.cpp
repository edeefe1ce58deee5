#include "Program/SettingsTable.h"

#include "Operator/ValueChecks.h"

#include <Poco/NumberParser.h>
#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>

namespace parsleywing {

namespace {

constexpr std::uint64_t MaxCount = 1'000'000;
constexpr std::uint64_t MaxHourSeconds = 3'600;
constexpr std::uint64_t MaxMinuteMilliseconds = 60'000;
constexpr std::size_t MinSecretLength = 16;

// One function for each kind of setting. `Field` returns a reference to the
// value inside the settings.

template <typename Access>
Setting checkedText(std::string Section, std::string Key, std::string Allowed,
                    bool (*Check)(const std::string &), Access Field,
                    std::string Description) {
  return {std::move(Section),
          std::move(Key),
          std::move(Allowed),
          std::move(Description),
          false,
          [Field, Check](Settings &Into, const std::string &Value) {
            if (!Check(Value))
              return false;
            Field(Into) = Value;
            return true;
          },
          [Field](Settings From) { return Field(From); }};
}

bool isNotEmpty(const std::string &Value) { return !Value.empty(); }

bool isSecret(const std::string &Value) {
  return Value.size() >= MinSecretLength;
}

template <typename Access>
Setting text(std::string Section, std::string Key, Access Field,
             std::string Description) {
  return checkedText(std::move(Section), std::move(Key), "a text", isNotEmpty,
                     Field, std::move(Description));
}

template <typename Access>
Setting name(std::string Section, std::string Key, Access Field,
             std::string Description) {
  return checkedText(std::move(Section), std::move(Key), NameRule, isName,
                     Field, std::move(Description));
}

template <typename Access>
Setting address(std::string Section, std::string Key, Access Field,
                std::string Description) {
  return checkedText(std::move(Section), std::move(Key), AddressRule,
                     isNumericAddress, Field, std::move(Description));
}

Setting required(Setting Optional) {
  Optional.Required = true;
  return Optional;
}

/// Parses a whole number from `Low` to `High`; returns nothing if the text is
/// not one.
std::optional<std::uint64_t>
wholeNumber(const std::string &Value, std::uint64_t Low, std::uint64_t High) {
  Poco::UInt64 Number = 0;
  if (!Poco::NumberParser::tryParseUnsigned64(Value, Number) || Number < Low ||
      Number > High)
    return std::nullopt;
  return Number;
}

std::string rangeText(std::uint64_t Low, std::uint64_t High) {
  return "a whole number from " + std::to_string(Low) + " to " +
         std::to_string(High);
}

/// A whole number from `Low` to `High`. `Set` stores it in the settings, and
/// `Get` formats it as in the settings file.
template <typename Setter, typename Getter>
Setting ranged(std::string Section, std::string Key, std::uint64_t Low,
               std::uint64_t High, Setter Set, Getter Get,
               std::string Description) {
  return {std::move(Section),
          std::move(Key),
          rangeText(Low, High),
          std::move(Description),
          false,
          [=](Settings &Into, const std::string &Value) {
            const auto Number = wholeNumber(Value, Low, High);
            if (Number)
              Set(Into, *Number);
            return Number.has_value();
          },
          Get};
}

template <typename Access>
Setting count(std::string Section, std::string Key, std::uint64_t Low,
              std::uint64_t High, Access Field, std::string Description) {
  return ranged(
      std::move(Section), std::move(Key), Low, High,
      [Field](Settings &Into, std::uint64_t Number) {
        auto &Target = Field(Into);
        Target = static_cast<std::decay_t<decltype(Target)>>(Number);
      },
      [Field](Settings From) { return std::to_string(Field(From)); },
      std::move(Description));
}

/// A fraction from 0 to 1, given in percent.
template <typename Access>
Setting percent(std::string Section, std::string Key, Access Field,
                std::string Description) {
  constexpr std::uint64_t PercentScale = 100;
  return ranged(
      std::move(Section), std::move(Key), 0, PercentScale,
      [Field](Settings &Into, std::uint64_t Number) {
        Field(Into) = static_cast<double>(Number) / PercentScale;
      },
      [Field](Settings From) {
        return std::to_string(std::lround(Field(From) * PercentScale));
      },
      std::move(Description));
}

/// A duration, in the unit with which the name of its key ends.
template <typename Unit, typename Access>
Setting duration(std::string Section, std::string Key, std::uint64_t Low,
                 std::uint64_t High, Access Field, std::string Description) {
  return ranged(
      std::move(Section), std::move(Key), Low, High,
      [Field](Settings &Into, std::uint64_t Number) {
        Field(Into) = Unit(static_cast<std::int64_t>(Number));
      },
      [Field](Settings From) {
        return std::to_string(
            std::chrono::duration_cast<Unit>(Field(From)).count());
      },
      std::move(Description));
}

template <typename Enum, std::size_t Count, typename Access>
Setting choice(std::string Section, std::string Key,
               const EnumNames<Enum, Count> &Names, Access Field,
               std::string Description) {
  std::string Allowed;
  for (const auto &[Value, Name] : Names)
    Allowed += (Allowed.empty() ? "" : " or ") + std::string(Name);
  return {std::move(Section),
          std::move(Key),
          std::move(Allowed),
          std::move(Description),
          false,
          [Field, &Names](Settings &Into, const std::string &Value) {
            const auto Parsed = valueOf(Names, Value);
            if (Parsed)
              Field(Into) = *Parsed;
            return Parsed.has_value();
          },
          [Field, &Names](Settings From) {
            return std::string(nameOf(Names, Field(From)));
          }};
}

inline constexpr EnumNames<bool, 2> YesNoNames{{{false, "no"}, {true, "yes"}}};

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// clang-format off
std::vector<Setting> makeTable() {
  return {
      required(name("router", "name", [](Settings &S) -> auto & { return S.Name; }, "Name of this router, unique in the fleet.")),
      required(name("router", "availability_zone", [](Settings &S) -> auto & { return S.Zone; }, "Availability zone of the VM it runs on.")),
      required(address("listen", "callers", [](Settings &S) -> auto & { return S.Callers.Address; }, "Where callers connect (HTTP).")),
      address("listen", "peers", [](Settings &S) -> auto & { return S.PeerAddress; }, "Where other routers send datagrams (UDP); without it the router runs alone."),
      address("listen", "operators", [](Settings &S) -> auto & { return S.OperatorAddress; }, "Where operators read dump and metrics and order a drain (HTTP); keep it on loopback or a closed network. Without it there is none."),
      checkedText("peers", "secret", "at least 16 characters", isSecret, [](Settings &S) -> auto & { return S.Peers.Secret; }, "Shared by the whole fleet; datagrams without its proof are dropped. Every other key of this section is a router's name, its value that router's `[listen] peers` address."),
      count("peers", "max_bytes_per_second", 512, MaxCount, [](Settings &S) -> auto & { return S.Peers.MaxBytesPerSecond; }, "Bytes a second that this router may send to the others in datagrams, headers included."),
      choice("peers", "fault_injection", YesNoNames, [](Settings &S) -> auto & { return S.Peers.FaultInjection; }, "Lets operators cut this router off from others. For tests only."),
      address("platform", "address", [](Settings &S) -> auto & { return S.Platform.Address; }, "The platform's key-value service; without it the declarations file stays in force."),
      text("platform", "prefix", [](Settings &S) -> auto & { return S.Platform.Prefix; }, "Start of every key that the fleet uses in the store."),
      text("platform", "vm_prefix", [](Settings &S) -> auto & { return S.Platform.VmPrefix; }, "Start of the keys that list live and leaving VMs."),
      count("platform", "max_calls_per_second", 1, 2'000, [](Settings &S) -> auto & { return S.Platform.MaxCallsPerSecond; }, "Calls of this router on the store for its lease, the configuration and the lists, of every kind."),
      count("platform", "max_record_calls_per_second", 1, 2'000, [](Settings &S) -> auto & { return S.Platform.MaxRecordCallsPerSecond; }, "The same for run records, which so cannot starve the lease."),
      duration<Seconds>("platform", "lease_life_seconds", 5, MaxHourSeconds, [](Settings &S) -> auto & { return S.Platform.LeaseTtl; }, "Life of the router's one lease."),
      duration<Milliseconds>("platform", "request_timeout_milliseconds", 10, MaxMinuteMilliseconds, [](Settings &S) -> auto & { return S.Platform.RequestTimeout; }, "Longest wait for one answer of the store."),
      text("declarations", "file", [](Settings &S) -> auto & { return S.DeclarationsFile; }, "Declarations in force until the platform gives newer ones."),
      count("callers", "max_connections", 1, 100'000, [](Settings &S) -> auto & { return S.Callers.MaxConnections; }, "Callers' connections served at once; each has a thread."),
      count("callers", "max_body_bytes", 1'024, 1ULL << 30, [](Settings &S) -> auto & { return S.Callers.MaxBodyBytes; }, "Largest accepted body of a request."),
      duration<Milliseconds>("callers", "default_timeout_milliseconds", 1, MaxHourSeconds * 1'000, [](Settings &S) -> auto & { return S.Callers.DefaultTimeout; }, "Time a request may take where its caller names none."),
      count("requests", "queue_limit_requests", 1, MaxCount, [](Settings &S) -> auto & { return S.Core.Requests.Limits.MaxWaiting; }, "Requests that may wait at this router; further ones are refused with a time to come back."),
      percent("requests", "retry_budget_percent", [](Settings &S) -> auto & { return S.Core.Requests.Retry.BudgetFraction; }, "Retries, in percent of the requests that arrived."),
      duration<Milliseconds>("requests", "max_timeout_milliseconds", 1, MaxHourSeconds * 1'000, [](Settings &S) -> auto & { return S.Callers.MaxTimeout; }, "Longest time that a caller may ask for."),
      duration<Seconds>("requests", "drain_limit_seconds", 0, MaxHourSeconds, [](Settings &S) -> auto & { return S.Core.Requests.Drain.HardLimit; }, "Longest drain; the process then ends with what is unfinished."),
      choice("fairness", "policy", FairnessModeNames, [](Settings &S) -> auto & { return S.Policy; }, "Whether routers share capacity each for itself or together."),
      duration<Milliseconds>("fairness", "digest_interval_milliseconds", 50, MaxMinuteMilliseconds, [](Settings &S) -> auto & { return S.Core.Fairness.DigestInterval; }, "Time between two digests of account positions to other routers."),
      count("fairness", "sample_size_routers", 1, 100, [](Settings &S) -> auto & { return S.Core.Fairness.SampleSize; }, "Routers whose digests are weighed when a slot falls free."),
      duration<Milliseconds>("backends", "connect_limit_milliseconds", 10, MaxMinuteMilliseconds, [](Settings &S) -> auto & { return S.Callers.Backend.ConnectTimeout; }, "Longest wait for a connection to a backend server."),
      duration<Milliseconds>("backends", "first_event_limit_milliseconds", 10, MaxHourSeconds * 1'000, [](Settings &S) -> auto & { return S.Callers.Backend.FirstEventTimeout; }, "Longest wait for the first piece of an answer, the wait in the server's own queue included."),
      duration<Milliseconds>("backends", "silence_limit_milliseconds", 10, MaxHourSeconds * 1'000, [](Settings &S) -> auto & { return S.Callers.Backend.EventGapTimeout; }, "Longest silence between two pieces of an answer before an attempt is given up."),
      duration<Milliseconds>("backends", "probe_limit_milliseconds", 10, MaxMinuteMilliseconds, [](Settings &S) -> auto & { return S.Callers.Backend.ProbeTimeout; }, "Longest wait for the probe that tells a silent server from a silent connection."),
      duration<Milliseconds>("backends", "cancel_limit_milliseconds", 10, MaxMinuteMilliseconds, [](Settings &S) -> auto & { return S.Callers.Backend.CancelTimeout; }, "Longest wait for the order that frees the slot of an abandoned answer."),
      duration<Milliseconds>("backends", "suspect_time_milliseconds", 10, MaxMinuteMilliseconds, [](Settings &S) -> auto & { return S.Core.Servers.FailureLifetime; }, "How long a server that failed gets no work where nothing confirms it."),
      count("backends", "max_idle_connections", 0, 1'000, [](Settings &S) -> auto & { return S.Callers.Backend.MaxIdleConnections; }, "Idle connections kept to one server."),
      duration<Milliseconds>("backends", "load_poll_interval_milliseconds", 50, MaxMinuteMilliseconds, [](Settings &S) -> auto & { return S.Polling.Interval; }, "Time between two questions for a backend server's load."),
      choice("log", "level", LogLevelNames, [](Settings &S) -> auto & { return S.Level; }, "Lowest level that is written."),
      text("log", "target", [](Settings &S) -> auto & { return S.LogTarget; }, "`stderr`, or the file that lines are appended to."),
  };
}
// clang-format on

} // namespace

const std::vector<Setting> &settingsTable() {
  static const std::vector<Setting> Table = makeTable();
  return Table;
}

const Setting *findSetting(const std::string &Section, const std::string &Key) {
  for (const Setting &Each : settingsTable())
    if (Each.Section == Section && Each.Key == Key)
      return &Each;
  return nullptr;
}

bool isSettingsSection(const std::string &Section) {
  return std::ranges::any_of(settingsTable(), [&](const Setting &Each) {
    return Each.Section == Section;
  });
}

std::string settingsTableMarkdown() {
  const Settings Defaults;
  std::ostringstream Out;
  std::string Section;
  for (const Setting &Each : settingsTable()) {
    if (Each.Section != Section) {
      Section = Each.Section;
      Out << "\n### [" << Section << "]\n\n"
          << "| key | default | allowed | meaning |\n|---|---|---|---|\n";
    }
    std::string Default = Each.Get(Defaults);
    if (Each.Required)
      Default = "required";
    else if (Default.empty())
      Default = "none";
    Out << "| `" << Each.Key << "` | " << Default << " | " << Each.AllowedValues
        << " | " << Each.Description << " |\n";
  }
  return Out.str();
}

} // namespace parsleywing
