#include "Decision/RouterCore.h"

#include "Runtime/Invariant.h"
#include "Runtime/Overloaded.h"

#include <type_traits>

namespace parsleywing {

namespace {

/// True where the variant has an alternative of this type.
template <typename Type, typename Variant> struct IsAlternative;
template <typename Type, typename... Types>
struct IsAlternative<Type, std::variant<Types...>>
    : std::disjunction<std::is_same<Type, Types>...> {};

} // namespace

RouterCore::RouterCore(const RouterCoreSettings &S)
    : Requests(S.Requests), Scheduler(S.Fairness), Membership(S.Membership),
      Configuration(S.Configuration),
      Servers(S.Servers, S.Membership.Self.IncarnationNumber),
      Owners(this->Membership.view()) {}

std::vector<Action> RouterCore::handle(TimePoint Now, const Event &Happened) {
  if (!this->Started) {
    // The first view, of this router alone, comes from no change.
    this->Started = true;
    this->changeView(Now, ViewChanged{this->Membership.view()});
  }
  std::visit(
      [&]<typename Type>(const Type &E) {
        if constexpr (std::is_same_v<Type, PeerPartReceived>)
          this->fromPeer(Now, E);
        if constexpr (std::is_same_v<Type, Tick>)
          this->toMembership(Now, MembershipTick{});
        if constexpr (IsAlternative<Type, MembershipEvent>::value)
          this->toMembership(Now, E);
        if constexpr (IsAlternative<Type, ConfigurationEvent>::value)
          this->toConfiguration(Now, E);
        if constexpr (IsAlternative<Type, RequestEvent>::value)
          this->toRequests(Now, E);
        // The scheduler hears of a server's condition only once merged.
        if constexpr (IsAlternative<Type, FairnessEvent>::value &&
                      !std::is_same_v<Type, ServerConditionChanged>)
          this->toScheduler(Now, E);
        if constexpr (IsAlternative<Type, ServersEvent>::value)
          this->toServers(Now, E);
        if constexpr (std::is_same_v<Type, DeclarationsChanged>)
          this->takeDeclarations(E);
      },
      Happened);
  return std::exchange(this->Pending, {});
}

void RouterCore::fromPeer(TimePoint Now, const PeerPartReceived &Received) {
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
             },
             Received.Part);
}

void RouterCore::changeView(TimePoint Now, const ViewChanged &Changed) {
  this->toScheduler(Now, Changed);
  this->toConfiguration(Now, Changed);
  this->toRequests(Now, Changed);
  this->toServers(Now, Changed);
  this->Owners.update(Changed.Current);
  this->watchServers();
}

void RouterCore::takeDeclarations(const DeclarationsChanged &Changed) {
  this->InForce = Changed.Active;
  // Servers that are declared no more would be remembered for ever.
  if (this->Owners.size() > 2 * this->InForce->Servers.size())
    this->Owners.clear();
  this->watchServers();
}

void RouterCore::watchServers() {
  std::vector<ServerId> Owned;
  for (const auto &[Server, Declared] : this->InForce->Servers)
    if (this->Owners.ownerOf(Server.Value) == this->Membership.view().Self)
      Owned.push_back(Server);
  if (Owned == this->Watched)
    return;
  this->Watched = Owned;
  this->Pending.emplace_back(WatchServers{std::move(Owned)});
}

void RouterCore::toRequests(TimePoint Now, const RequestEvent &Event) {
  for (const RequestAction &Wanted : this->Requests.handle(Now, Event))
    std::visit(
        Overloaded{
            [&](const QueueRequest &A) {
              const RequestDescription &D = A.Description;
              this->toScheduler(Now, RequestQueued{D.Request, D.Account,
                                                   D.Service, D.EstimatedTokens,
                                                   A.AvoidServer});
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
              this->Pending.emplace_back(std::move(A));
            },
            [&](const auto &A) { this->Pending.emplace_back(A); },
        },
        Wanted);
}

void RouterCore::toScheduler(TimePoint Now, const FairnessEvent &Event) {
  for (const FairnessAction &Wanted : this->Scheduler.handle(Now, Event))
    std::visit(
        Overloaded{
            [&](const AdmitRequest &A) {
              PARSLEYWING_INVARIANT(this->Servers.mayAdmit(Now, A.Server),
                                    "a leaving server gets no new work");
              this->toRequests(Now, RequestAdmitted{A.Request, A.Server});
            },
            [&](const SendFairMessage &A) {
              this->Pending.emplace_back(
                  SendToPeer{A.To, A.Message, A.Urgent, false});
            },
        },
        Wanted);
}

void RouterCore::toServers(TimePoint Now, const ServersEvent &Event) {
  for (const ServersAction &Wanted : this->Servers.handle(Now, Event))
    std::visit(
        Overloaded{
            [&](const ServerConditionChanged &A) { this->toScheduler(Now, A); },
            [&](const SendServerNotices &A) {
              this->Pending.emplace_back(
                  SendToPeer{A.To, A.Message, true, false});
            },
        },
        Wanted);
}

void RouterCore::toMembership(TimePoint Now, const MembershipEvent &Event) {
  for (const MembershipAction &Wanted : this->Membership.handle(Now, Event))
    std::visit(Overloaded{
                   [&](const SendMembershipMessage &A) {
                     this->Pending.emplace_back(
                         SendToPeer{A.To, A.Message, A.Urgent, A.Bulk});
                   },
                   [&](const ViewChanged &A) { this->changeView(Now, A); },
                   [&](const auto &A) { this->Pending.emplace_back(A); },
               },
               Wanted);
}

void RouterCore::toConfiguration(TimePoint Now,
                                 const ConfigurationEvent &Event) {
  for (const ConfigurationAction &Wanted :
       this->Configuration.handle(Now, Event))
    std::visit(Overloaded{
                   [&](const SendConfigurationMessage &A) {
                     this->Pending.emplace_back(
                         SendToPeer{A.To, A.Message, A.Urgent, A.Bulk});
                   },
                   [&](const auto &A) { this->Pending.emplace_back(A); },
               },
               Wanted);
}

} // namespace parsleywing
