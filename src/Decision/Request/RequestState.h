#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTSTATE_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTSTATE_H

#include "Runtime/EnumNames.h"

namespace parsleywing {

/// Where a request stands. docs/REQUESTS.md says for each state what each
/// event does.
enum class RequestState {
  Received,   ///< It arrived; its limits are being checked.
  Claiming,   ///< It waits for its run record.
  Queued,     ///< It waits in the scheduler.
  Admitted,   ///< An attempt was ordered; from here bytes may leave any moment.
  Sent,       ///< Bytes may have reached the server.
  Streaming,  ///< The server generates the answer.
  Cancelling, ///< A stuck attempt was broken off; its end is awaited.
  Resuming,   ///< It waits to fetch the rest of its answer.
  BackingOff, ///< It waits to be queued again.
  HandedOver, ///< Another router has it.
  Finished,   ///< It got its final answer.
};

inline constexpr EnumNames<RequestState, 11> RequestStateNames{{
    {RequestState::Received, "received"},
    {RequestState::Claiming, "claiming"},
    {RequestState::Queued, "queued"},
    {RequestState::Admitted, "admitted"},
    {RequestState::Sent, "sent"},
    {RequestState::Streaming, "streaming"},
    {RequestState::Cancelling, "cancelling"},
    {RequestState::Resuming, "resuming"},
    {RequestState::BackingOff, "backing-off"},
    {RequestState::HandedOver, "handed-over"},
    {RequestState::Finished, "finished"},
}};

/// Whether the state machine has a step from one state to the other.
constexpr bool isValidTransition(RequestState From, RequestState To) {
  using enum RequestState;
  if (To == Finished)
    return From != Finished;
  switch (From) {
  case Received:
    return To == Claiming || To == Queued;
  case Claiming:
    return To == Queued || To == HandedOver;
  case Queued:
    return To == Admitted || To == HandedOver;
  case Admitted:
    return To == Sent || To == Streaming || To == Cancelling ||
           To == Resuming || To == BackingOff;
  case Sent:
    return To == Streaming || To == Cancelling || To == Resuming ||
           To == BackingOff;
  case Streaming:
    return To == Cancelling || To == Resuming || To == BackingOff;
  case Cancelling:
    return To == Resuming || To == BackingOff;
  case Resuming:
    return To == Admitted;
  case BackingOff:
    return To == Queued || To == HandedOver;
  case HandedOver:
    return To == HandedOver || To == Queued || To == BackingOff ||
           To == Cancelling;
  case Finished:
    return false;
  }
  return false;
}

} // namespace parsleywing

#endif
