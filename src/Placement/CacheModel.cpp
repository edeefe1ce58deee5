#include "Placement/CacheModel.h"

namespace parsleywing {

void CacheModel::use(const std::vector<PromptPart> &Parts) {
  // The first part last: it is needed by all behind it and yields last.
  for (auto Part = Parts.rbegin(); Part != Parts.rend(); ++Part) {
    const auto Found = this->Places.find(Part->Id);
    if (Found != this->Places.end()) {
      this->ByUse.splice(this->ByUse.begin(), this->ByUse, Found->second);
      continue;
    }
    this->ByUse.push_front(*Part);
    this->Places[Part->Id] = this->ByUse.begin();
    this->Held += Part->Tokens;
  }
  while (this->Held > this->Capacity && !this->ByUse.empty())
    this->dropOldest();
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

void CacheModel::clear() {
  this->ByUse.clear();
  this->Places.clear();
  this->Held = 0;
}

void CacheModel::dropOldest() {
  const PromptPart &Oldest = this->ByUse.back();
  this->Held -= Oldest.Tokens;
  this->Places.erase(Oldest.Id);
  this->ByUse.pop_back();
}

} // namespace parsleywing
