#include "Decision/RequestSimulation.h"

#include "Runtime/Overloaded.h"

#include <algorithm>

namespace parsleywing::test {

namespace {

constexpr std::size_t PiecesOfAnswer = 4;
constexpr std::size_t RouterCount = 2;

View viewFor(std::size_t Self, bool OtherDrains) {
  View V{RouterId{Self}, {}};
  for (std::size_t N = 0; N < RouterCount; ++N)
    V.Members.push_back({RouterId{N}, 1, N != Self && OtherDrains});
  return V;
}

} // namespace

RequestSimulation::RequestSimulation(std::uint64_t Seed) : Random(Seed) {
  this->Routers.resize(RouterCount);
  for (std::size_t N = 0; N < RouterCount; ++N)
    this->replace(N);
}

bool RequestSimulation::chance(int Percent) {
  return this->below(100) < static_cast<std::size_t>(Percent);
}

std::size_t RequestSimulation::below(std::size_t Limit) {
  return this->Random() % Limit;
}

template <typename Map> auto RequestSimulation::anyOf(Map &Of) {
  return std::next(Of.begin(), static_cast<long>(this->below(Of.size())));
}

void RequestSimulation::fail(const std::string &What) {
  if (this->Violation.empty())
    this->Violation = What;
}

void RequestSimulation::step() {
  const std::size_t Which = this->below(200);
  if (Which < 8)
    this->callerCalls();
  else if (Which < 26)
    this->admitOne();
  else if (Which < 80)
    this->deliverMail();
  else if (Which < 134)
    this->moveTraffic();
  else if (Which < 174)
    this->moveServer();
  else if (Which < 186)
    this->moveStore();
  else if (Which < 196)
    this->passTime(std::chrono::milliseconds(this->chance(10) ? 2000 : 50));
  else if (Which == 196)
    this->callerLeaves();
  else if (Which == 197 && this->chance(40))
    this->drain(this->below(RouterCount));
  else if (Which == 198 && this->chance(30))
    this->restart(this->below(RouterCount));
  else if (Which == 199 && (this->StoreDown || this->chance(20)))
    this->StoreDown = !this->StoreDown;
}

void RequestSimulation::settle() {
  for (int Second = 0; Second < 200; ++Second) {
    while (std::ranges::any_of(
        this->Requests, [](const auto &R) { return !R.second.Mail.empty(); }))
      this->deliverMail();
    this->passTime(std::chrono::seconds(1));
  }
  for (const Call &C : this->Calls)
    if (!C.Answered && !C.Lost)
      this->fail("a caller got no final answer");
  for (const Router &R : this->Routers)
    if (!R.Slots.empty())
      this->fail("a slot was never given back");
}

void RequestSimulation::tell(std::size_t Router, const RequestEvent &Event) {
  const RequestActions Wanted =
      this->Routers[Router].Table->handle(this->Now, Event);
  for (const RequestAction &Action : Wanted)
    this->carryOut(Router, Action);
}

void RequestSimulation::carryOut(std::size_t At, const RequestAction &Wanted) {
  Router &R = this->Routers[At];
  std::visit(
      Overloaded{
          [&](const QueueRequest &A) {
            R.Queue.push_back(A.Description.Request);
          },
          [&](const WithdrawRequest &A) { std::erase(R.Queue, A.Request); },
          [&](const ChargeRequest &A) {
            if (!R.Slots.contains(A.Request))
              this->fail("a charge without a slot");
          },
          [&](const ReleaseSlot &A) {
            if (R.Slots.erase(A.Request) != 1)
              this->fail("a slot was given back twice");
          },
          [&](const StartAttempt &A) {
            Held &H = this->Requests.at(A.Request);
            this->Streams.push_back(Stream{H.Of, A.Server});
            H.Streams[A.Attempt] = this->Streams.size() - 1;
            H.Doing = Traffic{A.Attempt, Traffic::Kind::Start,
                              this->Streams.size() - 1};
          },
          [&](const ResumeAttempt &A) {
            Held &H = this->Requests.at(A.Request);
            const StreamIndex From = H.Streams.at(A.OriginalAttempt);
            if (A.Offset != this->Calls[H.Of].Passed.size() ||
                this->Streams[From].Server != A.Server)
              this->fail("a stream was resumed elsewhere");
            H.Doing = Traffic{A.Attempt, Traffic::Kind::Resume, From};
          },
          [&](const HandOverRequest &A) {
            this->Requests.at(A.Request).Doing =
                Traffic{A.Attempt, Traffic::Kind::HandOver};
          },
          [&](const CancelAttempt &A) {
            Held &H = this->Requests.at(A.Request);
            if (H.Doing && H.Doing->Attempt == A.Attempt)
              H.Doing->Cancelled = true;
          },
          [&](const FinishRequest &A) { this->answer(A); },
          [&](const DrainFinished &) { this->replace(At); },
          [&](const auto &A) { this->StoreOrders[A.Request].push_back(A); },
      },
      Wanted);
}

void RequestSimulation::answer(const FinishRequest &Answer) {
  Held &H = this->Requests.at(Answer.Request);
  Call &C = this->Calls[H.Of];
  if (H.Answered)
    this->fail("a request got two final answers");
  H.Answered = true;
  const bool Served = Answer.Reason == ResponseReason::Served;
  if (Served && C.Passed.size() != PiecesOfAnswer)
    this->fail("an answer that is not whole was told as whole");
  if (Answer.Outcome == RequestOutcome::NotRun && !H.Parent) {
    C.ToldNotRun = true;
    if (C.Runs > 0)
      this->fail("a request that ran was told as not run");
  }
  if (Answer.Outcome == RequestOutcome::Completed && !Served &&
      this->KeyRuns[{C.Asked.Account, C.Asked.IdempotencyKey}] != 1)
    this->fail("a request that did not run was told as run before");
  if (H.Parent)
    this->answerParent(Answer.Request, H, Answer.Outcome);
  else
    C.Answered = true;
}

void RequestSimulation::answerParent(RequestId ChildId, const Held &Child,
                                     RequestOutcome Outcome) {
  auto Found = this->Requests.find(*Child.Parent);
  if (Found == this->Requests.end() || !Found->second.Doing ||
      Found->second.Doing->Child != ChildId)
    return;
  AttemptOutcome Ended = AttemptOutcome::Interrupted;
  if (Outcome == RequestOutcome::Completed)
    Ended = AttemptOutcome::Completed;
  if (Outcome == RequestOutcome::NotRun)
    Ended = AttemptOutcome::Rejected;
  this->end(Found->first, Found->second, Ended);
}

void RequestSimulation::callerCalls() {
  Call C;
  RequestDescription &D = C.Asked;
  D.Account = AccountId{this->below(2)};
  D.Service = ServiceId{1};
  D.Repeatable = this->chance(40);
  if (!D.Repeatable && this->chance(70))
    D.IdempotencyKey =
        "k" + std::to_string(this->Calls.size() / 12 * 3 + this->below(3));
  D.Kind = this->chance(80) ? ServiceKind::Engine : ServiceKind::Plain;
  D.Deadline = this->Now + std::chrono::seconds(5 + this->below(60));
  this->Calls.push_back(C);
  this->arrive(this->below(RouterCount), this->Calls.size() - 1, {}, false);
}

void RequestSimulation::arrive(std::size_t At, CallIndex Of,
                               std::optional<RequestId> Parent,
                               bool RecordHeld) {
  RequestDescription &D = this->Calls[Of].Asked;
  D.Request = RequestId{this->NextRequest++};
  D.RecordHeldElsewhere = RecordHeld;
  if (!Parent)
    D.Identity =
        std::to_string(this->Life) + "-" + std::to_string(D.Request.Value);
  this->Requests[D.Request] = Held{Of, At, Parent, {}, {}, {}};
  this->tell(At, RequestArrived{D});
}

void RequestSimulation::callerLeaves() {
  if (this->Requests.empty())
    return;
  const auto Chosen = this->anyOf(this->Requests);
  if (!Chosen->second.Parent)
    Chosen->second.Mail.emplace_back(CallerDisconnected{Chosen->first});
}

void RequestSimulation::admitOne() {
  const std::size_t At = this->below(RouterCount);
  Router &R = this->Routers[At];
  if (R.Queue.empty())
    return;
  const auto Chosen = this->anyOf(R.Queue);
  const RequestId Request = *Chosen;
  R.Queue.erase(Chosen);
  R.Slots.insert(Request);
  this->tell(At, RequestAdmitted{Request, ServerId{1 + this->below(3)}});
}

void RequestSimulation::deliverMail() {
  if (!this->Doubled.empty() && this->chance(30)) {
    const auto Chosen = this->anyOf(this->Doubled);
    const auto [At, Event] = *Chosen;
    this->Doubled.erase(Chosen);
    this->tell(At, Event);
    return;
  }
  std::vector<RequestId> Waiting;
  for (const auto &[Id, H] : this->Requests)
    if (!H.Mail.empty())
      Waiting.push_back(Id);
  if (Waiting.empty())
    return;
  Held &H = this->Requests.at(Waiting[this->below(Waiting.size())]);
  const RequestEvent Event = H.Mail.front();
  H.Mail.pop_front();
  if (this->chance(10))
    this->Doubled.emplace_back(H.Router, Event);
  this->tell(H.Router, Event);
}

void RequestSimulation::moveTraffic() {
  std::vector<RequestId> Busy;
  for (const auto &[Id, H] : this->Requests)
    if (H.Doing)
      Busy.push_back(Id);
  if (Busy.empty())
    return;
  const RequestId Id = Busy[this->below(Busy.size())];
  Held &H = this->Requests.at(Id);
  if (!H.Doing->Connected)
    this->connect(Id, H);
  else
    this->flow(Id, H);
}

void RequestSimulation::connect(RequestId Id, Held &H) {
  Traffic &T = *H.Doing;
  if (T.Cancelled || this->chance(15)) {
    this->end(Id, H, AttemptOutcome::NotSent);
    return;
  }
  T.Connected = true;
  T.Silent = this->chance(6);
  if (T.Does == Traffic::Kind::HandOver) {
    this->connectHandOver(Id, H);
    return;
  }
  Stream &S = this->Streams[T.From];
  if (T.Does == Traffic::Kind::Resume && !S.Running) {
    this->end(Id, H, AttemptOutcome::Rejected);
    return;
  }
  S.Left = true;
  H.Mail.emplace_back(AttemptSent{Id, T.Attempt});
}

void RequestSimulation::connectHandOver(RequestId Id, Held &H) {
  H.Doing->Child = RequestId{this->NextRequest};
  const bool Keyed = !this->Calls[H.Of].Asked.IdempotencyKey.empty();
  this->arrive(1 - H.Router, H.Of, Id, Keyed);
}

void RequestSimulation::flow(RequestId Id, Held &H) {
  Traffic &T = *H.Doing;
  if (T.Cancelled || this->chance(5)) {
    const bool Hangs = T.Cancelled && this->chance(10);
    const auto Outcome =
        T.Cancelled ? AttemptOutcome::Cancelled : AttemptOutcome::Interrupted;
    if (T.Child) {
      const auto Child = this->Requests.find(*T.Child);
      if (Child != this->Requests.end())
        Child->second.Mail.emplace_back(CallerDisconnected{Child->first});
    }
    if (Hangs)
      H.Doing.reset();
    else
      this->end(Id, H, Outcome);
    return;
  }
  if (T.Silent || T.Does == Traffic::Kind::HandOver)
    return;
  const Stream &S = this->Streams[T.From];
  if (S.Refused)
    this->end(Id, H, AttemptOutcome::Rejected);
  else if (this->Calls[H.Of].Passed.size() < S.Generated)
    this->passOn(Id, H);
  else if (S.Generated == PiecesOfAnswer)
    this->end(Id, H, AttemptOutcome::Completed);
}

void RequestSimulation::passOn(RequestId Id, Held &H) {
  const auto Parent =
      H.Parent ? this->Requests.find(*H.Parent) : this->Requests.end();
  const bool Linked = Parent != this->Requests.end() && Parent->second.Doing &&
                      Parent->second.Doing->Child == Id;
  if (H.Parent && !Linked) {
    this->end(Id, H, AttemptOutcome::CallerDisconnected);
    return;
  }
  std::vector<StreamIndex> &Passed = this->Calls[H.Of].Passed;
  if (!Passed.empty() && Passed.back() != H.Doing->From)
    this->fail("an answer was put together from two runs");
  Passed.push_back(H.Doing->From);
  H.Mail.emplace_back(AttemptProgressed{Id, H.Doing->Attempt, Passed.size()});
  if (Linked)
    Parent->second.Mail.emplace_back(AttemptProgressed{
        *H.Parent, Parent->second.Doing->Attempt, Passed.size()});
}

void RequestSimulation::end(RequestId Id, Held &H, AttemptOutcome Outcome) {
  const std::size_t Offset = this->Calls[H.Of].Passed.size();
  const AttemptNumber Attempt = H.Doing->Attempt;
  if (H.Doing->Does == Traffic::Kind::HandOver)
    H.Mail.emplace_back(HandOverEnded{Id, Attempt, Outcome, Offset});
  else
    H.Mail.emplace_back(AttemptEnded{Id, Attempt, Outcome, Offset, Offset});
  H.Doing.reset();
}

void RequestSimulation::moveServer() {
  std::vector<StreamIndex> Moving;
  for (StreamIndex N = 0; N < this->Streams.size(); ++N) {
    const Stream &S = this->Streams[N];
    if (S.Left && !S.Refused && S.Generated < PiecesOfAnswer)
      Moving.push_back(N);
  }
  if (Moving.empty())
    return;
  Stream &S = this->Streams[Moving[this->below(Moving.size())]];
  if (S.Running) {
    ++S.Generated;
    return;
  }
  if (this->chance(20)) {
    S.Refused = true;
    return;
  }
  S.Running = true;
  Call &C = this->Calls[S.Of];
  ++C.Runs;
  if (C.ToldNotRun)
    this->fail("a request ran after it was told as not run");
  if (C.Asked.Repeatable)
    return;
  if (C.Runs > 1)
    this->fail("a request that may not be repeated ran twice");
  if (!C.Asked.IdempotencyKey.empty() &&
      ++this->KeyRuns[{C.Asked.Account, C.Asked.IdempotencyKey}] > 1)
    this->fail("two calls with one idempotency key ran");
}

void RequestSimulation::moveStore() {
  if (this->StoreOrders.empty())
    return;
  const auto Chosen = this->anyOf(this->StoreOrders);
  const StoreOrder Order = Chosen->second.front();
  Chosen->second.pop_front();
  if (Chosen->second.empty())
    this->StoreOrders.erase(Chosen);
  const bool Lost = this->chance(this->StoreDown ? 90 : 5);
  std::visit(Overloaded{
                 [&](const ClaimRunRecord &O) {
                   if (!Lost)
                     this->claim(O);
                 },
                 [&](const CompleteRunRecord &O) {
                   const auto Found = this->Records.find({O.Account, O.Key});
                   if (!Lost && Found != this->Records.end() &&
                       Found->second.Identity == O.Identity)
                     Found->second.Completed = true;
                 },
                 [&](const ReleaseRunRecord &O) {
                   const auto Found = this->Records.find({O.Account, O.Key});
                   if (!Lost && Found != this->Records.end() &&
                       Found->second.Identity == O.Identity)
                     this->Records.erase(Found);
                 },
             },
             Order);
}

void RequestSimulation::claim(const ClaimRunRecord &O) {
  const Record &R =
      this->Records.try_emplace({O.Account, O.Key}, Record{O.Identity})
          .first->second;
  RunRecordVerdict Verdict = RunRecordVerdict::TakenByOther;
  if (R.Identity == O.Identity)
    Verdict = RunRecordVerdict::Claimed;
  else if (R.Completed)
    Verdict = RunRecordVerdict::CompletedBefore;
  if (this->chance(5))
    Verdict = RunRecordVerdict::Unavailable; // The reply was lost.
  const auto Asking = this->Requests.find(O.Request);
  if (Asking != this->Requests.end())
    Asking->second.Mail.emplace_back(
        RunRecordVerdictReceived{O.Request, Verdict});
}

void RequestSimulation::restart(std::size_t At) {
  std::vector<RequestId> Gone;
  for (auto &[Id, H] : this->Requests) {
    if (H.Router != At)
      continue;
    Gone.push_back(Id);
    if (!H.Parent)
      this->Calls[H.Of].Lost = true;
    else if (!H.Answered)
      this->answerParent(Id, H, RequestOutcome::Unknown);
  }
  for (RequestId Id : Gone) {
    this->Requests.erase(Id);
    if (this->chance(50))
      this->StoreOrders.erase(Id);
  }
  this->replace(At);
}

void RequestSimulation::drain(std::size_t At) {
  if (this->Routers[1 - At].Draining)
    return;
  this->Routers[At].Draining = true;
  this->tell(1 - At, ViewChanged{viewFor(1 - At, true)});
  this->tell(At, DrainRequested{});
}

void RequestSimulation::replace(std::size_t At) {
  RequestSettings S;
  S.Seed = this->Random();
  S.Limits.MaxWaiting = 3;
  S.Records.MaxEndedKeys = 2;
  ++this->Life;
  std::erase_if(this->Doubled, [&](const auto &D) { return D.first == At; });
  std::erase_if(this->Requests, [&](const auto &R) {
    return R.second.Router == At && R.second.Answered;
  });
  Router &R = this->Routers[At];
  R.Table = std::make_unique<RequestTable>(S);
  R.Queue.clear();
  R.Slots.clear();
  R.Draining = false;
  this->tell(At, ViewChanged{viewFor(At, this->Routers[1 - At].Draining)});
  if (this->Routers[1 - At].Table)
    this->tell(1 - At, ViewChanged{viewFor(1 - At, false)});
}

void RequestSimulation::passTime(Duration Step) {
  this->Now += Step;
  for (std::size_t N = 0; N < RouterCount; ++N)
    this->tell(N, Tick{});
}

} // namespace parsleywing::test
