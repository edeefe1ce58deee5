#ifndef PARSLEYWING_PLACEMENT_REQUESTIDENTITY_H
#define PARSLEYWING_PLACEMENT_REQUESTIDENTITY_H

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace parsleywing {

/// Names what a caller asks for, the same for all of its attempts and at all
/// routers: the first half of a SHA-256 digest over account, host, method,
/// target and body. Nobody can make a request of one account that bears the
/// identity of another's, since finding equal digests is infeasible.
struct RequestIdentity {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  /// Tells almost all requests apart at a fiftieth of the digest's cost.
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

/// What an identity is made of.
struct RequestContent {
  /// The client account; empty on public routes.
  std::string_view Account;
  std::string_view Host;
  std::string_view Method;
  std::string_view Target;
  std::string_view Body;
};

/// Reads the whole body, about 6 microseconds a KB.
RequestIdentity identityOf(const RequestContent &Content);

/// The sketch in this identity.
std::uint32_t shortHashOf(const RequestContent &Content);

/// The identity in log lines.
std::string textOf(const RequestIdentity &Identity);

} // namespace parsleywing

#endif
