#include "Decision/Request/IdempotencyKeyCache.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

std::optional<RequestOutcome>
IdempotencyKeyCache::find(AccountId Account, const std::string &Key) const {
  const auto Found = this->Outcomes.find({Account, Key});
  if (Found == this->Outcomes.end())
    return std::nullopt;
  return Found->second;
}

void IdempotencyKeyCache::addOpen(AccountId Account, const std::string &Key) {
  const bool Added =
      this->Outcomes.emplace(FullKey{Account, Key}, RequestOutcome::Unknown)
          .second;
  PARSLEYWING_INVARIANT(Added, "a key has one open request at a router");
}

void IdempotencyKeyCache::markEnded(AccountId Account, const std::string &Key,
                                    RequestOutcome Outcome) {
  this->Outcomes[{Account, Key}] = Outcome;
  this->EndedKeys.emplace_back(Account, Key);
  if (this->EndedKeys.size() <= this->EndedLimit)
    return;
  this->Outcomes.erase(this->EndedKeys.front());
  this->EndedKeys.pop_front();
}

void IdempotencyKeyCache::remove(AccountId Account, const std::string &Key) {
  this->Outcomes.erase({Account, Key});
}

} // namespace parsleywing
