#include "Runtime/AccountCounts.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace parsleywing {

std::uint64_t AccountCounts::Count::refused() const {
  std::uint64_t Sum = 0;
  for (const auto &[Reason, Number] : this->Refused)
    Sum += Number;
  return Sum;
}

void AccountCounts::Count::add(const Count &Other) {
  this->Asked += Other.Asked;
  this->Begun += Other.Begun;
  this->AskedTokens += Other.AskedTokens;
  this->BegunTokens += Other.BegunTokens;
  for (const auto &[Reason, Number] : Other.Refused)
    this->Refused[Reason] += Number;
}

AccountCounts::Count &AccountCounts::entry(Counts &In,
                                           const std::string &Account) {
  const auto Found = In.find(Account);
  if (Found != In.end())
    return Found->second;
  return In[In.size() < MaxAccounts ? Account : std::string(Others)];
}

void AccountCounts::recordAsked(const std::string &Account,
                                std::uint64_t Tokens) {
  Count &Entry = entry(this->Recent, Account);
  ++Entry.Asked;
  Entry.AskedTokens += Tokens;
}

void AccountCounts::recordBegun(const std::string &Account,
                                std::uint64_t Tokens) {
  Count &Entry = entry(this->Recent, Account);
  ++Entry.Begun;
  Entry.BegunTokens += Tokens;
}

void AccountCounts::recordRefused(const std::string &Account,
                                  std::string_view Reason) {
  ++entry(this->Recent, Account).Refused[Reason];
}

AccountCounts::Counts AccountCounts::takeRecent() {
  Counts Taken = std::exchange(this->Recent, {});
  for (const auto &[Account, Each] : Taken)
    entry(this->Totals, Account).add(Each);
  return Taken;
}

std::string textOfRefused(const AccountCounts::Counts &Counts,
                          std::size_t MaxAccounts) {
  using Entry = const AccountCounts::Counts::value_type *;
  std::vector<Entry> Refused;
  for (const auto &Each : Counts)
    if (!Each.second.Refused.empty())
      Refused.push_back(&Each);
  std::sort(Refused.begin(), Refused.end(), [](Entry Left, Entry Right) {
    return std::pair(Right->second.refused(), Left->first) <
           std::pair(Left->second.refused(), Right->first);
  });
  Refused.resize(std::min(Refused.size(), MaxAccounts));
  std::string Text;
  for (const Entry Each : Refused) {
    const auto &[Account, Number] = *Each;
    Text += (Text.empty() ? "account=" : " account=") + Account +
            " asked=" + std::to_string(Number.Asked) +
            " begun=" + std::to_string(Number.Begun) +
            " asked-tokens=" + std::to_string(Number.AskedTokens) +
            " begun-tokens=" + std::to_string(Number.BegunTokens);
    for (const auto &[Reason, Refusals] : Number.Refused)
      Text += " " + std::string(Reason) + "=" + std::to_string(Refusals);
  }
  return Text;
}

} // namespace parsleywing
