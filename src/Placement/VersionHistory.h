#ifndef PARSLEYWING_PLACEMENT_VERSIONHISTORY_H
#define PARSLEYWING_PLACEMENT_VERSIONHISTORY_H

#include "Placement/FleetView.h"
#include "Placement/SoftwareId.h"
#include "Runtime/EnumNames.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleywing {

/// Which software may have begun a stream whose first attempt is unknown.
enum class VersionEvidence {
  /// One software alone.
  One,
  /// Several, so that no wait and no other router can tell.
  Several,
  /// This router has not seen complete lists for long enough. Others may have.
  TooShort,
};

inline constexpr EnumNames<VersionEvidence, 3> VersionEvidenceNames{{
    {VersionEvidence::One, "one"},
    {VersionEvidence::Several, "several"},
    {VersionEvidence::TooShort, "too-short"},
}};

/// Which software each service has had listed and until when, from the complete
/// lists that this process has seen. Decides whether a stream whose first
/// attempt is unknown can have begun at one software only.
///
/// A process that has just started knows nothing. So does one whose lists were
/// not proven complete for `MaxProofGap`, or whose stream routes have changed,
/// since a stream may have begun at a service that its route no longer has.
///
/// Performs no I/O and has no clock of its own. All times are on the clock of
/// the view's proofs.
class VersionHistory {
public:
  /// The longest time between two proofs of the lists without a doubt about
  /// what was listed in between. Proofs are 0.6 to 1.2 s apart while the store
  /// is reachable; behind longer gaps the lists may have been read anew,
  /// without the changes in between.
  static constexpr Duration MaxProofGap = std::chrono::seconds(3);

  struct Answer {
    VersionEvidence Evidence = VersionEvidence::TooShort;
    /// Set if the evidence is `One`.
    SoftwareId Software{};
  };

  /// Other routers may begin streams at a server or by a route for `D` after
  /// the store's state has changed: a router that is cut off from the store
  /// accepts keys for so long.
  explicit VersionHistory(Duration D) : MaxListDelay(D) {}

  /// A server was listed at some time since the last view. Must be called
  /// before the `update` with the next view, whose list may lack the server
  /// again.
  void recordListed(const GatewayServer &Server, TimePoint Now);
  void update(const FleetView &View, TimePoint Now);

  /// Which software can have begun a stream of the route that a caller takes up
  /// at `Arrival`.
  Answer evidenceFor(const GatewayRoute &Route, TimePoint Arrival) const;

  /// How far the history reaches back from the last proof.
  Duration span() const;
  /// The number of distinct software that the history holds.
  std::size_t size() const;

private:
  /// What of a route decides where its streams begin and how long they last.
  struct StreamRoute {
    std::string Host;
    std::string Prefix;
    std::vector<std::string> Services;
    Duration Timeout{};
    friend bool operator==(const StreamRoute &, const StreamRoute &) = default;
  };

  /// Software, and when the last of its servers left the list; empty while one
  /// is listed.
  using Listings = std::map<SoftwareId, std::optional<TimePoint>>;

  void updateRoutes(const GatewayConfiguration &New, TimePoint Now);
  void updateServers(const ServerList &New, TimePoint Now);
  void removeExpired(TimePoint Now);

  Duration MaxListDelay;
  /// The lists and routes since then are known without a gap.
  std::optional<TimePoint> KnownSince;
  TimePoint ListsProvenAt{};
  std::shared_ptr<const GatewayConfiguration> Configuration;
  std::shared_ptr<const ServerList> Servers;
  std::vector<StreamRoute> Routes;
  Duration MaxLifetime{};
  std::map<std::string, Listings> ByService;
};

} // namespace parsleywing

#endif
