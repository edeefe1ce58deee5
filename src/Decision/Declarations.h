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

/// How a backend server of a service is spoken to.
enum class ServiceKind {
  Engine, ///< A model engine, through the streamed responses API.
  Plain,  ///< Any HTTP service; requests and answers pass unchanged.
};

inline constexpr EnumNames<ServiceKind, 2> ServiceKindNames{{
    {ServiceKind::Engine, "engine"},
    {ServiceKind::Plain, "plain"},
}};

/// Whether a backend server refuses orders that carry an old fencing number.
enum class FencingCheck { Checked, Ignored };

inline constexpr EnumNames<FencingCheck, 2> FencingCheckNames{{
    {FencingCheck::Checked, "checked"},
    {FencingCheck::Ignored, "ignored"},
}};

/// A client account as the operators declare it.
struct AccountDeclaration {
  std::string Name;
  /// Weight of the account's part of capacity; 1 to 1,000,000.
  std::uint32_t Share = 1;
  /// SHA-256 of the account's key, in lower-case hexadecimal.
  std::string KeyDigest;
  std::vector<ServiceId> Services;
  /// Requests that may wait at one router before further ones are refused.
  std::uint32_t MaxQueued = 1000;
  /// Requests that may be admitted and unanswered at one router.
  std::uint32_t MaxInFlight = 1000;

  friend bool operator==(const AccountDeclaration &,
                         const AccountDeclaration &) = default;
};

/// A service that callers name in their requests.
struct ServiceDeclaration {
  std::string Name;
  ServiceKind Kind = ServiceKind::Engine;
  /// Whether a call may be sent again after it may have run.
  bool Repeatable = true;
  std::vector<ServerId> Servers;
  /// What the engines call the model; empty where they use the service's name.
  std::string Model;
  /// The most output tokens that a caller may ask of one request.
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
  /// Requests that it may run at once; the learnt window stays at or below.
  std::uint32_t MaxConcurrent = 8;

  friend bool operator==(const ServerDeclaration &,
                         const ServerDeclaration &) = default;
};

/// The whole set of operators' declarations in force, never changed in place.
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
