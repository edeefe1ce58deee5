#include "Peer/PeerOutbox.h"

#include <algorithm>

namespace parsleywing {
namespace {

/// How long an urgent part waits for further parts.
constexpr Duration UrgentDelay = std::chrono::milliseconds(1);

/// The interval at which to retry a batch that the budget did not allow.
constexpr Duration BudgetRetryInterval = std::chrono::milliseconds(5);

/// Bounds the memory use when no batch can be sent.
constexpr std::size_t MaxBatches = 2048;

} // namespace

PeerOutbox::Batch &PeerOutbox::batchFor(TimePoint Now,
                                        const std::string &Destination,
                                        std::size_t Bytes) {
  for (auto It = this->Batches.rbegin(); It != this->Batches.rend(); ++It) {
    if (It->Content.Destination != Destination)
      continue;
    if (It->Content.Parts.size() + Bytes <= DatagramPartBytes)
      return *It;
    // The batch is full: send it as soon as the budget allows.
    It->Due = std::min(It->Due, Now);
    break;
  }
  this->Batches.push_back(
      {{Destination, {}, false}, Now + this->BatchingInterval, Now});
  return this->Batches.back();
}

void PeerOutbox::add(TimePoint Now, const std::string &Destination,
                     const std::string &Part, bool Urgent) {
  if (Part.size() > DatagramPartBytes)
    return this->Counters.drop(PeerDrop::TooLarge);
  if (this->Batches.size() >= MaxBatches)
    return this->Counters.drop(PeerDrop::OverBudget);
  Batch &Open = this->batchFor(Now, Destination, Part.size());
  Open.Content.Parts += Part;
  if (!Urgent)
    return;
  Open.Content.Urgent = true;
  Open.Due = std::min(Open.Due, Now + UrgentDelay);
}

std::optional<OutgoingBatch> PeerOutbox::take(TimePoint Now) {
  this->dropStale(Now);
  auto Best = this->Batches.end();
  for (auto It = this->Batches.begin(); It != this->Batches.end(); ++It) {
    if (It->Due > Now)
      continue;
    const bool First = Best == this->Batches.end();
    if (First || (It->Content.Urgent && !Best->Content.Urgent))
      Best = It;
  }
  if (Best == this->Batches.end())
    return std::nullopt;
  const std::size_t Bytes =
      Best->Content.Parts.size() + PeerHeaderBytes + UdpOverheadBytes;
  if (!this->Budget.consume(Now, static_cast<std::int64_t>(Bytes),
                            Best->Content.Urgent))
    return std::nullopt;
  OutgoingBatch Ready = std::move(Best->Content);
  this->Batches.erase(Best);
  return Ready;
}

std::optional<TimePoint> PeerOutbox::nextDue(TimePoint Now) const {
  std::optional<TimePoint> Next;
  for (const Batch &Waiting : this->Batches) {
    const TimePoint Due =
        Waiting.Due > Now ? Waiting.Due : Now + BudgetRetryInterval;
    Next = Next ? std::min(*Next, Due) : Due;
  }
  return Next;
}

void PeerOutbox::dropStale(TimePoint Now) {
  std::erase_if(this->Batches, [&](const Batch &Waiting) {
    if (Now - Waiting.Created <= this->BatchingInterval + this->MaxWait)
      return false;
    this->Counters.drop(PeerDrop::OverBudget);
    return true;
  });
}

} // namespace parsleywing
