#include "Placement/EngineMemory.h"

#include <algorithm>

namespace parsleywing {

namespace {

std::uint64_t otherTokensOf(const MemoryDemand &Demand) {
  std::uint64_t Named = 0;
  for (const PromptPart &Part : *Demand.Parts)
    Named += Part.Tokens;
  return std::max<std::uint64_t>(Demand.PromptTokens, Named) - Named +
         Demand.MaxOutputTokens;
}

} // namespace

void EngineMemory::add(const MemoryDemand &Demand) {
  this->UsedTokens += otherTokensOf(Demand);
  for (const PromptPart &Part : *Demand.Parts) {
    UsedPart &Used = this->Parts[Part.Id];
    if (++Used.Requests > 1)
      continue;
    Used.Tokens = Part.Tokens;
    this->UsedTokens += Part.Tokens;
  }
}

void EngineMemory::remove(const MemoryDemand &Demand) {
  this->UsedTokens -=
      std::min<std::uint64_t>(this->UsedTokens, otherTokensOf(Demand));
  for (const PromptPart &Part : *Demand.Parts) {
    const auto Found = this->Parts.find(Part.Id);
    if (Found == this->Parts.end() || --Found->second.Requests > 0)
      continue;
    this->UsedTokens -= Found->second.Tokens;
    this->Parts.erase(Found);
  }
}

std::uint64_t EngineMemory::neededTokens(const MemoryDemand &Demand) const {
  std::uint64_t Needed = otherTokensOf(Demand);
  for (const PromptPart &Part : *Demand.Parts)
    if (!this->Parts.contains(Part.Id))
      Needed += Part.Tokens;
  return Needed;
}

} // namespace parsleywing
