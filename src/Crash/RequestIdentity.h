#ifndef PARSLEYWING_CRASH_REQUESTIDENTITY_H
#define PARSLEYWING_CRASH_REQUESTIDENTITY_H

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace parsleywing {

/// Identifies a request by its content, the same for all attempts and at all
/// routers: the first half of a SHA-256 digest over account, host, method,
/// target and body. Finding equal digests is infeasible, so no account can
/// forge the identity of another account's request.
struct RequestIdentity {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  /// A hash that differs for almost all requests and takes a fiftieth of the
  /// digest's time.
  std::uint32_t ShortHash = 0;

  friend bool operator==(const RequestIdentity &,
                         const RequestIdentity &) = default;
  friend bool operator<(const RequestIdentity &Left,
                        const RequestIdentity &Right) {
    return std::tie(Left.High, Left.Low, Left.ShortHash) <
           std::tie(Right.High, Right.Low, Right.ShortHash);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->High, this->Low, this->ShortHash);
  }
};

/// The input of the identity's digest.
struct RequestContent {
  /// The client account; empty on public routes.
  std::string_view Account;
  std::string_view Host;
  std::string_view Method;
  std::string_view Target;
  std::string_view Body;
};

/// Hashes the complete body, which takes about 6 microseconds per KB.
RequestIdentity identityOf(const RequestContent &Content);

/// `RequestIdentity::ShortHash` alone, without the digest.
std::uint32_t shortHashOf(const RequestContent &Content);

/// The identity as it appears in log lines.
std::string textOf(const RequestIdentity &Identity);

} // namespace parsleywing

#endif
