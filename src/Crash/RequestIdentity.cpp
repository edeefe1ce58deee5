#include "Crash/RequestIdentity.h"

#include "Runtime/Id.h"

#include <Poco/NumberFormatter.h>
#include <Poco/SHA2Engine.h>

namespace parsleywing {

namespace {

/// Prefixes the part with its length, so that different contents never result
/// in the same bytes.
void add(Poco::SHA2Engine &Digest, std::string_view Part) {
  const std::string Prefix = std::to_string(Part.size()) + ":";
  Digest.update(Prefix);
  Digest.update(Part.data(), Part.size());
}

std::uint64_t numberAt(const Poco::DigestEngine::Digest &Bytes,
                       std::size_t First) {
  std::uint64_t Number = 0;
  for (std::size_t I = 0; I < sizeof(Number); ++I)
    Number = (Number << 8U) | Bytes.at(First + I);
  return Number;
}

} // namespace

RequestIdentity identityOf(const RequestContent &Content) {
  Poco::SHA2Engine Digest(Poco::SHA2Engine::SHA_256);
  add(Digest, Content.Account);
  add(Digest, Content.Host);
  add(Digest, Content.Method);
  add(Digest, Content.Target);
  add(Digest, Content.Body);
  const Poco::DigestEngine::Digest &Bytes = Digest.digest();
  return {numberAt(Bytes, 0), numberAt(Bytes, sizeof(std::uint64_t)),
          shortHashOf(Content)};
}

std::uint32_t shortHashOf(const RequestContent &Content) {
  return static_cast<std::uint32_t>(
      rendezvousScore(hashName(Content.Target), hashName(Content.Body)));
}

std::string textOf(const RequestIdentity &Identity) {
  return Poco::NumberFormatter::formatHex(Identity.High, 16) +
         Poco::NumberFormatter::formatHex(Identity.Low, 16);
}

} // namespace parsleywing
