#include "Decision/RouterCore.h"

#include "Runtime/Invariant.h"
#include "Runtime/Overloaded.h"

#include <type_traits>

namespace parsleywing {

namespace {

/// Whether the variant has an alternative of this type.
template <typename Type, typename Variant> struct IsAlternative;
template <typename Type, typename... Types>
struct IsAlternative<Type, std::variant<Types...>>
    : std::disjunction<std::is_same<Type, Types>...> {};

} // namespace

RouterCore::RouterCore(const RouterCoreSettings &S)
    : Requests(S.Requests), Scheduler(S.Fairness), Membership(S.Membership),
      Configuration(S.Configuration),
      Servers(S.Servers, S.Membership.Self.IncarnationNumber),
      Crashes(S.CrashSeed), Owners(this->Membership.view()) {}

std::vector<Action> RouterCore::handle(TimePoint Now, const Event &NewEvent) {
  if (!this->Started) {
    // The first view contains only this router and is not announced by an
    // event.
    this->Started = true;
    this->applyView(Now, ViewChanged{this->Membership.view()});
  }
  std::visit(
      [&]<typename Type>(const Type &E) {
        if constexpr (std::is_same_v<Type, PeerPartReceived>)
          this->dispatchPeerPart(Now, E);
        if constexpr (std::is_same_v<Type, Tick>)
          this->toMembership(Now, MembershipTick{});
        if constexpr (IsAlternative<Type, MembershipEvent>::value)
          this->toMembership(Now, E);
        if constexpr (IsAlternative<Type, ConfigurationEvent>::value)
          this->toConfiguration(Now, E);
        // Crashes that an attempt shows decide whether its request is retried.
        if constexpr (IsAlternative<Type, CrashEvent>::value &&
                      !std::is_same_v<Type, ServerConditionChanged>)
          this->toCrashes(Now, E);
        if constexpr (std::is_same_v<Type, RequestArrived>)
          this->acceptRequest(Now, E);
        else if constexpr (IsAlternative<Type, RequestEvent>::value)
          this->toRequests(Now, E);
        // The scheduler and the crash tracker get only the merged condition of
        // a server, from `ServerConditions`.
        if constexpr (IsAlternative<Type, FairnessEvent>::value &&
                      !std::is_same_v<Type, ServerConditionChanged>)
          this->toScheduler(Now, E);
        if constexpr (IsAlternative<Type, ServersEvent>::value)
          this->toServers(Now, E);
        if constexpr (std::is_same_v<Type, DeclarationsChanged>)
          this->updateDeclarations(E);
      },
      NewEvent);
  return std::exchange(this->PendingActions, {});
}

void RouterCore::dispatchPeerPart(TimePoint Now,
                                  const PeerPartReceived &Received) {
  std::visit(Overloaded{
                 [&](const MembershipMessage &M) {
                   this->toMembership(Now, MembershipMessageReceived{
                                               Received.From,
                                               Received.IncarnationNumber, M,
                                               Received.Address});
                 },
                 [&](const FairMessage &M) {
                   this->toScheduler(
                       Now, FairMessageReceived{Received.From,
                                                Received.IncarnationNumber, M});
                 },
                 [&](const ConfigurationMessage &M) {
                   this->toConfiguration(
                       Now, ConfigurationMessageReceived{Received.From, M});
                 },
                 [&](const ServerNotices &M) {
                   this->toServers(Now, ServerNoticesReceived{M});
                 },
                 [&](const CrashFacts &M) {
                   this->toCrashes(Now, CrashFactsReceived{Received.From, M});
                 },
             },
             Received.Part);
}

void RouterCore::applyView(TimePoint Now, const ViewChanged &Changed) {
  this->toScheduler(Now, Changed);
  this->toConfiguration(Now, Changed);
  this->toRequests(Now, Changed);
  this->toServers(Now, Changed);
  this->toCrashes(Now, Changed);
  this->Owners.update(Changed.Current);
  this->updateWatchedServers();
}

void RouterCore::updateDeclarations(const DeclarationsChanged &Changed) {
  this->ActiveDeclarations = Changed.Active;
  // Drops servers that are no longer declared, which would otherwise stay
  // cached forever.
  if (this->Owners.size() > 2 * this->ActiveDeclarations->Servers.size())
    this->Owners.clear();
  this->updateWatchedServers();
}

void RouterCore::updateWatchedServers() {
  std::vector<ServerId> Owned;
  for (const auto &[Server, Declared] : this->ActiveDeclarations->Servers)
    if (this->Owners.ownerOf(Server.Value) == this->Membership.view().Self)
      Owned.push_back(Server);
  if (Owned == this->WatchedServers)
    return;
  this->WatchedServers = Owned;
  this->PendingActions.emplace_back(WatchServers{std::move(Owned)});
}

void RouterCore::acceptRequest(TimePoint Now, const RequestArrived &Arrived) {
  const RequestDescription &D = Arrived.Description;
  const bool IsAccepted = this->Crashes.open(Now, D.Request, D.Content);
  this->toRequests(Now, RequestArrived{D, !IsAccepted});
}

void RouterCore::queueRequest(TimePoint Now, const QueueRequest &Queued) {
  const RequestDescription &D = Queued.Description;
  if (const auto Until = this->Scheduler.pausedUntil(Now, D.Service))
    this->toRequests(Now, AllServersPaused{D.Request, *Until - Now});
  else if (this->Crashes.acquireStart(D.Request))
    this->toScheduler(Now,
                      RequestQueued{D.Request, D.Account, D.Service,
                                    D.EstimatedTokens, Queued.AvoidServer});
  else
    this->toRequests(Now, RequestRefused{D.Request});
}

void RouterCore::toRequests(TimePoint Now, const RequestEvent &Event) {
  for (const RequestAction &Emitted : this->Requests.handle(Now, Event))
    std::visit(
        Overloaded{
            [&](const QueueRequest &A) { this->queueRequest(Now, A); },
            [&](const FinishRequest &A) {
              this->Crashes.close(A.Request);
              this->PendingActions.emplace_back(A);
            },
            [&](const WithdrawRequest &A) {
              this->toScheduler(Now, RequestWithdrawn{A.Request});
            },
            [&](const ChargeRequest &A) {
              this->toScheduler(Now, RequestCharged{A.Request, A.Tokens});
            },
            [&](const ReleaseSlot &A) {
              this->toScheduler(Now, RequestReleased{A.Request, A.Tokens});
            },
            [&](HandOverRequest A) {
              const RouterRecord *To = this->Membership.recordOf(A.Router);
              A.Address = To != nullptr ? To->CallerAddress : "";
              this->PendingActions.emplace_back(std::move(A));
            },
            [&](const auto &A) { this->PendingActions.emplace_back(A); },
        },
        Emitted);
}

void RouterCore::toScheduler(TimePoint Now, const FairnessEvent &Event) {
  for (const FairnessAction &Emitted : this->Scheduler.handle(Now, Event))
    std::visit(
        Overloaded{
            [&](const AdmitRequest &A) {
              PARSLEYWING_INVARIANT(this->Servers.mayAdmit(Now, A.Server),
                                    "a leaving server gets no new requests");
              this->toRequests(Now, RequestAdmitted{A.Request, A.Server});
            },
            [&](const RefusePaused &A) {
              this->toRequests(Now, AllServersPaused{A.Request, A.PauseLeft});
            },
            [&](const SendFairMessage &A) {
              this->PendingActions.emplace_back(
                  SendToPeer{A.To, A.Message, A.Urgent, false});
            },
        },
        Emitted);
}

void RouterCore::toServers(TimePoint Now, const ServersEvent &Event) {
  for (const ServersAction &Emitted : this->Servers.handle(Now, Event))
    std::visit(Overloaded{
                   [&](const ServerConditionChanged &A) {
                     this->toScheduler(Now, A);
                     this->toCrashes(Now, A);
                   },
                   [&](const SendServerNotices &A) {
                     this->PendingActions.emplace_back(
                         SendToPeer{A.To, A.Message, true, false});
                   },
               },
               Emitted);
}

void RouterCore::toCrashes(TimePoint Now, const CrashEvent &Event) {
  for (const CrashAction &Emitted : this->Crashes.handle(Now, Event))
    std::visit(Overloaded{
                   [&](const SendCrashFacts &A) {
                     this->PendingActions.emplace_back(
                         SendToPeer{A.To, A.Message, A.Urgent, A.Bulk});
                   },
                   [&](const RefuseRequest &A) {
                     this->toRequests(Now, RequestRefused{A.Request});
                   },
                   [&](const auto &A) { this->PendingActions.emplace_back(A); },
               },
               Emitted);
}

void RouterCore::toMembership(TimePoint Now, const MembershipEvent &Event) {
  for (const MembershipAction &Emitted : this->Membership.handle(Now, Event))
    std::visit(Overloaded{
                   [&](const SendMembershipMessage &A) {
                     this->PendingActions.emplace_back(
                         SendToPeer{A.To, A.Message, A.Urgent, A.Bulk});
                   },
                   [&](const ViewChanged &A) { this->applyView(Now, A); },
                   [&](const auto &A) { this->PendingActions.emplace_back(A); },
               },
               Emitted);
}

void RouterCore::toConfiguration(TimePoint Now,
                                 const ConfigurationEvent &Event) {
  for (const ConfigurationAction &Emitted :
       this->Configuration.handle(Now, Event))
    std::visit(Overloaded{
                   [&](const SendConfigurationMessage &A) {
                     this->PendingActions.emplace_back(
                         SendToPeer{A.To, A.Message, A.Urgent, A.Bulk});
                   },
                   [&](const auto &A) { this->PendingActions.emplace_back(A); },
               },
               Emitted);
}

} // namespace parsleywing
