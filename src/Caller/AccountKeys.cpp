#include "Caller/AccountKeys.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace parsleywing {

namespace {

std::string digestOf(const std::string &Key) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Key);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

} // namespace

AccountKeys::AccountKeys(const Declarations &Declared) {
  this->ByDigest.reserve(Declared.Accounts.size());
  for (const auto &[Id, Account] : Declared.Accounts)
    this->ByDigest.emplace(Account.KeyDigest, Id);
}

std::optional<AccountId> AccountKeys::find(const std::string &Key) const {
  const auto Found = this->ByDigest.find(digestOf(Key));
  if (Found == this->ByDigest.end())
    return std::nullopt;
  return Found->second;
}

} // namespace parsleywing
