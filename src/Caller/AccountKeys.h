#ifndef PARSLEYWING_CALLER_ACCOUNTKEYS_H
#define PARSLEYWING_CALLER_ACCOUNTKEYS_H

#include "Decision/Declarations.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace parsleywing {

/// Finds the client account of a key in constant time. Built anew for each
/// generation of declarations, in time linear in the accounts, and never
/// changed in place.
class AccountKeys {
public:
  explicit AccountKeys(const Declarations &Declared);

  /// The account whose declared digest is that of the key; costs one SHA-256.
  std::optional<AccountId> find(const std::string &Key) const;

private:
  std::unordered_map<std::string, AccountId> ByDigest;
};

} // namespace parsleywing

#endif
