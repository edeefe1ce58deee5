#ifndef PARSLEYWING_CALLER_ACCOUNTKEYS_H
#define PARSLEYWING_CALLER_ACCOUNTKEYS_H

#include "Decision/Declarations.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace parsleywing {

/// Immutable index from API keys to client accounts, with constant-time lookup.
/// A new index is built for each generation of the declarations, in time linear
/// in the number of accounts.
class AccountKeys {
public:
  explicit AccountKeys(const Declarations &Declared);

  /// Returns the account whose declared key digest matches the SHA-256 of
  /// `Key`.
  std::optional<AccountId> find(const std::string &Key) const;

private:
  std::unordered_map<std::string, AccountId> ByDigest;
};

} // namespace parsleywing

#endif
