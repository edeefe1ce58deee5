#include "Decision/Request/RequestCounters.h"

namespace parsleywing {

Poco::JSON::Object::Ptr RequestCounters::dump() const {
  Poco::JSON::Object::Ptr Out = new Poco::JSON::Object;
  Poco::JSON::Object::Ptr ByOutcome = new Poco::JSON::Object;
  for (const auto &[Outcome, Name] : RequestOutcomeNames)
    ByOutcome->set(std::string(Name), this->of(Outcome));
  Poco::JSON::Object::Ptr ByReason = new Poco::JSON::Object;
  for (const auto &[Reason, Name] : ResponseReasonNames)
    ByReason->set(std::string(Name), this->of(Reason));
  Out->set("arrived", this->Arrived);
  Out->set("answers-by-outcome", ByOutcome);
  Out->set("answers-by-reason", ByReason);
  Out->set("attempts", this->Attempts);
  Out->set("retries", this->Retries);
  Out->set("retries-charged", this->RetriesCharged);
  Out->set("retries-denied", this->RetriesDenied);
  Out->set("resumes", this->Resumes);
  Out->set("hand-overs", this->HandOvers);
  Out->set("shed", this->Shed);
  Out->set("stuck-attempts", this->StalledAttempts);
  Out->set("dropped-events", this->DroppedEvents);
  Out->set("cancel-grace-passed", this->CancelTimeouts);
  Out->set("claims", this->Claims);
  Out->set("claims-unanswered", this->ClaimsUnanswered);
  Out->set("keys-known-here", this->KeyCacheHits);
  return Out;
}

} // namespace parsleywing
