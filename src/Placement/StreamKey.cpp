#include "Placement/StreamKey.h"

#include <Poco/SHA2Engine.h>
#include <string>

namespace parsleywing {

StreamKey streamKeyOf(std::string_view Account, std::string_view RequestId) {
  Poco::SHA2Engine Digest(Poco::SHA2Engine::SHA_256);
  // The length keeps two different pairs from having the same bytes.
  Digest.update(std::to_string(Account.size()) + ":");
  Digest.update(Account.data(), Account.size());
  Digest.update(RequestId.data(), RequestId.size());
  const Poco::DigestEngine::Digest &Bytes = Digest.digest();
  StreamKey Key;
  for (std::size_t I = 0; I < sizeof(Key.Value); ++I)
    Key.Value = (Key.Value << 8U) | Bytes.at(I);
  return Key;
}

} // namespace parsleywing
