#ifndef PARSLEYWING_DECISION_ACTIONS_H
#define PARSLEYWING_DECISION_ACTIONS_H

#include "Decision/Configuration/ConfigurationTypes.h"
#include "Decision/PeerPart.h"
#include "Decision/Request/RequestTypes.h"

#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// Send the request to this server now.
struct StartAttempt {
  RequestId Request;
  AttemptNumber Attempt;
  ServerId Server;
};

/// Fetch the rest of an answer whose connection broke, over a new connection
/// to the same server. It never starts the request anew: a server that does
/// not know the stream is to be reported as `Rejected`.
struct ResumeAttempt {
  RequestId Request;
  /// The number of this try; events about it bear it.
  AttemptNumber Attempt;
  ServerId Server;
  /// What was passed on already, as `AttemptEnded` told it.
  std::uint64_t Offset;
  /// The attempt that started the stream, under whose number the server knows
  /// it.
  AttemptNumber OriginalAttempt;
};

/// Pass the request on to another router, since this one drains. Ends with
/// `HandOverEnded`.
struct HandOverRequest {
  RequestId Request;
  RouterId Router;
  AttemptNumber Attempt;
  /// The run record is held here; the other router makes no claim of its own.
  bool RecordHeld;
  /// IP:port where callers reach that router; empty where it is not known.
  std::string Address = {};
};

/// Break off an attempt or a hand-over; its end is still reported as an event.
struct CancelAttempt {
  RequestId Request;
  AttemptNumber Attempt;
};

/// Give the caller its final answer, at once.
struct FinishRequest {
  RequestId Request;
  RequestOutcome Outcome;
  ResponseReason Reason;
  /// When to come back; zero where coming back is of no use.
  Duration RetryAfter;
};

/// Make the run record of (account, key) under this identity, if there is none.
/// Answered by `RunRecordAnswered`.
struct ClaimRunRecord {
  RequestId Request;
  AccountId Account;
  std::string Key;
  std::string Identity;
};

/// Note in the run record that the request ran to its end. Only where the
/// record bears this identity. No answer is awaited.
struct CompleteRunRecord {
  RequestId Request;
  AccountId Account;
  std::string Key;
  std::string Identity;
  RequestOutcome Outcome;
};

/// Remove the run record, since the request certainly did not run. Only where
/// the record bears this identity; it must not overtake the claim before it.
/// No answer is awaited: a record left behind refuses a repeat that could have
/// run, and permits none that may not.
struct ReleaseRunRecord {
  RequestId Request;
  AccountId Account;
  std::string Key;
  std::string Identity;
};

/// The drain is over: no request is open here any more.
struct DrainFinished {
  /// Requests that the drain's time limit cut off.
  std::uint64_t Unfinished;
};

/// Ask these backend servers for their load from now on, and no others.
struct WatchServers {
  std::vector<ServerId> Servers;
};

/// Everything that the control thread may ask of the other threads.
using Action =
    std::variant<StartAttempt, ResumeAttempt, HandOverRequest, CancelAttempt,
                 FinishRequest, ClaimRunRecord, CompleteRunRecord,
                 ReleaseRunRecord, DrainFinished, SendToPeer, ContactAddress,
                 PeerAddressLearned, Superseded, WatchManifest, StopWatching,
                 ReadManifest, ReadParts, ActivateConfiguration, WatchServers>;

} // namespace parsleywing

#endif
