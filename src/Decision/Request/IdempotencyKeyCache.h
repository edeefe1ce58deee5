#ifndef PARSLEYWING_DECISION_REQUEST_IDEMPOTENCYKEYCACHE_H
#define PARSLEYWING_DECISION_REQUEST_IDEMPOTENCYKEYCACHE_H

#include "Decision/Request/RequestTypes.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace parsleywing {

/// Caches the idempotency keys of open and recently ended requests at this
/// router, to recognise duplicates without the store. Correctness does not
/// depend on it: an evicted key still has its run record in the store.
///
/// The number of open keys is bounded by the limit of open requests, that of
/// ended ones by `MaxEnded`; the oldest ended key is evicted first.
class IdempotencyKeyCache {
public:
  explicit IdempotencyKeyCache(std::size_t MaxEnded) : EndedLimit(MaxEnded) {}

  /// The outcome to report for a duplicate of the key; empty if the key is not
  /// cached. `Unknown` also if the request is still open.
  std::optional<RequestOutcome> find(AccountId Account,
                                     const std::string &Key) const;

  void addOpen(AccountId Account, const std::string &Key);

  /// The request with the key ended and may have run.
  void markEnded(AccountId Account, const std::string &Key,
                 RequestOutcome Outcome);

  /// The request with the key did not run; a duplicate may run.
  void remove(AccountId Account, const std::string &Key);

  std::size_t size() const { return this->Outcomes.size(); }

private:
  using FullKey = std::pair<AccountId, std::string>;

  std::size_t EndedLimit;
  std::map<FullKey, RequestOutcome> Outcomes;
  std::deque<FullKey> EndedKeys;
};

} // namespace parsleywing

#endif
