#include "Decision/RouterCore.h"

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

std::vector<Action> RouterCore::handle(TimePoint Now, const Event &Happened) {
  std::visit(
      [&]<typename Type>(const Type &E) {
        if constexpr (IsAlternative<Type, RequestEvent>::value)
          this->toRequests(Now, E);
        if constexpr (IsAlternative<Type, FairnessEvent>::value)
          this->toScheduler(Now, E);
      },
      Happened);
  return std::exchange(this->Pending, {});
}

void RouterCore::toRequests(TimePoint Now, const RequestEvent &Event) {
  for (const RequestAction &Wanted : this->Requests.handle(Now, Event))
    std::visit(
        Overloaded{
            [&](const QueueRequest &A) {
              const RequestDescription &D = A.Description;
              this->toScheduler(Now,
                                RequestQueued{D.Request, D.Account, D.Service,
                                              D.EstimatedTokens});
            },
            [&](const WithdrawRequest &A) {
              this->toScheduler(Now, RequestWithdrawn{A.Request});
            },
            [&](const ChargeRequest &A) {
              this->toScheduler(Now, RequestCharged{A.Request, A.Tokens});
            },
            [&](const ReleaseRequest &A) {
              this->toScheduler(Now, RequestReleased{A.Request, A.Tokens});
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
              this->toRequests(Now, RequestAdmitted{A.Request, A.Server});
            },
            [&](const SendFairMessage &A) { this->Pending.emplace_back(A); }},
        Wanted);
}

} // namespace parsleywing
