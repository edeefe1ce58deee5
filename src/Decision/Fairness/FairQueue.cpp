#include "Decision/Fairness/FairQueue.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

void FairQueue::push(PairId Pair, QueuedRequest Request, double Tag,
                     bool Capped) {
  auto [Found, New] = this->Queues.try_emplace(Pair);
  Found->second.Requests.push_back(Request);
  ++this->Count;
  if (!New)
    return;
  Found->second.Tag = Tag;
  Found->second.Capped = Capped;
  this->orderOf(Found->second).emplace(Tag, Pair);
}

FairQueue::QueuedRequest FairQueue::pop(PairId Pair) {
  const auto Found = this->Queues.find(Pair);
  PARSLEYWING_INVARIANT(Found != this->Queues.end(),
                        "the pair that is served next has queued requests");
  const QueuedRequest First = Found->second.Requests.front();
  Found->second.Requests.pop_front();
  --this->Count;
  this->removeIfEmpty(Pair);
  return First;
}

bool FairQueue::withdraw(PairId Pair, RequestId Request) {
  const auto Found = this->Queues.find(Pair);
  if (Found == this->Queues.end())
    return false;
  const std::size_t RemovedCount =
      std::erase_if(Found->second.Requests, [&](const QueuedRequest &Each) {
        return Each.Request == Request;
      });
  this->Count -= RemovedCount;
  this->removeIfEmpty(Pair);
  return RemovedCount > 0;
}

void FairQueue::reposition(PairId Pair, double Tag, bool Capped) {
  const auto Found = this->Queues.find(Pair);
  if (Found == this->Queues.end())
    return;
  Queue &Entry = Found->second;
  if (Entry.Tag == Tag && Entry.Capped == Capped)
    return;
  this->orderOf(Entry).erase({Entry.Tag, Pair});
  Entry.Tag = Tag;
  Entry.Capped = Capped;
  this->orderOf(Entry).emplace(Tag, Pair);
}

std::optional<PairId> FairQueue::next() const {
  if (!this->ReadyOrder.empty())
    return this->ReadyOrder.begin()->second;
  if (!this->CappedOrder.empty())
    return this->CappedOrder.begin()->second;
  return std::nullopt;
}

std::optional<double> FairQueue::lowestTag() const {
  std::optional<double> Lowest;
  for (const Order *Each : {&this->ReadyOrder, &this->CappedOrder})
    if (!Each->empty())
      Lowest =
          std::min(Lowest.value_or(Each->begin()->first), Each->begin()->first);
  return Lowest;
}

std::vector<PairId> FairQueue::pairs() const {
  std::vector<PairId> All;
  for (const Order *Each : {&this->ReadyOrder, &this->CappedOrder})
    for (const auto &[Tag, Pair] : *Each)
      All.push_back(Pair);
  return All;
}

void FairQueue::removeIfEmpty(PairId Pair) {
  const auto Found = this->Queues.find(Pair);
  if (!Found->second.Requests.empty())
    return;
  this->orderOf(Found->second).erase({Found->second.Tag, Pair});
  this->Queues.erase(Found);
}

} // namespace parsleywing
