#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRSCHEDULER_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRSCHEDULER_H

#include "Decision/Fairness/FairnessTypes.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace parsleywing {

/// Decides which waiting request goes to which backend server, and when. Does
/// no I/O and reads no clock: the same events give the same actions.
class FairScheduler {
public:
  FairnessActions handle(TimePoint Now, const FairnessEvent &Event);

private:
  struct Waiting {
    RequestId Request;
    std::uint64_t EstimatedTokens;
  };
  struct AccountQueue {
    double VirtualTime = 0;
    std::deque<Waiting> Requests;
  };
  struct ServiceQueue {
    double VirtualNow = 0;
    std::map<AccountId, AccountQueue> Accounts;
  };
  struct Admitted {
    AccountId Account;
    ServiceId Service;
    ServerId Server;
    std::uint64_t ChargedTokens;
  };

  void on(const RequestQueued &Event);
  void on(const RequestWithdrawn &Event);
  void on(const RequestCharged &Event);
  void on(const RequestReleased &Event);
  void on(const LoadReported &) {}
  void on(const ServerConditionChanged &Event);
  void on(const DeclarationsChanged &Event);
  void on(const ViewChanged &Event);
  void on(const Tick &) {}

  void charge(Admitted &Request, std::uint64_t Tokens);
  std::uint32_t slotsHere(ServerId Server) const;
  ServerId findFreeServer(const ServiceDeclaration &Service) const;
  bool admitOne(ServiceId Service, FairnessActions &Actions);

  DeclarationsPtr InForce = std::make_shared<Declarations>();
  View Current;
  std::map<ServerId, ServerCondition> Conditions;
  std::map<ServiceId, ServiceQueue> Services;
  std::unordered_map<ServerId, std::uint32_t> InUse;
  std::unordered_map<RequestId, Admitted> Running;
};

} // namespace parsleywing

#endif
