#include "Backend/BackendCounters.h"

namespace parsleywing {

void BackendCounters::countOutcome(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Completed:
    return;
  case AttemptOutcome::NotSent:
    ++this->NotSent;
    return;
  case AttemptOutcome::Rejected:
    ++this->Rejected;
    return;
  case AttemptOutcome::Interrupted:
    ++this->Interrupted;
    return;
  case AttemptOutcome::Cancelled:
    ++this->Cancelled;
    return;
  case AttemptOutcome::CallerDisconnected:
    ++this->CallersDisconnected;
    return;
  }
}

} // namespace parsleywing
