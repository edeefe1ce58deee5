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

/// What an engine is told to do.
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
  /// The adapter as requests name it.
  std::string Name;
  /// Where the engine finds its weights; only for loads.
  std::string Path;
  /// Whether the engine refuses an old number by itself.
  FencingCheck Fencing = FencingCheck::Ignored;
  /// For each call to the engine; the order itself ends no later than the use
  /// of its lease.
  Duration CallTimeout = std::chrono::seconds(5);
};

/// How an order ended.
enum class OrderOutcome {
  Done,            ///< The engine obeyed, and its report shows it if asked.
  AlreadyInEffect, ///< Its report showed the effect before; nothing was sent.
  Stale,           ///< The engine knows a higher fencing number.
  LeaseLost,       ///< The holder could not prove its lease; nothing was sent.
  NotSent,         ///< No byte of the order can have left.
  Refused,         ///< The engine answered that it will not.
  Unknown,         ///< It may have taken effect; the report did not tell.
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

/// Gives orders to engines. Blocks its thread for three calls at most; not
/// meant for the control thread.
class OrderClient {
public:
  explicit OrderClient(BackendCounters &C) : Counters(C) {}

  /// Asks the holder for leave to send, and under which number.
  using PermitProvider = std::function<std::optional<LeasePermit>()>;

  /// Gives an order. `Lease` is asked as the last thing before the first byte
  /// leaves; it must give nothing well before the lease can have lapsed.
  OrderOutcome sendOrder(const EngineOrder &Order, const PermitProvider &Lease);

  /// Whether the report shows what the order wants.
  static bool isInEffect(const EngineOrder &Order,
                         const std::set<std::string> &Report);

  /// The models and adapters that the engine reports as loaded.
  Result<std::set<std::string>> fetchLoadedModels(const std::string &Address,
                                                  Duration Limit);

private:
  enum class Effect { InPlace, Missing, Unseen };
  Effect effectOf(const EngineOrder &Order);
  OrderOutcome send(const EngineOrder &Order, const PermitProvider &Lease);

  BackendCounters &Counters;
};

/// The header that carries the fencing number of an order.
inline constexpr const char *FencingHeader = "X-Fencing-Number";

} // namespace parsleywing

#endif
