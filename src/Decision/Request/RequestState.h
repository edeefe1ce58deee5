#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTSTATE_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTSTATE_H

#include "Runtime/EnumNames.h"

namespace parsleywing {

/// The state of a request. docs/REQUESTS.md describes the effect of each event
/// in each state.
enum class RequestState {
  Received,   ///< It has arrived; limits are being checked.
  Claiming,   ///< It waits for the claim of its run record.
  Queued,     ///< It is queued in the scheduler.
  Admitted,   ///< An attempt was ordered; bytes may be sent at any time.
  Sent,       ///< Bytes may have reached the server.
  Streaming,  ///< The server is generating the response.
  Cancelling, ///< A stalled attempt was cancelled; its end is awaited.
  Resuming,   ///< It waits to fetch the rest of its response.
  BackingOff, ///< It waits to be queued again.
  HandedOver, ///< It was handed over to another router.
  Finished,   ///< It got its final response.
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

/// Whether the state machine permits this transition.
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
