#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRQUEUE_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRQUEUE_H

#include "Decision/Fairness/FairMessage.h"
#include "Runtime/Id.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace parsleywing {

/// The requests that wait here for one service: first come, first served
/// within an account, the lowest tag first between accounts. Accounts that
/// have too much in flight come after all others. Each operation costs
/// O(log accounts), a withdrawal O(the account's queue).
class FairQueue {
public:
  struct QueuedRequest {
    RequestId Request;
    double Cost = 0;
  };

  void push(PairId Pair, QueuedRequest Request, double Tag, bool Capped);

  /// Takes out the first request of a pair that waits.
  QueuedRequest pop(PairId Pair);

  /// Takes out a request; false where it does not wait for this pair.
  bool withdraw(PairId Pair, RequestId Request);

  /// Puts a waiting pair where its new tag belongs. Nothing for others.
  void reposition(PairId Pair, double Tag, bool Capped);

  /// The pair whose turn it is.
  std::optional<PairId> next() const;

  /// The request whose turn it is.
  std::optional<RequestId> nextRequest() const {
    const std::optional<PairId> Pair = this->next();
    if (!Pair)
      return std::nullopt;
    return this->Queues.at(*Pair).Requests.front().Request;
  }

  /// The lowest tag of any pair that waits.
  std::optional<double> lowestTag() const;

  bool waits(PairId Pair) const { return this->Queues.contains(Pair); }
  std::size_t size() const { return this->Count; }
  bool empty() const { return this->Count == 0; }

  /// The pairs that wait.
  std::vector<PairId> pairs() const;

private:
  struct Queue {
    std::deque<QueuedRequest> Requests;
    double Tag = 0;
    bool Capped = false;
  };
  using Order = std::set<std::pair<double, PairId>>;

  Order &orderOf(const Queue &Of) {
    return Of.Capped ? this->CappedOrder : this->ReadyOrder;
  }
  void removeIfEmpty(PairId Pair);

  std::unordered_map<PairId, Queue> Queues;
  Order ReadyOrder;
  Order CappedOrder;
  std::size_t Count = 0;
};

} // namespace parsleywing

#endif
