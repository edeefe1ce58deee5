#ifndef PARSLEYWING_DECISION_ACTIONS_H
#define PARSLEYWING_DECISION_ACTIONS_H

#include "Decision/Configuration/ConfigurationTypes.h"
#include "Decision/PeerPart.h"
#include "Decision/Request/RequestTypes.h"

#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// Sends the request to a backend server.
struct StartAttempt {
  RequestId Request;
  AttemptNumber Attempt;
  ServerId Server;
};

/// Fetches the rest of a response whose connection broke, over a new
/// connection to the same server. It never starts the request again: if the
/// server does not know the stream, the attempt ends as `Rejected`.
struct ResumeAttempt {
  RequestId Request;
  /// The number of this attempt; its events carry it.
  AttemptNumber Attempt;
  ServerId Server;
  /// The part already forwarded, as reported by `AttemptEnded`.
  std::uint64_t Offset;
  /// The attempt that started the stream. The server identifies the stream by
  /// its number.
  AttemptNumber OriginalAttempt;
};

/// Hands the request over to another router because this one drains. Ends with
/// `HandOverEnded`.
struct HandOverRequest {
  RequestId Request;
  RouterId Router;
  AttemptNumber Attempt;
  /// This router holds the run record, so the other one does not claim it.
  bool RecordHeld;
  /// IP:port of that router for callers; empty if unknown.
  std::string Address = {};
};

/// Cancels an attempt or a hand-over. Its end is still reported as an event.
struct CancelAttempt {
  RequestId Request;
  AttemptNumber Attempt;
};

/// Sends the final response to the caller, immediately.
struct FinishRequest {
  RequestId Request;
  RequestOutcome Outcome;
  ResponseReason Reason;
  /// When to retry; zero if a retry is of no use.
  Duration RetryAfter;
};

/// Creates the run record of (account, key) with this identity if there is
/// none. The result is a `RunRecordVerdictReceived`.
struct ClaimRunRecord {
  RequestId Request;
  AccountId Account;
  std::string Key;
  std::string Identity;
};

/// Marks the run record as completed if it has this identity. No reply is
/// expected.
struct CompleteRunRecord {
  RequestId Request;
  AccountId Account;
  std::string Key;
  std::string Identity;
  RequestOutcome Outcome;
};

/// Removes the run record if it has this identity, because the request
/// certainly did not run. It must not be reordered before the claim. No reply
/// is expected: a record that remains only refuses a duplicate that could have
/// run, and never permits one that must not.
struct ReleaseRunRecord {
  RequestId Request;
  AccountId Account;
  std::string Key;
  std::string Identity;
};

/// The drain is complete: this router has no open request.
struct DrainFinished {
  /// Requests that were aborted at the time limit of the drain.
  std::uint64_t Unfinished;
};

/// Replaces the set of backend servers whose load is polled.
struct WatchServers {
  std::vector<ServerId> Servers;
};

/// Connects to a server, which shows whether its process is still running. Ends
/// with `ServerChecked`.
struct CheckServer {
  ServerProcess Process;
};

/// Reports that a server crashed with requests of this router in progress.
struct ServerCrashed {
  ServerId Server;
  std::size_t ActiveRequests;
};

/// Reports that requests with this content are refused from now on.
struct ContentRefused {
  RequestIdentity Content;
  std::size_t Crashes;
};

/// Every action that the control thread may order from the other threads.
using Action =
    std::variant<StartAttempt, ResumeAttempt, HandOverRequest, CancelAttempt,
                 FinishRequest, ClaimRunRecord, CompleteRunRecord,
                 ReleaseRunRecord, DrainFinished, SendToPeer, ContactAddress,
                 PeerAddressLearned, Superseded, WatchManifest, StopWatching,
                 ReadManifest, ReadParts, ActivateConfiguration, WatchServers,
                 CheckServer, ServerCrashed, ContentRefused>;

} // namespace parsleywing

#endif
