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

/// The requests that are queued at this router for one service: in order of
/// arrival within an account, lowest tag first between accounts. Accounts with
/// too many tokens in flight come after all others. Each operation costs O(log
/// accounts), a withdrawal O(length of the account's queue).
class FairQueue {
public:
  struct QueuedRequest {
    RequestId Request;
    double Cost = 0;
  };

  void push(PairId Pair, QueuedRequest Request, double Tag, bool Capped);

  /// Removes and returns the first request of a pair that has queued requests.
  QueuedRequest pop(PairId Pair);

  /// Removes a request. Returns false if it is not queued for this pair.
  bool withdraw(PairId Pair, RequestId Request);

  /// Moves a queued pair to the position of its new tag. Other pairs are
  /// ignored.
  void reposition(PairId Pair, double Tag, bool Capped);

  /// The pair that is served next.
  std::optional<PairId> next() const;

  /// The request that is served next.
  std::optional<RequestId> nextRequest() const {
    const std::optional<PairId> Pair = this->next();
    if (!Pair)
      return std::nullopt;
    return this->Queues.at(*Pair).Requests.front().Request;
  }

  /// The lowest tag of all queued pairs.
  std::optional<double> lowestTag() const;

  bool waits(PairId Pair) const { return this->Queues.contains(Pair); }
  std::size_t size() const { return this->Count; }
  bool empty() const { return this->Count == 0; }

  /// All queued pairs.
  std::vector<PairId> pairs() const;

private:
  struct Queue {
    std::deque<QueuedRequest> Requests;
    double Tag = 0;
    bool Capped = false;
  };
  using Order = std::set<std::pair<double, PairId>>;

  Order &orderOf(const Queue &Entry) {
    return Entry.Capped ? this->CappedOrder : this->ReadyOrder;
  }
  void removeIfEmpty(PairId Pair);

  std::unordered_map<PairId, Queue> Queues;
  Order ReadyOrder;
  Order CappedOrder;
  std::size_t Count = 0;
};

} // namespace parsleywing

#endif
