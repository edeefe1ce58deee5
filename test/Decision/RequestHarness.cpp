#include "Decision/RequestHarness.h"

namespace parsleywing::test {

RequestDescription RequestHarness::makeRequest(std::uint64_t Number,
                                               bool Repeatable,
                                               const std::string &Key) const {
  RequestDescription D;
  D.Request = RequestId{Number};
  D.Account = Account1;
  D.Service = ServiceId{1};
  D.Repeatable = Repeatable;
  D.IdempotencyKey = Key;
  D.Identity = "r1-1-" + std::to_string(Number);
  D.Deadline = this->Now + std::chrono::minutes(5);
  return D;
}

void RequestHarness::admit(const RequestDescription &Description) {
  this->send(RequestArrived{Description});
  if (this->action<ClaimRunRecord>())
    this->send(RunRecordVerdictReceived{Description.Request,
                                        RunRecordVerdict::Claimed});
  this->send(RequestAdmitted{Description.Request, Server1});
}

void RequestHarness::stream(const RequestDescription &Description,
                            std::uint64_t Tokens) {
  this->admit(Description);
  this->send(AttemptSent{Description.Request, 1});
  this->send(AttemptProgressed{Description.Request, 1, Tokens});
}

View viewOf(std::initializer_list<std::uint64_t> Others) {
  View V{RouterId{1}, {Member{RouterId{1}}}};
  for (std::uint64_t Other : Others)
    V.Members.push_back(Member{RouterId{Other}});
  return V;
}

} // namespace parsleywing::test
