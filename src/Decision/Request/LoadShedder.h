#ifndef PARSLEYWING_DECISION_REQUEST_LOADSHEDDER_H
#define PARSLEYWING_DECISION_REQUEST_LOADSHEDDER_H

#include "Decision/Declarations.h"
#include "Decision/Request/RequestSettings.h"
#include "Decision/Request/RequestTypes.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace parsleywing {

/// What is to happen to an arriving request.
struct LimitDecision {
  /// Why it is refused; nothing where it is let in.
  std::optional<ResponseReason> Refusal;
  /// The waiting request that makes room for it.
  std::optional<RequestId> Shed;
};

/// Keeps the limits on requests, by account and for the router. When the
/// router's own limit is met, the account with the most waiting requests for
/// its share makes room, with its newest, which would have waited longest.
/// So an account that floods loses its own requests and no other's.
///
/// Every call costs a logarithm of the number of accounts and requests.
class LoadShedder {
public:
  explicit LoadShedder(const LimitSettings &S) : Settings(S) {}

  /// Weighs a request that would be added now.
  LimitDecision decide(AccountId Account) const;

  /// Adds an open request that waits for its first attempt.
  void add(AccountId Account, RequestId Request);

  /// The request no longer waits for its first attempt. It may be told twice.
  void stopWaiting(AccountId Account, RequestId Request);

  /// The request got its final answer.
  void remove(AccountId Account, RequestId Request);

  /// Takes over shares and the accounts' own limits.
  void setDeclarations(DeclarationsPtr Declared);

  std::size_t openCount() const { return this->Open; }
  std::size_t waitingCount() const { return this->Waiting; }

private:
  struct Account {
    std::size_t Open = 0;
    /// By order of arrival.
    std::set<std::pair<std::uint64_t, RequestId>> Waits;
  };
  using Load = std::pair<double, AccountId>;

  double loadOf(AccountId Account, std::size_t Waiting) const;
  void rank(AccountId Account, std::size_t Before, std::size_t After);
  LimitDecision makeRoom(AccountId Account, ResponseReason Reason) const;

  LimitSettings Settings;
  DeclarationsPtr InForce = std::make_shared<Declarations>();
  std::map<AccountId, Account> Accounts;
  std::set<Load> Ranked;
  std::unordered_map<RequestId, std::uint64_t> Arrivals;
  std::uint64_t NextArrival = 0;
  std::size_t Open = 0;
  std::size_t Waiting = 0;
};

} // namespace parsleywing

#endif
