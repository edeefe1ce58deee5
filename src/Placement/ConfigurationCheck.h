#ifndef PARSLEYWING_PLACEMENT_CONFIGURATIONCHECK_H
#define PARSLEYWING_PLACEMENT_CONFIGURATIONCHECK_H

#include "Placement/FleetView.h"

#include <string>
#include <vector>

namespace parsleywing {

enum class FindingLevel {
  Error,   ///< Requests fail, or are never served as configured.
  Warning, ///< The router serves, but hardly as intended.
  Note,    ///< Normal, but easily overlooked.
};

inline constexpr EnumNames<FindingLevel, 3> FindingLevelNames{{
    {FindingLevel::Error, "error"},
    {FindingLevel::Warning, "warning"},
    {FindingLevel::Note, "note"},
}};

enum class FindingKind {
  Malformed,          ///< The text, or a part of it, cannot be decoded.
  UnknownKind,        ///< A route's kind is unknown.
  NeverMatches,       ///< No request can reach the route.
  HidesPrefix,        ///< A route takes requests from under a shorter prefix.
  OpenPrefix,         ///< The prefix also matches longer names.
  RepeatedName,       ///< Two entries have the same name.
  NoTarget,           ///< A route has no service that can be chosen.
  ZeroWeight,         ///< A target of a route gets no requests.
  UnknownService,     ///< A route names a service that is not configured.
  UnusedService,      ///< No route leads to the service.
  RepeatedKey,        ///< An account key is held twice.
  NoKeys,             ///< An account, or all of them, has no key.
  ObjectiveTooHigh,   ///< A latency objective exceeds the timeout.
  ContradictoryLimit, ///< Limits that exclude each other, or have no effect.
};

inline constexpr EnumNames<FindingKind, 14> FindingKindNames{{
    {FindingKind::Malformed, "malformed"},
    {FindingKind::UnknownKind, "unknown-kind"},
    {FindingKind::NeverMatches, "never-matches"},
    {FindingKind::HidesPrefix, "hides-prefix"},
    {FindingKind::OpenPrefix, "open-prefix"},
    {FindingKind::RepeatedName, "repeated-name"},
    {FindingKind::NoTarget, "no-target"},
    {FindingKind::ZeroWeight, "zero-weight"},
    {FindingKind::UnknownService, "unknown-service"},
    {FindingKind::UnusedService, "unused-service"},
    {FindingKind::RepeatedKey, "repeated-key"},
    {FindingKind::NoKeys, "no-keys"},
    {FindingKind::ObjectiveTooHigh, "objective-too-high"},
    {FindingKind::ContradictoryLimit, "contradictory-limit"},
}};

/// A problem of a configuration.
struct ConfigurationFinding {
  FindingLevel Level = FindingLevel::Error;
  FindingKind Kind = FindingKind::Malformed;
  /// The entry, or the path in the text.
  std::string Place;
  std::string Text;
};

using ConfigurationFindings = std::vector<ConfigurationFinding>;

/// Finds what a decoded configuration contradicts itself in.
ConfigurationFindings checkConfiguration(const GatewayConfiguration &Checked);

/// The kinds of entries that two configurations are compared by.
enum class ConfigurationPart { Route, Service, Account, Limit };

inline constexpr EnumNames<ConfigurationPart, 4> ConfigurationPartNames{{
    {ConfigurationPart::Route, "route"},
    {ConfigurationPart::Service, "service"},
    {ConfigurationPart::Account, "account"},
    {ConfigurationPart::Limit, "limit"},
}};

struct ConfigurationChange {
  ConfigurationPart Part = ConfigurationPart::Route;
  std::string Name;
  std::string Text;
};

/// What `New` changes of `Old`. Account keys are shortened.
std::vector<ConfigurationChange>
compareConfigurations(const GatewayConfiguration &Old,
                      const GatewayConfiguration &New);

/// At most a quarter of a key, and at most four characters, for reports.
std::string shortenedKey(const std::string &Key);

} // namespace parsleywing

#endif
