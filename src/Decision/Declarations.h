#ifndef PARSLEYWING_DECISION_DECLARATIONS_H
#define PARSLEYWING_DECISION_DECLARATIONS_H

#include "Runtime/EnumNames.h"
#include "Runtime/Id.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleywing {

/// The protocol between a router and the backend servers of a service.
enum class ServiceKind {
  Engine, ///< A model engine with the streaming responses API.
  Plain,  ///< Any HTTP service; requests and responses pass unchanged.
};

inline constexpr EnumNames<ServiceKind, 2> ServiceKindNames{{
    {ServiceKind::Engine, "engine"},
    {ServiceKind::Plain, "plain"},
}};

/// Whether a backend server refuses orders with an outdated fencing number.
enum class FencingCheck { Checked, Ignored };

inline constexpr EnumNames<FencingCheck, 2> FencingCheckNames{{
    {FencingCheck::Checked, "checked"},
    {FencingCheck::Ignored, "ignored"},
}};

/// A client account as declared by the operators.
struct AccountDeclaration {
  std::string Name;
  /// Weight of the account's share of the capacity; 1 to 1,000,000.
  std::uint32_t Share = 1;
  /// SHA-256 of the account's API key, in lower-case hexadecimal.
  std::string KeyDigest;
  std::vector<ServiceId> Services;
  /// Requests that may wait for their first attempt at one router; further ones
  /// are refused.
  std::uint32_t MaxQueued = 1000;
  /// Requests that may be admitted and not yet answered at one router.
  std::uint32_t MaxInFlight = 1000;

  friend bool operator==(const AccountDeclaration &,
                         const AccountDeclaration &) = default;
};

/// A service that callers select by name in their requests.
struct ServiceDeclaration {
  std::string Name;
  ServiceKind Kind = ServiceKind::Engine;
  /// Whether a request may be retried after it may have run.
  bool Repeatable = true;
  std::vector<ServerId> Servers;
  /// The model's name at the engines; empty if it is the service's name.
  std::string Model;
  /// The maximum of output tokens that a caller may set for a request.
  std::uint32_t MaxOutputTokens = 100'000;

  friend bool operator==(const ServiceDeclaration &,
                         const ServiceDeclaration &) = default;
};

/// A backend server.
struct ServerDeclaration {
  std::string Name;
  /// Numeric host and port.
  std::string Address;
  std::string Zone;
  FencingCheck Fencing = FencingCheck::Ignored;
  /// Requests that it may run concurrently. The adaptive admission window never
  /// exceeds this.
  std::uint32_t MaxConcurrent = 8;

  friend bool operator==(const ServerDeclaration &,
                         const ServerDeclaration &) = default;
};

/// The complete, active declarations of the operators. Immutable once shared.
struct Declarations {
  std::uint64_t Generation = 0;
  std::map<AccountId, AccountDeclaration> Accounts;
  std::map<ServiceId, ServiceDeclaration> Services;
  std::map<ServerId, ServerDeclaration> Servers;

  friend bool operator==(const Declarations &, const Declarations &) = default;
};

using DeclarationsPtr = std::shared_ptr<const Declarations>;

} // namespace parsleywing

#endif
