#include "Placement/CacheModel.h"

#include <iterator>

namespace parsleywing {

void CacheModel::use(const std::vector<PromptPart> &Parts) {
  // The first part last: it is needed by all behind it and yields last.
  for (auto Part = Parts.rbegin(); Part != Parts.rend(); ++Part) {
    const auto Found = this->Places.find(Part->Id);
    if (Found != this->Places.end()) {
      this->ByUse.splice(this->ByUse.begin(), this->ByUse, Found->second);
      continue;
    }
    this->ByUse.push_front({*Part, false});
    this->Places[Part->Id] = this->ByUse.begin();
    this->Held += Part->Tokens;
  }
  while (this->Held > this->Capacity && !this->ByUse.empty())
    this->drop(std::prev(this->ByUse.end()));
}

void CacheModel::noteRead(const std::vector<PromptPart> &Parts) {
  for (const PromptPart &Part : Parts)
    if (const auto Found = this->Places.find(Part.Id);
        Found != this->Places.end())
      Found->second->IsRead = true;
}

void CacheModel::noteKept(const std::vector<PromptPart> &Parts) {
  this->noteRead(Parts);
  for (const PromptPart &Part : Parts) {
    if (this->Places.contains(Part.Id) ||
        this->Held + Part.Tokens > this->Capacity)
      continue;
    this->ByUse.push_back({Part, true});
    this->Places[Part.Id] = std::prev(this->ByUse.end());
    this->Held += Part.Tokens;
  }
}

void CacheModel::noteLost(const std::vector<PromptPart> &Parts) {
  for (const PromptPart &Part : Parts)
    if (const auto Found = this->Places.find(Part.Id);
        Found != this->Places.end() && !Found->second->IsRead)
      this->drop(Found->second);
}

std::uint64_t CacheModel::kept(const std::vector<PromptPart> &Parts) const {
  std::uint64_t Tokens = 0;
  for (const PromptPart &Part : Parts) {
    if (!this->Places.contains(Part.Id))
      break;
    Tokens += Part.Tokens;
  }
  return Tokens;
}

std::uint64_t CacheModel::keptNow(const std::vector<PromptPart> &Parts) const {
  std::uint64_t Tokens = 0;
  for (const PromptPart &Part : Parts) {
    const auto Found = this->Places.find(Part.Id);
    if (Found == this->Places.end() || !Found->second->IsRead)
      break;
    Tokens += Part.Tokens;
  }
  return Tokens;
}

void CacheModel::clear() {
  this->ByUse.clear();
  this->Places.clear();
  this->Held = 0;
}

void CacheModel::drop(Entries::iterator Which) {
  this->Held -= Which->Part.Tokens;
  this->Places.erase(Which->Part.Id);
  this->ByUse.erase(Which);
}

} // namespace parsleywing
