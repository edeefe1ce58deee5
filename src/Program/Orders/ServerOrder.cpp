#include "Program/Orders/ServerOrder.h"

#include <thread>

namespace parsleywing {

namespace {

/// One process that makes a handful of calls.
constexpr double CallsPerSecond = 20;
constexpr double CallBurst = 20;
constexpr Duration TurnPoll = std::chrono::milliseconds(50);
constexpr Duration ReportPoll = std::chrono::milliseconds(500);
constexpr std::uint32_t MaxRepeats = 3;
constexpr const char *LeaseKeys = "orders/";
constexpr const char *RateKeys = "loads/";

std::string describe(const EngineOrder &Order) {
  return std::string(nameOf(OrderKindNames, Order.Kind)) + " " + Order.Name;
}

} // namespace

FencedLeaseTiming orderLeaseTiming(std::chrono::seconds Life,
                                   FencingCheck Check) {
  const Duration Whole = Life;
  FencedLeaseTiming Times;
  Times.Ttl = Life;
  Times.SafetyMargin = Whole * 2 / 5;
  Times.RenewInterval = Whole / 5;
  Times.RetryInterval = Whole / 10;
  Times.TakeoverDelay = Check == FencingCheck::Checked
                            ? Duration::zero()
                            : Whole + Times.SafetyMargin;
  return Times;
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
  const auto Turn = this->acquireLease(Deadline);
  if (!Turn)
    return tl::unexpected<Error>(Turn.error());
  this->Number = *Turn;
  this->OnProgress("holding the lease with number " + std::to_string(*Turn));
  const auto Seen =
      this->Client.checkReport(this->Order.Address, this->Order.Limit);
  if (!Seen)
    return tl::unexpected<Error>(
        {ErrorCode::Unreachable,
         "no report of " + this->Settings.Server +
             ", nothing was sent: " + Seen.error().Message});
  this->AdaptersBefore = *Seen;
  if (const auto Leave = this->acquireLoadSlot(Deadline); !Leave)
    return tl::unexpected<Error>(Leave.error());
  ServerOrderReport Report;
  Report.Number = *Turn;
  this->sendAndVerify(Report);
  this->recordOtherChanges(Report);
  return Report;
}

Result<FencingNumber> ServerOrder::acquireLease(TimePoint Deadline) {
  this->Lease.setWanted(true);
  while (this->Time.now() < Deadline) {
    if (const auto Usable = this->Lease.fencingNumber())
      return *Usable;
    std::this_thread::sleep_for(TurnPoll);
  }
  return failure(ErrorCode::TimedOut,
                 "the lease of " + this->Settings.Server +
                     " could not be had in time; nothing was sent");
}

/// Only a load of what is not there reads from the weight store.
Result<void> ServerOrder::acquireLoadSlot(TimePoint Deadline) {
  const bool Reads = this->Order.Kind == OrderKind::LoadAdapter &&
                     !OrderClient::inEffect(this->Order, this->AdaptersBefore);
  if (!Reads)
    return {};
  this->OnProgress("waiting for leave to load");
  LoadRateLimiterSettings Rate = this->Settings.Rate;
  Rate.Prefix = this->Settings.Prefix + RateKeys;
  return LoadRateLimiter(
             Rate, StoreClient(this->Settings.Store, this->Budget, this->Time),
             this->Time)
      .acquire(Deadline);
}

/// The lease may have lapsed and been taken again meanwhile. Its new number
/// would pass for a new order where somebody else's came between, so only the
/// number counts under which this order began.
std::optional<LeasePermit> ServerOrder::currentPermit() {
  const auto Use = this->serverChecksFencing() ? this->Lease.permit()
                                               : this->Lease.confirmedPermit();
  return Use && Use->Number == this->Number ? Use : std::nullopt;
}

OrderOutcome ServerOrder::sendOrder() {
  return this->Client.give(this->Order,
                           [this] { return this->currentPermit(); });
}

/// At a server that ignores the number, an older order may have been held up
/// on its way and arrive after this one, which only the report shows.
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
    this->OnProgress("an older order undid it; giving it again");
  }
}

/// Watches for as long as a successor waits. A report that does not come says
/// nothing, and the next one shows the same.
bool ServerOrder::remainsInEffect() {
  const TimePoint End = this->Time.now() + this->LeaseTiming.TakeoverDelay;
  while (this->Time.now() < End) {
    std::this_thread::sleep_for(ReportPoll);
    const auto Seen =
        this->Client.checkReport(this->Order.Address, this->Order.Limit);
    if (Seen && !OrderClient::inEffect(this->Order, *Seen))
      return false;
  }
  return true;
}

void ServerOrder::recordOtherChanges(ServerOrderReport &Report) {
  const auto After =
      this->Client.checkReport(this->Order.Address, this->Order.Limit);
  if (!After)
    return;
  for (const std::string &Name : *After)
    if (!this->AdaptersBefore.contains(Name))
      Report.OtherChanges.insert("+" + Name);
  for (const std::string &Name : this->AdaptersBefore)
    if (!After->contains(Name))
      Report.OtherChanges.insert("-" + Name);
  Report.OtherChanges.erase("+" + this->Order.Name);
  Report.OtherChanges.erase("-" + this->Order.Name);
}

} // namespace parsleywing
