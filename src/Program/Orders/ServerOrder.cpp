#include "Program/Orders/ServerOrder.h"

#include <thread>

namespace parsleywing {

namespace {

/// Rate limit for a process that makes only a few calls.
constexpr double CallsPerSecond = 20;
constexpr double CallBurst = 20;
constexpr Duration LeasePollInterval = std::chrono::milliseconds(50);
constexpr Duration ReportPollInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t MaxRepeats = 3;
constexpr const char *LeaseKeys = "orders/";
constexpr const char *RateKeys = "loads/";

std::string describe(const EngineOrder &Order) {
  return std::string(nameOf(OrderKindNames, Order.Kind)) + " " + Order.Name;
}

} // namespace

FencedLeaseTiming orderLeaseTiming(std::chrono::seconds Ttl,
                                   FencingCheck Check) {
  const Duration Lifetime = Ttl;
  FencedLeaseTiming Timing;
  Timing.Ttl = Ttl;
  Timing.SafetyMargin = Lifetime * 2 / 5;
  Timing.RenewInterval = Lifetime / 5;
  Timing.RetryInterval = Lifetime / 10;
  Timing.TakeoverDelay = Check == FencingCheck::Checked
                             ? Duration::zero()
                             : Lifetime + Timing.SafetyMargin;
  return Timing;
}

ServerOrder::ServerOrder(ServerOrderSettings S, EngineOrder O,
                         ProgressCallback T)
    : Settings(std::move(S)), Order(std::move(O)), OnProgress(std::move(T)),
      Time(Clock::steady()), Budget(std::make_shared<StoreBudget>(
                                 CallsPerSecond, CallBurst, this->Time.now())),
      LeaseTiming(
          orderLeaseTiming(this->Settings.LeaseTtl, this->Order.Fencing)),
      Lease({this->Settings.Prefix + LeaseKeys + this->Settings.Server,
             this->Settings.Holder, this->LeaseTiming, 0},
            this->Settings.Store, this->Budget, this->Time),
      Client(this->Counters) {}

bool ServerOrder::serverChecksFencing() const {
  return this->Order.Fencing == FencingCheck::Checked;
}

Result<ServerOrderReport> ServerOrder::run() {
  const TimePoint Deadline = this->Time.now() + this->Settings.Timeout;
  this->OnProgress("waiting for the lease of " + this->Settings.Server);
  const auto LeaseNumber = this->acquireLease(Deadline);
  if (!LeaseNumber)
    return tl::unexpected<Error>(LeaseNumber.error());
  this->Number = *LeaseNumber;
  this->OnProgress("holding the lease with number " +
                   std::to_string(*LeaseNumber));
  const auto Adapters = this->Client.fetchLoadedModels(this->Order.Address,
                                                       this->Order.CallTimeout);
  if (!Adapters)
    return tl::unexpected<Error>(
        {ErrorCode::Unreachable,
         "no report from " + this->Settings.Server +
             ", nothing was sent: " + Adapters.error().Message});
  this->AdaptersBefore = *Adapters;
  if (const auto Slot = this->acquireLoadSlot(Deadline); !Slot)
    return tl::unexpected<Error>(Slot.error());
  ServerOrderReport Report;
  Report.Number = *LeaseNumber;
  this->sendAndVerify(Report);
  this->recordOtherChanges(Report);
  return Report;
}

Result<FencingNumber> ServerOrder::acquireLease(TimePoint Deadline) {
  this->Lease.setWanted(true);
  while (this->Time.now() < Deadline) {
    if (const auto LeaseNumber = this->Lease.fencingNumber())
      return *LeaseNumber;
    std::this_thread::sleep_for(LeasePollInterval);
  }
  return failure(ErrorCode::TimedOut,
                 "the lease of " + this->Settings.Server +
                     " could not be acquired in time; nothing was sent");
}

/// Only a load of an adapter that is not loaded yet reads from the weight
/// store, and so needs a slot.
Result<void> ServerOrder::acquireLoadSlot(TimePoint Deadline) {
  const bool NeedsSlot =
      this->Order.Kind == OrderKind::LoadAdapter &&
      !OrderClient::isInEffect(this->Order, this->AdaptersBefore);
  if (!NeedsSlot)
    return {};
  this->OnProgress("waiting for leave to load");
  LoadRateLimiterSettings Rate = this->Settings.Rate;
  Rate.Prefix = this->Settings.Prefix + RateKeys;
  return LoadRateLimiter(
             Rate, StoreClient(this->Settings.Store, this->Budget, this->Time),
             this->Time)
      .acquire(Deadline);
}

/// The lease may have expired and been acquired again in the meantime. With the
/// new number, this order would pass for a newer one than an order that another
/// holder sent in between. Only the number with which this order started is
/// therefore valid.
std::optional<LeasePermit> ServerOrder::currentPermit() {
  const auto Permit = this->serverChecksFencing()
                          ? this->Lease.permit()
                          : this->Lease.confirmedPermit();
  return Permit && Permit->Number == this->Number ? Permit : std::nullopt;
}

OrderOutcome ServerOrder::sendOrder() {
  return this->Client.sendOrder(this->Order,
                                [this] { return this->currentPermit(); });
}

/// At a server that ignores the number, an older order may have been delayed in
/// transit and arrive after this one. Only the server's report shows that.
void ServerOrder::sendAndVerify(ServerOrderReport &Report) {
  while (true) {
    Report.Outcome = this->sendOrder();
    const bool InEffect = Report.Outcome == OrderOutcome::Done ||
                          Report.Outcome == OrderOutcome::AlreadyInEffect;
    if (!InEffect || this->serverChecksFencing())
      return;
    this->OnProgress(describe(this->Order) +
                     " is in effect; watching the report");
    if (this->remainsInEffect())
      return;
    if (Report.Repeats == MaxRepeats) {
      Report.Outcome = OrderOutcome::Unknown;
      return;
    }
    ++Report.Repeats;
    this->OnProgress("an older order undid it; sending it again");
  }
}

/// Watches for as long as the takeover delay of a next holder. A missing report
/// is ignored, since the next one shows the same state.
bool ServerOrder::remainsInEffect() {
  const TimePoint End = this->Time.now() + this->LeaseTiming.TakeoverDelay;
  while (this->Time.now() < End) {
    std::this_thread::sleep_for(ReportPollInterval);
    const auto Adapters = this->Client.fetchLoadedModels(
        this->Order.Address, this->Order.CallTimeout);
    if (Adapters && !OrderClient::isInEffect(this->Order, *Adapters))
      return false;
  }
  return true;
}

void ServerOrder::recordOtherChanges(ServerOrderReport &Report) {
  const auto AdaptersAfter = this->Client.fetchLoadedModels(
      this->Order.Address, this->Order.CallTimeout);
  if (!AdaptersAfter)
    return;
  for (const std::string &Name : *AdaptersAfter)
    if (!this->AdaptersBefore.contains(Name))
      Report.OtherChanges.insert("+" + Name);
  for (const std::string &Name : this->AdaptersBefore)
    if (!AdaptersAfter->contains(Name))
      Report.OtherChanges.insert("-" + Name);
  Report.OtherChanges.erase("+" + this->Order.Name);
  Report.OtherChanges.erase("-" + this->Order.Name);
}

} // namespace parsleywing
