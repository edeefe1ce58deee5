#include "Decision/Request/IdempotencyKeyCache.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

std::optional<RequestOutcome>
IdempotencyKeyCache::find(AccountId Account, const std::string &Key) const {
  const auto Found = this->Known.find({Account, Key});
  if (Found == this->Known.end())
    return std::nullopt;
  return Found->second;
}

void IdempotencyKeyCache::addOpen(AccountId Account, const std::string &Key) {
  const bool Added =
      this->Known.emplace(FullKey{Account, Key}, RequestOutcome::Unknown)
          .second;
  PARSLEYWING_INVARIANT(Added, "a key is open once at a router");
}

void IdempotencyKeyCache::markEnded(AccountId Account, const std::string &Key,
                                    RequestOutcome Outcome) {
  this->Known[{Account, Key}] = Outcome;
  this->Ended.emplace_back(Account, Key);
  if (this->Ended.size() <= this->Most)
    return;
  this->Known.erase(this->Ended.front());
  this->Ended.pop_front();
}

void IdempotencyKeyCache::remove(AccountId Account, const std::string &Key) {
  this->Known.erase({Account, Key});
}

} // namespace parsleywing
