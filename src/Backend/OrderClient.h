#ifndef PARSLEYWING_BACKEND_ORDERCLIENT_H
#define PARSLEYWING_BACKEND_ORDERCLIENT_H

#include "Backend/BackendCounters.h"
#include "Decision/Declarations.h"
#include "Platform/FencedLeaseState.h"
#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"
#include "Runtime/Result.h"

#include <functional>
#include <set>
#include <string>

namespace parsleywing {

/// Kinds of administrative orders to engines.
enum class OrderKind {
  LoadAdapter,   ///< `POST /v1/load_lora_adapter`
  UnloadAdapter, ///< `POST /v1/unload_lora_adapter`
};

inline constexpr EnumNames<OrderKind, 2> OrderKindNames{{
    {OrderKind::LoadAdapter, "load-adapter"},
    {OrderKind::UnloadAdapter, "unload-adapter"},
}};

struct EngineOrder {
  /// Numeric host and port of the engine.
  std::string Address;
  OrderKind Kind = OrderKind::LoadAdapter;
  /// The adapter's name as used in requests.
  std::string Name;
  /// Where the engine finds the adapter's weights; only for loads.
  std::string Path;
  /// Whether the engine itself refuses an old fencing number.
  FencingCheck Fencing = FencingCheck::Ignored;
  /// For each call to the engine. The call that carries the order also ends
  /// when the lease permit expires.
  Duration CallTimeout = std::chrono::seconds(5);
};

/// Outcome of an order.
enum class OrderOutcome {
  Done,            ///< In effect, confirmed by its model list if it was read.
  AlreadyInEffect, ///< The model list showed the effect; nothing was sent.
  Stale,           ///< The engine knows a higher fencing number.
  LeaseLost,       ///< The holder could not prove its lease; nothing was sent.
  NotSent,         ///< No byte of the order was sent.
  Refused,         ///< The engine refused the order.
  Unknown, ///< It may have taken effect; the model list did not confirm.
};

inline constexpr EnumNames<OrderOutcome, 7> OrderOutcomeNames{{
    {OrderOutcome::Done, "done"},
    {OrderOutcome::AlreadyInEffect, "already-in-effect"},
    {OrderOutcome::Stale, "stale"},
    {OrderOutcome::LeaseLost, "lease-lost"},
    {OrderOutcome::NotSent, "not-sent"},
    {OrderOutcome::Refused, "refused"},
    {OrderOutcome::Unknown, "unknown"},
}};

/// Sends administrative orders to engines. Blocks its thread for up to three
/// calls; must not be used on the control thread.
class OrderClient {
public:
  explicit OrderClient(BackendCounters &C) : Counters(C) {}

  /// Returns the permit, including the fencing number, to send an order now, or
  /// nullopt if the lease is not safely held.
  using PermitProvider = std::function<std::optional<LeasePermit>()>;

  /// Sends an order. Calls `GetPermit` immediately before the first byte is
  /// sent; it must stop returning permits well before the lease can expire.
  OrderOutcome sendOrder(const EngineOrder &Order,
                         const PermitProvider &GetPermit);

  /// Whether the list of loaded models shows the effect of the order.
  static bool isInEffect(const EngineOrder &Order,
                         const std::set<std::string> &LoadedModels);

  /// Returns the models and adapters that the engine lists as loaded.
  Result<std::set<std::string>> fetchLoadedModels(const std::string &Address,
                                                  Duration Timeout);

private:
  enum class Effect { InPlace, Missing, Unknown };
  Effect checkEffect(const EngineOrder &Order);
  OrderOutcome postOrder(const EngineOrder &Order,
                         const PermitProvider &GetPermit);

  BackendCounters &Counters;
};

/// The header that carries the fencing number of an order.
inline constexpr const char *FencingHeader = "X-Fencing-Number";

} // namespace parsleywing

#endif
