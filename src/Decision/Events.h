#ifndef PARSLEYWING_DECISION_EVENTS_H
#define PARSLEYWING_DECISION_EVENTS_H

#include "Decision/Configuration/ConfigurationTypes.h"
#include "Decision/Declarations.h"
#include "Decision/PeerPart.h"
#include "Decision/Request/RequestTypes.h"
#include "Runtime/ConnectOutcome.h"

#include <optional>
#include <variant>
#include <vector>

namespace parsleywing {

/// A caller's request passed validation and awaits a decision.
struct RequestArrived {
  RequestDescription Description;
  /// Its content has crashed several servers, so that it must not run.
  bool CrashesServers = false;
};

/// The caller closed its connection before the final response.
struct CallerDisconnected {
  RequestId Request;
};

/// Bytes of the attempt may have reached the server.
struct AttemptSent {
  RequestId Request;
  AttemptNumber Attempt;
};

/// The total of tokens generated for the attempt so far.
struct AttemptProgressed {
  RequestId Request;
  AttemptNumber Attempt;
  std::uint64_t Tokens;
};

/// The connection to a server that ended or fell silent after a request may
/// have been sent.
struct LostConnection {
  ServerId Server;
  TimePoint OpenedAt;
  /// Whether the server accepted another connection since; empty if that was
  /// not tried.
  std::optional<ConnectOutcome> Check;
};

/// An attempt ended. `Tokens` is its total cost as reported by the server.
struct AttemptEnded {
  RequestId Request;
  AttemptNumber Attempt;
  AttemptOutcome Outcome;
  std::uint64_t Tokens;
  /// How much of the response all attempts have forwarded to the caller, in the
  /// unit in which the server resumes. Zero only if the caller has received
  /// nothing and the buffered part has been discarded.
  std::uint64_t Offset = 0;
  /// Set if the attempt ended because its connection was lost.
  std::optional<LostConnection> Lost = std::nullopt;
};

/// The store of run records replied to a claim, or failed to reply in time.
struct RunRecordVerdictReceived {
  RequestId Request;
  RunRecordVerdict Verdict;
};

/// The response of the router that a request was handed over to ended.
/// `Rejected` means that it reported with certainty that the request did not
/// run.
struct HandOverEnded {
  RequestId Request;
  AttemptNumber Attempt;
  AttemptOutcome Outcome;
  /// Same as in `AttemptEnded`.
  std::uint64_t Offset = 0;
};

/// A server's own load report. It may be out of date.
struct LoadReported {
  ServerId Server;
  std::uint32_t Running;
  std::uint32_t Waiting;
};

/// Whether a server may receive new requests, and why not.
enum class ServerCondition {
  Usable,
  Leaving, ///< It finishes its running requests and receives no new ones.
  Failed,  ///< It does not respond on new connections.
};

inline constexpr EnumNames<ServerCondition, 3> ServerConditionNames{{
    {ServerCondition::Usable, "usable"},
    {ServerCondition::Leaving, "leaving"},
    {ServerCondition::Failed, "failed"},
}};

/// A source reported a change of a server's condition.
struct ServerConditionChanged {
  ServerId Server;
  ServerCondition Condition;
};

/// A server refused a request and wants no more requests from this router until
/// then. Other routers are not concerned.
struct ServerPaused {
  ServerId Server;
  TimePoint Until;
};

/// Result of a `CheckServer`.
struct ServerChecked {
  ServerProcess Process;
  ConnectOutcome Outcome;
};

/// The backend servers in the platform's list, as just read. The list may be
/// stale. Servers missing from it are in neither vector.
struct ServersListed {
  std::vector<ServerId> Leaving;
  std::vector<ServerId> Live;
};

/// New declarations are active at this router.
struct DeclarationsChanged {
  DeclarationsPtr Active;
};

/// Checks deadlines and intervals.
struct Tick {};

/// Every event that the control thread handles.
using Event = std::variant<
    RequestArrived, CallerDisconnected, AttemptSent, AttemptProgressed,
    AttemptEnded, LoadReported, ServerConditionChanged, DeclarationsChanged,
    RunRecordVerdictReceived, HandOverEnded, Tick, DrainRequested,
    PeerPartReceived, VmListChanged, LeaseListed, ManifestRead, PartsRead,
    StoreFailed, ServersListed, ServerChecked, ServerPaused>;

} // namespace parsleywing

#endif
