#ifndef PARSLEYWING_DECISION_EVENTS_H
#define PARSLEYWING_DECISION_EVENTS_H

#include "Decision/Configuration/ConfigurationTypes.h"
#include "Decision/Declarations.h"
#include "Decision/PeerPart.h"
#include "Decision/Request/RequestTypes.h"

#include <variant>
#include <vector>

namespace parsleywing {

/// A caller's request passed its checks and waits for a decision.
struct RequestArrived {
  RequestDescription Description;
};

/// The caller closed its connection before its final answer.
struct CallerDisconnected {
  RequestId Request;
};

/// From here on, bytes of the attempt may have reached the server.
struct AttemptSent {
  RequestId Request;
  AttemptNumber Attempt;
};

/// Tokens generated for the attempt so far, in all.
struct AttemptProgressed {
  RequestId Request;
  AttemptNumber Attempt;
  std::uint64_t Tokens;
};

/// An attempt is over. Tokens are the whole cost as the server reported it.
struct AttemptEnded {
  RequestId Request;
  AttemptNumber Attempt;
  AttemptOutcome Outcome;
  std::uint64_t Tokens;
  /// How much of the answer was passed on to the caller, by all attempts, in
  /// the unit in which the server resumes. Zero only where the caller has got
  /// nothing and what was collected for it is thrown away.
  std::uint64_t Offset = 0;
};

/// The store of run records answered a claim, or did not in time.
struct RunRecordVerdictReceived {
  RequestId Request;
  RunRecordVerdict Verdict;
};

/// Another router's answer to a request handed over to it ended. `Rejected`
/// means that it said for certain that the request did not run.
struct HandOverEnded {
  RequestId Request;
  AttemptNumber Attempt;
  AttemptOutcome Outcome;
  /// As in `AttemptEnded`.
  std::uint64_t Offset = 0;
};

/// A server's own report of its load; it may describe a moment long past.
struct LoadReported {
  ServerId Server;
  std::uint32_t Running;
  std::uint32_t Waiting;
};

/// Why a server may or may not get new work.
enum class ServerCondition {
  Usable,
  Leaving, ///< It finishes what it runs and gets nothing new.
  Failed,  ///< It does not answer on new connections.
};

inline constexpr EnumNames<ServerCondition, 3> ServerConditionNames{{
    {ServerCondition::Usable, "usable"},
    {ServerCondition::Leaving, "leaving"},
    {ServerCondition::Failed, "failed"},
}};

/// A source said that the condition of a server changed.
struct ServerConditionChanged {
  ServerId Server;
  ServerCondition Condition;
};

/// The platform's list as just read, as far as it names backend servers. It may
/// be old. Servers that it does not name are in neither part.
struct ServersListed {
  std::vector<ServerId> Leaving;
  std::vector<ServerId> Live;
};

/// New declarations are in force at this router.
struct DeclarationsChanged {
  DeclarationsPtr Active;
};

/// Time passed; deadlines and intervals are looked at.
struct Tick {};

/// Everything that the control thread decides upon.
using Event =
    std::variant<RequestArrived, CallerDisconnected, AttemptSent,
                 AttemptProgressed, AttemptEnded, LoadReported,
                 ServerConditionChanged, DeclarationsChanged,
                 RunRecordVerdictReceived, HandOverEnded, Tick, DrainRequested,
                 PeerPartReceived, VmListChanged, LeaseListed, ManifestRead,
                 PartsRead, StoreFailed, ServersListed>;

} // namespace parsleywing

#endif
