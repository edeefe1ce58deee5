#include "Placement/ConfigurationCheck.h"

#include "Http/HttpHead.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace parsleywing {

namespace {

constexpr std::size_t MaxShownKeyChars = 4;

std::string nameOfRoute(const GatewayRoute &Route) {
  return Route.Name.empty() ? Route.Host + Route.Prefix : Route.Name;
}

std::string quoted(const std::string &Text) { return "'" + Text + "'"; }

std::string millisecondsText(Duration Time) {
  std::ostringstream Text;
  Text << std::chrono::duration<double, std::milli>(Time).count() << " ms";
  return Text.str();
}

std::string targetsText(const GatewayRoute &Route) {
  std::string Text;
  for (const RouteTarget &Each : Route.Targets)
    Text += (Text.empty() ? "" : ", ") + Each.Service + " " +
            std::to_string(Each.Weight);
  return Text;
}

/// Collects the findings of one configuration.
class Checker {
public:
  explicit Checker(const GatewayConfiguration &C) : Checked(C) {}

  ConfigurationFindings run() {
    for (std::size_t Index = 0; Index < this->Checked.Routes.size(); ++Index)
      this->checkRoute(Index);
    for (const auto &[Name, Service] : this->Checked.Services)
      this->checkService(Service);
    this->checkAccounts();
    this->checkLimits();
    return std::move(this->Findings);
  }

private:
  void add(FindingLevel Level, FindingKind Kind, std::string Place,
           std::string Text) {
    this->Findings.push_back({Level, Kind, std::move(Place), std::move(Text)});
  }

  void checkRoute(std::size_t Index) {
    const GatewayRoute &Route = this->Checked.Routes[Index];
    const std::string Place = "route " + nameOfRoute(Route);
    this->checkMatch(Route, Place);
    for (std::size_t Earlier = 0; Earlier < Index; ++Earlier)
      this->checkPair(this->Checked.Routes[Earlier], Route, Place);
    this->checkTargets(Route, Place);
    this->checkTimes(Route, Place);
    this->checkAttempts(Route, Place);
  }

  void checkMatch(const GatewayRoute &Route, const std::string &Place) {
    const auto NeverMatches = [&](const std::string &Reason) {
      this->add(FindingLevel::Error, FindingKind::NeverMatches, Place, Reason);
    };
    if (Route.Host.empty() ||
        Route.Host.find_first_of(" /:") != std::string::npos)
      NeverMatches("host " + quoted(Route.Host) +
                   " is no host name without a port");
    if (!Route.Prefix.starts_with('/'))
      NeverMatches("prefix " + quoted(Route.Prefix) +
                   " does not begin with a slash");
    else if (Route.Prefix.find_first_of("?# ") != std::string::npos)
      NeverMatches("prefix " + quoted(Route.Prefix) +
                   " contains what no path contains");
    else if (!Route.Prefix.ends_with('/'))
      this->add(FindingLevel::Warning, FindingKind::OpenPrefix, Place,
                "prefix " + quoted(Route.Prefix) +
                    " has no slash at its end and also matches " +
                    quoted(Route.Prefix + "x"));
  }

  /// Of two routes with the same host and prefix the first is chosen, otherwise
  /// the longest prefix.
  void checkPair(const GatewayRoute &Earlier, const GatewayRoute &Later,
                 const std::string &Place) {
    if (!Later.Name.empty() && Earlier.Name == Later.Name)
      this->add(FindingLevel::Error, FindingKind::RepeatedName, Place,
                "another route has this name");
    if (!equalIgnoringCase(Earlier.Host, Later.Host))
      return;
    if (Earlier.Prefix == Later.Prefix) {
      this->add(FindingLevel::Error, FindingKind::NeverMatches, Place,
                "route " + nameOfRoute(Earlier) +
                    " has the same host and prefix and comes first");
      return;
    }
    const bool IsLaterLonger = Later.Prefix.size() > Earlier.Prefix.size();
    const GatewayRoute &Longer = IsLaterLonger ? Later : Earlier;
    const GatewayRoute &Shorter = IsLaterLonger ? Earlier : Later;
    if (Longer.Prefix.starts_with(Shorter.Prefix))
      this->add(FindingLevel::Note, FindingKind::HidesPrefix,
                "route " + nameOfRoute(Longer),
                "takes requests under " + quoted(Longer.Prefix) +
                    " from route " + nameOfRoute(Shorter));
  }

  void checkTargets(const GatewayRoute &Route, const std::string &Place) {
    std::uint64_t TotalWeight = 0;
    for (const RouteTarget &Target : Route.Targets) {
      TotalWeight += Target.Weight;
      if (Target.Weight == 0)
        this->add(FindingLevel::Warning, FindingKind::ZeroWeight, Place,
                  "service " + quoted(Target.Service) +
                      " has weight 0 and gets no requests");
      if (!this->Checked.Services.contains(Target.Service))
        this->add(FindingLevel::Error, FindingKind::UnknownService, Place,
                  "service " + quoted(Target.Service) + " is not configured");
    }
    if (TotalWeight == 0)
      this->add(FindingLevel::Error, FindingKind::NoTarget, Place,
                "it has no service with a weight, so that all requests are "
                "refused");
  }

  void checkTimes(const GatewayRoute &Route, const std::string &Place) {
    if (Route.Timeout <= Duration::zero())
      this->add(FindingLevel::Error, FindingKind::ContradictoryLimit, Place,
                "timeout " + millisecondsText(Route.Timeout) +
                    " leaves no time for a response");
    else if (Route.LatencyObjective > Route.Timeout)
      this->add(FindingLevel::Warning, FindingKind::ObjectiveTooHigh, Place,
                "objective " + millisecondsText(Route.LatencyObjective) +
                    " exceeds the timeout " + millisecondsText(Route.Timeout));
    if (Route.LatencyObjective <= Duration::zero())
      this->add(FindingLevel::Warning, FindingKind::ContradictoryLimit, Place,
                "no response can meet the objective " +
                    millisecondsText(Route.LatencyObjective));
  }

  void checkAttempts(const GatewayRoute &Route, const std::string &Place) {
    const auto NoEffect = [&](const std::string &Text) {
      this->add(FindingLevel::Warning, FindingKind::ContradictoryLimit, Place,
                Text);
    };
    if (Route.MaxRuns == 0)
      this->add(FindingLevel::Error, FindingKind::ContradictoryLimit, Place,
                "no attempt is permitted");
    if (Route.MaxRuns > 1 && !Route.repeatable())
      NoEffect("several attempts are permitted, but its requests may run only "
               "once");
    if (Route.Resumable && Route.Kind != RequestKind::Stream)
      NoEffect("it is resumable, but no stream");
    const bool HasEngines =
        std::any_of(Route.Targets.begin(), Route.Targets.end(),
                    [this](const RouteTarget &Target) {
                      const auto Found =
                          this->Checked.Services.find(Target.Service);
                      return Found != this->Checked.Services.end() &&
                             Found->second.KvCapacityTokens > 0;
                    });
    if (Route.Sticky && !HasEngines)
      NoEffect("it is sticky, but none of its services has engines");
  }

  void checkService(const GatewayService &Service) {
    const std::string Place = "service " + Service.Name;
    const auto Contradicts = [&](const std::string &Text) {
      this->add(FindingLevel::Warning, FindingKind::ContradictoryLimit, Place,
                Text);
    };
    const auto LeadsHere = [&Service](const GatewayRoute &Route) {
      return std::any_of(Route.Targets.begin(), Route.Targets.end(),
                         [&Service](const RouteTarget &Target) {
                           return Target.Service == Service.Name;
                         });
    };
    if (std::none_of(this->Checked.Routes.begin(), this->Checked.Routes.end(),
                     LeadsHere))
      this->add(FindingLevel::Warning, FindingKind::UnusedService, Place,
                "no route leads to it");
    if ((Service.WarmUp.Period > Duration::zero()) !=
        (Service.WarmUp.RequestsPerSecond > 0))
      Contradicts("of the warm-up's time and rate only one is set");
    if ((Service.KvBytesPerToken > 0) != (Service.LinkBytesPerMs > 0))
      Contradicts("of the cache's bytes a token and the link's speed only one "
                  "is set, so that engines fetch nothing from each other");
  }

  void checkAccounts() {
    const bool NeedsKeys =
        std::any_of(this->Checked.Routes.begin(), this->Checked.Routes.end(),
                    [](const GatewayRoute &Each) { return !Each.Public; });
    if (!NeedsKeys)
      return;
    if (!this->Checked.HasAccounts)
      this->add(FindingLevel::Warning, FindingKind::NoKeys, "accounts",
                "no accounts are configured, so that requests need no key");
    else if (this->Checked.AccountOfKey.empty())
      this->add(FindingLevel::Error, FindingKind::NoKeys, "accounts",
                "no account has a key, so that routes that are not public are "
                "denied to all");
  }

  void checkLimits() {
    const GatewayLimits &Limits = this->Checked.Limits;
    const auto Contradicts = [this](FindingLevel Level,
                                    const std::string &Text) {
      this->add(Level, FindingKind::ContradictoryLimit, "limits", Text);
    };
    if (Limits.MaxHeaderBytes == 0)
      Contradicts(FindingLevel::Error, "no header is permitted");
    if (Limits.MaxBodyBytes == 0)
      Contradicts(FindingLevel::Warning, "no body is permitted");
    if (Limits.HeaderTimeout <= Duration::zero() ||
        Limits.IdleTimeout <= Duration::zero())
      Contradicts(FindingLevel::Error, "a timeout of callers is zero");
    else if (Limits.HeaderTimeout > Limits.IdleTimeout)
      Contradicts(FindingLevel::Warning,
                  "the header timeout " +
                      millisecondsText(Limits.HeaderTimeout) +
                      " exceeds the idle timeout " +
                      millisecondsText(Limits.IdleTimeout));
  }

  const GatewayConfiguration &Checked;
  ConfigurationFindings Findings;
};

/// The fields of an entry and their values.
using Fields = std::vector<std::pair<const char *, std::string>>;

std::string yesOrNo(bool Value) { return Value ? "yes" : "no"; }

std::string numberText(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

Fields fieldsOf(const GatewayRoute &Route) {
  return {{"host", Route.Host},
          {"prefix", Route.Prefix},
          {"kind", std::string(nameOf(RequestKindNames, Route.Kind))},
          {"services", targetsText(Route)},
          {"timeout", millisecondsText(Route.Timeout)},
          {"objective", millisecondsText(Route.LatencyObjective)},
          {"attempts", std::to_string(Route.MaxRuns)},
          {"public", yesOrNo(Route.Public)},
          {"sticky", yesOrNo(Route.Sticky)},
          {"resumable", yesOrNo(Route.Resumable)}};
}

Fields fieldsOf(const GatewayService &Service) {
  return {
      {"health path", Service.HealthPath},
      {"connections", std::to_string(Service.MaxConnections)},
      {"cache tokens", std::to_string(Service.KvCapacityTokens)},
      {"cache bytes a token", numberText(Service.KvBytesPerToken)},
      {"link bytes a ms", numberText(Service.LinkBytesPerMs)},
      {"warm-up time", millisecondsText(Service.WarmUp.Period)},
      {"warm-up rate", numberText(Service.WarmUp.RequestsPerSecond) + " a s"}};
}

Fields fieldsOf(const GatewayLimits &Limits) {
  return {{"header bytes", std::to_string(Limits.MaxHeaderBytes)},
          {"body bytes", std::to_string(Limits.MaxBodyBytes)},
          {"header timeout", millisecondsText(Limits.HeaderTimeout)},
          {"idle timeout", millisecondsText(Limits.IdleTimeout)},
          {"tokens a second", std::to_string(Limits.TokensPerSecond)}};
}

using Changes = std::vector<ConfigurationChange>;

void compareFields(Changes &Found, ConfigurationPart Part,
                   const std::string &Name, const Fields &Old,
                   const Fields &New) {
  for (std::size_t Index = 0; Index < New.size(); ++Index)
    if (Old[Index].second != New[Index].second)
      Found.push_back({Part, Name,
                       New[Index].first + (" " + quoted(Old[Index].second)) +
                           " -> " + quoted(New[Index].second)});
}

/// Compares entries by name, with `Compare` for those that both sides have.
template <typename Entries, typename Comparison>
void compareEntries(Changes &Found, ConfigurationPart Part, const Entries &Old,
                    const Entries &New, Comparison Compare) {
  for (const auto &[Name, Entry] : Old)
    if (!New.contains(Name))
      Found.push_back({Part, Name, "removed"});
  for (const auto &[Name, Entry] : New) {
    if (const auto Before = Old.find(Name); Before != Old.end())
      Compare(Name, Before->second, Entry);
    else
      Found.push_back({Part, Name, "added"});
  }
}

std::map<std::string, const GatewayRoute *>
routesByName(const GatewayConfiguration &From) {
  std::map<std::string, const GatewayRoute *> Routes;
  for (const GatewayRoute &Each : From.Routes)
    Routes.emplace(nameOfRoute(Each), &Each);
  return Routes;
}

std::map<std::string, std::set<std::string>>
keysByAccount(const GatewayConfiguration &From) {
  std::map<std::string, std::set<std::string>> Keys;
  for (const auto &[Key, Account] : From.AccountOfKey)
    Keys[Account].insert(Key);
  return Keys;
}

} // namespace

std::string shortenedKey(const std::string &Key) {
  constexpr std::size_t ShownDivisor = 4;
  return Key.substr(0, std::min(MaxShownKeyChars, Key.size() / ShownDivisor)) +
         "...";
}

ConfigurationFindings checkConfiguration(const GatewayConfiguration &Checked) {
  return Checker(Checked).run();
}

std::vector<ConfigurationChange>
compareConfigurations(const GatewayConfiguration &Old,
                      const GatewayConfiguration &New) {
  Changes Found;
  compareEntries(Found, ConfigurationPart::Route, routesByName(Old),
                 routesByName(New),
                 [&Found](const std::string &Name, const GatewayRoute *Before,
                          const GatewayRoute *After) {
                   compareFields(Found, ConfigurationPart::Route, Name,
                                 fieldsOf(*Before), fieldsOf(*After));
                 });
  compareEntries(Found, ConfigurationPart::Service, Old.Services, New.Services,
                 [&Found](const std::string &Name, const GatewayService &Before,
                          const GatewayService &After) {
                   compareFields(Found, ConfigurationPart::Service, Name,
                                 fieldsOf(Before), fieldsOf(After));
                 });
  using Keys = std::set<std::string>;
  compareEntries(
      Found, ConfigurationPart::Account, keysByAccount(Old), keysByAccount(New),
      [&Found](const std::string &Name, const Keys &Before, const Keys &After) {
        for (const std::string &Key : Before)
          if (!After.contains(Key))
            Found.push_back({ConfigurationPart::Account, Name,
                             "key " + shortenedKey(Key) + " removed"});
        for (const std::string &Key : After)
          if (!Before.contains(Key))
            Found.push_back({ConfigurationPart::Account, Name,
                             "key " + shortenedKey(Key) + " added"});
      });
  if (Old.HasAccounts != New.HasAccounts)
    Found.push_back({ConfigurationPart::Account, "all",
                     New.HasAccounts ? "requests need a key now"
                                     : "requests need no key any more"});
  compareFields(Found, ConfigurationPart::Limit, "limits", fieldsOf(Old.Limits),
                fieldsOf(New.Limits));
  return Found;
}

} // namespace parsleywing
