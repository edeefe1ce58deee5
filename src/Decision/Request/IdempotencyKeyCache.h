#ifndef PARSLEYWING_DECISION_REQUEST_IDEMPOTENCYKEYCACHE_H
#define PARSLEYWING_DECISION_REQUEST_IDEMPOTENCYKEYCACHE_H

#include "Decision/Request/RequestTypes.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace parsleywing {

/// Remembers the idempotency keys that are open or ended a short while ago at
/// this router, so that a repeat is recognised without the store. Nothing that
/// must hold rests on it: a key that it forgot is still in the store's record.
///
/// Open keys are bounded by the limit of open requests, ended ones by `Most`;
/// the oldest is forgotten first.
class IdempotencyKeyCache {
public:
  explicit IdempotencyKeyCache(std::size_t MostEnded) : Most(MostEnded) {}

  /// What a repeat of the key is to be told; nothing where the key is new.
  /// `Unknown` stands also for a request that is still open.
  std::optional<RequestOutcome> find(AccountId Account,
                                     const std::string &Key) const;

  void addOpen(AccountId Account, const std::string &Key);

  /// The request with the key may have run.
  void markEnded(AccountId Account, const std::string &Key,
                 RequestOutcome Outcome);

  /// The request with the key did not run; a repeat may.
  void remove(AccountId Account, const std::string &Key);

  std::size_t size() const { return this->Known.size(); }

private:
  using FullKey = std::pair<AccountId, std::string>;

  std::size_t Most;
  std::map<FullKey, RequestOutcome> Known;
  std::deque<FullKey> Ended;
};

} // namespace parsleywing

#endif
