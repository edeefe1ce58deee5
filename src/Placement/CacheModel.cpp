#include "Placement/CacheModel.h"

#include <iterator>

namespace parsleywing {

void CacheModel::insert(const std::vector<PromptPart> &Parts, TimePoint Now) {
  // In reverse order, so that the first part is evicted last: all later parts
  // depend on it.
  for (auto Part = Parts.rbegin(); Part != Parts.rend(); ++Part) {
    const bool Shared = Part != Parts.rbegin();
    const auto Found = this->Index.find(Part->Id);
    if (Found != this->Index.end()) {
      Found->second->Shared |= Shared;
      Found->second->LastUsedAt = Now;
      this->Lru.splice(this->Lru.begin(), this->Lru, Found->second);
      continue;
    }
    this->Lru.push_front({*Part, false, Shared, Now});
    this->Index[Part->Id] = this->Lru.begin();
    this->UsedTokens += Part->Tokens;
  }
  while (this->UsedTokens > this->Capacity && !this->Lru.empty())
    this->evict(std::prev(this->Lru.end()));
}

void CacheModel::markPrefilled(const std::vector<PromptPart> &Parts) {
  for (const PromptPart &Part : Parts)
    if (const auto Found = this->Index.find(Part.Id);
        Found != this->Index.end())
      Found->second->Prefilled = true;
}

void CacheModel::addReported(const std::vector<PromptPart> &Parts) {
  this->markPrefilled(Parts);
  for (const PromptPart &Part : Parts) {
    if (this->Index.contains(Part.Id) ||
        this->UsedTokens + Part.Tokens > this->Capacity)
      continue;
    this->Lru.push_back({Part, true, false, TimePoint{}});
    this->Index[Part.Id] = std::prev(this->Lru.end());
    this->UsedTokens += Part.Tokens;
  }
}

void CacheModel::evictUnprefilled(const std::vector<PromptPart> &Parts) {
  for (const PromptPart &Part : Parts)
    if (const auto Found = this->Index.find(Part.Id);
        Found != this->Index.end() && !Found->second->Prefilled)
      this->evict(Found->second);
}

std::uint64_t
CacheModel::expectedTokens(const std::vector<PromptPart> &Parts) const {
  std::uint64_t Tokens = 0;
  for (const PromptPart &Part : Parts) {
    if (!this->Index.contains(Part.Id))
      break;
    Tokens += Part.Tokens;
  }
  return Tokens;
}

std::uint64_t
CacheModel::prefilledTokens(const std::vector<PromptPart> &Parts) const {
  std::uint64_t Tokens = 0;
  for (const PromptPart &Part : Parts) {
    const auto Found = this->Index.find(Part.Id);
    if (Found == this->Index.end() || !Found->second->Prefilled)
      break;
    Tokens += Part.Tokens;
  }
  return Tokens;
}

std::uint64_t CacheModel::evictedInUse(std::uint64_t NewTokens,
                                       TimePoint InUseSince) const {
  std::uint64_t InUse = 0;
  std::uint64_t UsedAfter = this->UsedTokens + NewTokens;
  for (auto Each = this->Lru.rbegin();
       Each != this->Lru.rend() && UsedAfter > this->Capacity; ++Each) {
    UsedAfter -= Each->Part.Tokens;
    if (Each->Shared && Each->LastUsedAt > InUseSince)
      InUse += Each->Part.Tokens;
  }
  return InUse;
}

void CacheModel::clear() {
  this->Lru.clear();
  this->Index.clear();
  this->UsedTokens = 0;
}

void CacheModel::evict(LruList::iterator Position) {
  this->UsedTokens -= Position->Part.Tokens;
  this->Index.erase(Position->Part.Id);
  this->Lru.erase(Position);
}

} // namespace parsleywing
