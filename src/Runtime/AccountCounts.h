#ifndef PARSLEYWING_RUNTIME_ACCOUNTCOUNTS_H
#define PARSLEYWING_RUNTIME_ACCOUNTCOUNTS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace parsleywing {

/// What became of the requests of client accounts, in requests and tokens. Log
/// lines of single requests are rate limited, so that a flood shows in them
/// only in part; these counts are complete. Accounts are given by name or by
/// another text that identifies them.
///
/// Memory is bounded: accounts beyond `MaxAccounts` count as one.
class AccountCounts {
public:
  static constexpr std::size_t MaxAccounts = 4096;
  /// The name under which accounts beyond the bound are counted.
  static constexpr std::string_view Others = "(others)";

  struct Count {
    std::uint64_t Asked = 0;
    std::uint64_t Begun = 0;
    std::uint64_t AskedTokens = 0;
    std::uint64_t BegunTokens = 0;
    /// By reason. The keys are string literals.
    std::map<std::string_view, std::uint64_t> Refused;

    std::uint64_t refused() const;
    void add(const Count &Other);
  };
  using Counts = std::unordered_map<std::string, Count>;

  void recordAsked(const std::string &Account, std::uint64_t Tokens);
  void recordBegun(const std::string &Account, std::uint64_t Tokens);
  /// `Reason` must be a string literal.
  void recordRefused(const std::string &Account, std::string_view Reason);

  /// Returns what was counted since the last call, and clears it.
  Counts takeRecent();
  /// What was counted until the last call of `takeRecent`.
  const Counts &totals() const { return this->Totals; }

private:
  static Count &entry(Counts &In, const std::string &Account);

  Counts Recent;
  Counts Totals;
};

/// The accounts of which most was refused, for a log line; empty if nothing
/// was refused.
std::string textOfRefused(const AccountCounts::Counts &Counts,
                          std::size_t MaxAccounts);

} // namespace parsleywing

#endif
