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

/// The decision on an arriving request.
struct LimitDecision {
  /// Why it is refused; empty if it is accepted.
  std::optional<ResponseReason> Refusal;
  /// The waiting request to refuse in its place.
  std::optional<RequestId> Shed;
};

/// Enforces the limits on requests, per account and per router. At the router's
/// limit, sheds a request of the account with the most waiting requests
/// relative to its share: the newest one, which would have waited longest. An
/// account that floods the router thus loses only its own requests.
///
/// Every call takes logarithmic time in the number of accounts and requests.
class LoadShedder {
public:
  explicit LoadShedder(const LimitSettings &S) : Settings(S) {}

  /// Decides on a request of this account that arrives now.
  LimitDecision decide(AccountId Account) const;

  /// Adds an open request that waits for its first attempt.
  void add(AccountId Account, RequestId Request);

  /// The request no longer waits for its first attempt. May be called
  /// repeatedly.
  void stopWaiting(AccountId Account, RequestId Request);

  /// The request got its final response.
  void remove(AccountId Account, RequestId Request);

  /// Updates the accounts' shares and limits.
  void setDeclarations(DeclarationsPtr Declared);

  std::size_t openCount() const { return this->Open; }
  std::size_t waitingCount() const { return this->Waiting; }

private:
  struct AccountState {
    std::size_t Open = 0;
    /// In the order of arrival.
    std::set<std::pair<std::uint64_t, RequestId>> WaitingRequests;
  };
  using Load = std::pair<double, AccountId>;

  /// The number of waiting requests relative to the account's share.
  double loadOf(AccountId Account, std::size_t WaitingCount) const;
  void rank(AccountId Account, std::size_t Before, std::size_t After);
  LimitDecision chooseShed(AccountId Account, ResponseReason Reason) const;

  LimitSettings Settings;
  DeclarationsPtr ActiveDeclarations = std::make_shared<Declarations>();
  std::map<AccountId, AccountState> Accounts;
  std::set<Load> Ranked;
  std::unordered_map<RequestId, std::uint64_t> Arrivals;
  std::uint64_t NextArrival = 0;
  std::size_t Open = 0;
  std::size_t Waiting = 0;
};

} // namespace parsleywing

#endif
