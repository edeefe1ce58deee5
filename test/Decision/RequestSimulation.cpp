#include "Decision/RequestSimulation.h"

#include "Runtime/Overloaded.h"

#include <algorithm>

namespace parsleywing::test {

namespace {

constexpr std::size_t ChunksPerResponse = 4;
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

template <typename Container>
auto RequestSimulation::randomElement(Container &Elements) {
  return std::next(Elements.begin(),
                   static_cast<long>(this->below(Elements.size())));
}

void RequestSimulation::reportViolation(const std::string &Text) {
  if (this->Violation.empty())
    this->Violation = Text;
}

void RequestSimulation::step() {
  const std::size_t Choice = this->below(200);
  if (Choice < 8)
    this->startCall();
  else if (Choice < 26)
    this->admitRequest();
  else if (Choice < 80)
    this->deliverEvent();
  else if (Choice < 134)
    this->advanceTransfer();
  else if (Choice < 174)
    this->advanceServer();
  else if (Choice < 186)
    this->advanceStore();
  else if (Choice < 196)
    this->advanceTime(std::chrono::milliseconds(this->chance(10) ? 2000 : 50));
  else if (Choice == 196)
    this->disconnectCaller();
  else if (Choice == 197 && this->chance(40))
    this->drain(this->below(RouterCount));
  else if (Choice == 198 && this->chance(30))
    this->restart(this->below(RouterCount));
  else if (Choice == 199 && (this->StoreDown || this->chance(20)))
    this->StoreDown = !this->StoreDown;
}

void RequestSimulation::settle() {
  for (int Second = 0; Second < 200; ++Second) {
    while (std::ranges::any_of(this->Requests, [](const auto &R) {
      return !R.second.PendingEvents.empty();
    }))
      this->deliverEvent();
    this->advanceTime(std::chrono::seconds(1));
  }
  for (const Call &C : this->Calls)
    if (!C.Finished && !C.RouterKilled)
      this->reportViolation("a caller got no final response");
  for (const Router &R : this->Routers)
    if (!R.Slots.empty())
      this->reportViolation("a slot was not released");
}

void RequestSimulation::handleEvent(std::size_t Router,
                                    const RequestEvent &Event) {
  const RequestActions Actions =
      this->Routers[Router].Table->handle(this->Now, Event);
  for (const RequestAction &Emitted : Actions)
    this->execute(Router, Emitted);
}

void RequestSimulation::execute(std::size_t At, const RequestAction &Emitted) {
  Router &R = this->Routers[At];
  std::visit(
      Overloaded{
          [&](const QueueRequest &A) {
            R.Queue.push_back(A.Description.Request);
          },
          [&](const WithdrawRequest &A) { std::erase(R.Queue, A.Request); },
          [&](const ChargeRequest &A) {
            if (!R.Slots.contains(A.Request))
              this->reportViolation("a request without a slot was charged");
          },
          [&](const ReleaseSlot &A) {
            if (R.Slots.erase(A.Request) != 1)
              this->reportViolation("a slot was released twice");
          },
          [&](const StartAttempt &A) {
            RouterRequest &Request = this->Requests.at(A.Request);
            this->Streams.push_back(Stream{Request.OfCall, A.Server});
            Request.Streams[A.Attempt] = this->Streams.size() - 1;
            Request.ActiveTransfer = Transfer{A.Attempt, Transfer::Kind::Start,
                                              this->Streams.size() - 1};
          },
          [&](const ResumeAttempt &A) {
            RouterRequest &Request = this->Requests.at(A.Request);
            const StreamIndex Source = Request.Streams.at(A.OriginalAttempt);
            if (A.Offset !=
                    this->Calls[Request.OfCall].ForwardedChunks.size() ||
                this->Streams[Source].Server != A.Server)
              this->reportViolation(
                  "a stream was resumed at another offset or server");
            Request.ActiveTransfer =
                Transfer{A.Attempt, Transfer::Kind::Resume, Source};
          },
          [&](const HandOverRequest &A) {
            this->Requests.at(A.Request).ActiveTransfer =
                Transfer{A.Attempt, Transfer::Kind::HandOver};
          },
          [&](const CancelAttempt &A) {
            RouterRequest &Request = this->Requests.at(A.Request);
            if (Request.ActiveTransfer &&
                Request.ActiveTransfer->Attempt == A.Attempt)
              Request.ActiveTransfer->Cancelled = true;
          },
          [&](const FinishRequest &A) { this->onFinished(A); },
          [&](const DrainFinished &) { this->replace(At); },
          [&](const auto &A) {
            this->RecordOperations[A.Request].push_back(A);
          },
      },
      Emitted);
}

void RequestSimulation::onFinished(const FinishRequest &Response) {
  RouterRequest &Request = this->Requests.at(Response.Request);
  Call &C = this->Calls[Request.OfCall];
  if (Request.Finished)
    this->reportViolation("a request got two final responses");
  Request.Finished = true;
  const bool Served = Response.Reason == ResponseReason::Served;
  if (Served && C.ForwardedChunks.size() != ChunksPerResponse)
    this->reportViolation("an incomplete response was reported as complete");
  if (Response.Outcome == RequestOutcome::NotRun && !Request.Parent) {
    C.ReportedNotRun = true;
    if (C.Runs > 0)
      this->reportViolation("a request that ran was reported as not run");
  }
  if (Response.Outcome == RequestOutcome::Completed && !Served &&
      this->RunsByKey[{C.Description.Account, C.Description.IdempotencyKey}] !=
          1)
    this->reportViolation("a request that did not run was reported as run");
  if (Request.Parent)
    this->endParentTransfer(Response.Request, Request, Response.Outcome);
  else
    C.Finished = true;
}

void RequestSimulation::endParentTransfer(RequestId ChildId,
                                          const RouterRequest &Child,
                                          RequestOutcome Outcome) {
  auto Found = this->Requests.find(*Child.Parent);
  if (Found == this->Requests.end() || !Found->second.ActiveTransfer ||
      Found->second.ActiveTransfer->Child != ChildId)
    return;
  AttemptOutcome ParentOutcome = AttemptOutcome::Interrupted;
  if (Outcome == RequestOutcome::Completed)
    ParentOutcome = AttemptOutcome::Completed;
  if (Outcome == RequestOutcome::NotRun)
    ParentOutcome = AttemptOutcome::Rejected;
  this->endTransfer(Found->first, Found->second, ParentOutcome);
}

void RequestSimulation::startCall() {
  Call C;
  RequestDescription &D = C.Description;
  D.Account = AccountId{this->below(2)};
  D.Service = ServiceId{1};
  D.Repeatable = this->chance(40);
  if (!D.Repeatable && this->chance(70))
    D.IdempotencyKey =
        "k" + std::to_string(this->Calls.size() / 12 * 3 + this->below(3));
  D.Kind = this->chance(80) ? ServiceKind::Engine : ServiceKind::Plain;
  D.Deadline = this->Now + std::chrono::seconds(5 + this->below(60));
  this->Calls.push_back(C);
  this->addRequest(this->below(RouterCount), this->Calls.size() - 1, {}, false);
}

void RequestSimulation::addRequest(std::size_t At, CallIndex OfCall,
                                   std::optional<RequestId> Parent,
                                   bool RecordHeld) {
  RequestDescription &D = this->Calls[OfCall].Description;
  D.Request = RequestId{this->NextRequest++};
  D.RecordHeldElsewhere = RecordHeld;
  if (!Parent)
    D.Identity = std::to_string(this->LastIncarnation) + "-" +
                 std::to_string(D.Request.Value);
  this->Requests[D.Request] = RouterRequest{OfCall, At, Parent, {}, {}, {}};
  this->handleEvent(At, RequestArrived{D});
}

void RequestSimulation::disconnectCaller() {
  if (this->Requests.empty())
    return;
  const auto Chosen = this->randomElement(this->Requests);
  if (!Chosen->second.Parent)
    Chosen->second.PendingEvents.emplace_back(
        CallerDisconnected{Chosen->first});
}

void RequestSimulation::admitRequest() {
  const std::size_t At = this->below(RouterCount);
  Router &R = this->Routers[At];
  if (R.Queue.empty())
    return;
  const auto Chosen = this->randomElement(R.Queue);
  const RequestId Request = *Chosen;
  R.Queue.erase(Chosen);
  R.Slots.insert(Request);
  this->handleEvent(At, RequestAdmitted{Request, ServerId{1 + this->below(3)}});
}

void RequestSimulation::deliverEvent() {
  if (!this->DuplicatedEvents.empty() && this->chance(30)) {
    const auto Chosen = this->randomElement(this->DuplicatedEvents);
    const auto [At, Event] = *Chosen;
    this->DuplicatedEvents.erase(Chosen);
    this->handleEvent(At, Event);
    return;
  }
  std::vector<RequestId> Waiting;
  for (const auto &[Id, Request] : this->Requests)
    if (!Request.PendingEvents.empty())
      Waiting.push_back(Id);
  if (Waiting.empty())
    return;
  RouterRequest &Request =
      this->Requests.at(Waiting[this->below(Waiting.size())]);
  const RequestEvent Event = Request.PendingEvents.front();
  Request.PendingEvents.pop_front();
  if (this->chance(10))
    this->DuplicatedEvents.emplace_back(Request.Router, Event);
  this->handleEvent(Request.Router, Event);
}

void RequestSimulation::advanceTransfer() {
  std::vector<RequestId> Busy;
  for (const auto &[Id, Request] : this->Requests)
    if (Request.ActiveTransfer)
      Busy.push_back(Id);
  if (Busy.empty())
    return;
  const RequestId Id = Busy[this->below(Busy.size())];
  RouterRequest &Request = this->Requests.at(Id);
  if (!Request.ActiveTransfer->Connected)
    this->connect(Id, Request);
  else
    this->transferData(Id, Request);
}

void RequestSimulation::connect(RequestId Id, RouterRequest &Request) {
  Transfer &T = *Request.ActiveTransfer;
  if (T.Cancelled || this->chance(15)) {
    this->endTransfer(Id, Request, AttemptOutcome::NotSent);
    return;
  }
  T.Connected = true;
  T.Stalled = this->chance(6);
  if (T.Type == Transfer::Kind::HandOver) {
    this->connectHandOver(Id, Request);
    return;
  }
  Stream &S = this->Streams[T.Source];
  if (T.Type == Transfer::Kind::Resume && !S.Running) {
    this->endTransfer(Id, Request, AttemptOutcome::Rejected);
    return;
  }
  S.RequestSent = true;
  Request.PendingEvents.emplace_back(AttemptSent{Id, T.Attempt});
}

void RequestSimulation::connectHandOver(RequestId Id, RouterRequest &Request) {
  Request.ActiveTransfer->Child = RequestId{this->NextRequest};
  const bool Keyed =
      !this->Calls[Request.OfCall].Description.IdempotencyKey.empty();
  this->addRequest(1 - Request.Router, Request.OfCall, Id, Keyed);
}

void RequestSimulation::transferData(RequestId Id, RouterRequest &Request) {
  Transfer &T = *Request.ActiveTransfer;
  if (T.Cancelled || this->chance(5)) {
    const bool Hangs = T.Cancelled && this->chance(10);
    const auto Outcome =
        T.Cancelled ? AttemptOutcome::Cancelled : AttemptOutcome::Interrupted;
    if (T.Child) {
      const auto Child = this->Requests.find(*T.Child);
      if (Child != this->Requests.end())
        Child->second.PendingEvents.emplace_back(
            CallerDisconnected{Child->first});
    }
    if (Hangs)
      Request.ActiveTransfer.reset();
    else
      this->endTransfer(Id, Request, Outcome);
    return;
  }
  if (T.Stalled || T.Type == Transfer::Kind::HandOver)
    return;
  const Stream &S = this->Streams[T.Source];
  if (S.Refused)
    this->endTransfer(Id, Request, AttemptOutcome::Rejected);
  else if (this->Calls[Request.OfCall].ForwardedChunks.size() < S.Generated)
    this->forwardChunk(Id, Request);
  else if (S.Generated == ChunksPerResponse)
    this->endTransfer(Id, Request, AttemptOutcome::Completed);
}

void RequestSimulation::forwardChunk(RequestId Id, RouterRequest &Request) {
  const auto Parent = Request.Parent ? this->Requests.find(*Request.Parent)
                                     : this->Requests.end();
  const bool Linked = Parent != this->Requests.end() &&
                      Parent->second.ActiveTransfer &&
                      Parent->second.ActiveTransfer->Child == Id;
  if (Request.Parent && !Linked) {
    this->endTransfer(Id, Request, AttemptOutcome::CallerDisconnected);
    return;
  }
  std::vector<StreamIndex> &Chunks =
      this->Calls[Request.OfCall].ForwardedChunks;
  if (!Chunks.empty() && Chunks.back() != Request.ActiveTransfer->Source)
    this->reportViolation("a response was combined from two runs");
  Chunks.push_back(Request.ActiveTransfer->Source);
  Request.PendingEvents.emplace_back(
      AttemptProgressed{Id, Request.ActiveTransfer->Attempt, Chunks.size()});
  if (Linked)
    Parent->second.PendingEvents.emplace_back(AttemptProgressed{
        *Request.Parent, Parent->second.ActiveTransfer->Attempt,
        Chunks.size()});
}

void RequestSimulation::endTransfer(RequestId Id, RouterRequest &Request,
                                    AttemptOutcome Outcome) {
  const std::size_t Offset = this->Calls[Request.OfCall].ForwardedChunks.size();
  const AttemptNumber Attempt = Request.ActiveTransfer->Attempt;
  if (Request.ActiveTransfer->Type == Transfer::Kind::HandOver)
    Request.PendingEvents.emplace_back(
        HandOverEnded{Id, Attempt, Outcome, Offset});
  else
    Request.PendingEvents.emplace_back(
        AttemptEnded{Id, Attempt, Outcome, Offset, Offset});
  Request.ActiveTransfer.reset();
}

void RequestSimulation::advanceServer() {
  std::vector<StreamIndex> Unfinished;
  for (StreamIndex N = 0; N < this->Streams.size(); ++N) {
    const Stream &S = this->Streams[N];
    if (S.RequestSent && !S.Refused && S.Generated < ChunksPerResponse)
      Unfinished.push_back(N);
  }
  if (Unfinished.empty())
    return;
  Stream &S = this->Streams[Unfinished[this->below(Unfinished.size())]];
  if (S.Running) {
    ++S.Generated;
    return;
  }
  if (this->chance(20)) {
    S.Refused = true;
    return;
  }
  S.Running = true;
  Call &C = this->Calls[S.OfCall];
  ++C.Runs;
  if (C.ReportedNotRun)
    this->reportViolation("a request ran after it was reported as not run");
  if (C.Description.Repeatable)
    return;
  if (C.Runs > 1)
    this->reportViolation("a non-repeatable request ran twice");
  if (!C.Description.IdempotencyKey.empty() &&
      ++this->RunsByKey[{C.Description.Account, C.Description.IdempotencyKey}] >
          1)
    this->reportViolation("two calls with the same idempotency key ran");
}

void RequestSimulation::advanceStore() {
  if (this->RecordOperations.empty())
    return;
  const auto Chosen = this->randomElement(this->RecordOperations);
  const RecordOperation Operation = Chosen->second.front();
  Chosen->second.pop_front();
  if (Chosen->second.empty())
    this->RecordOperations.erase(Chosen);
  const bool Lost = this->chance(this->StoreDown ? 90 : 5);
  std::visit(Overloaded{
                 [&](const ClaimRunRecord &O) {
                   if (!Lost)
                     this->claimRecord(O);
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
             Operation);
}

void RequestSimulation::claimRecord(const ClaimRunRecord &Claim) {
  const Record &R =
      this->Records
          .try_emplace({Claim.Account, Claim.Key}, Record{Claim.Identity})
          .first->second;
  RunRecordVerdict Verdict = RunRecordVerdict::TakenByOther;
  if (R.Identity == Claim.Identity)
    Verdict = RunRecordVerdict::Claimed;
  else if (R.Completed)
    Verdict = RunRecordVerdict::CompletedBefore;
  if (this->chance(5))
    Verdict = RunRecordVerdict::Unavailable; // The reply was lost.
  const auto Found = this->Requests.find(Claim.Request);
  if (Found != this->Requests.end())
    Found->second.PendingEvents.emplace_back(
        RunRecordVerdictReceived{Claim.Request, Verdict});
}

void RequestSimulation::restart(std::size_t At) {
  std::vector<RequestId> Lost;
  for (auto &[Id, Request] : this->Requests) {
    if (Request.Router != At)
      continue;
    Lost.push_back(Id);
    if (!Request.Parent)
      this->Calls[Request.OfCall].RouterKilled = true;
    else if (!Request.Finished)
      this->endParentTransfer(Id, Request, RequestOutcome::Unknown);
  }
  for (RequestId Id : Lost) {
    this->Requests.erase(Id);
    if (this->chance(50))
      this->RecordOperations.erase(Id);
  }
  this->replace(At);
}

void RequestSimulation::drain(std::size_t At) {
  if (this->Routers[1 - At].Draining)
    return;
  this->Routers[At].Draining = true;
  this->handleEvent(1 - At, ViewChanged{viewFor(1 - At, true)});
  this->handleEvent(At, DrainRequested{});
}

void RequestSimulation::replace(std::size_t At) {
  RequestSettings S;
  S.Seed = this->Random();
  S.Limits.MaxWaiting = 3;
  S.Records.MaxEndedKeys = 2;
  ++this->LastIncarnation;
  std::erase_if(this->DuplicatedEvents,
                [&](const auto &D) { return D.first == At; });
  std::erase_if(this->Requests, [&](const auto &R) {
    return R.second.Router == At && R.second.Finished;
  });
  Router &R = this->Routers[At];
  R.Table = std::make_unique<RequestTable>(S);
  R.Queue.clear();
  R.Slots.clear();
  R.Draining = false;
  this->handleEvent(At,
                    ViewChanged{viewFor(At, this->Routers[1 - At].Draining)});
  if (this->Routers[1 - At].Table)
    this->handleEvent(1 - At, ViewChanged{viewFor(1 - At, false)});
}

void RequestSimulation::advanceTime(Duration Step) {
  this->Now += Step;
  for (std::size_t N = 0; N < RouterCount; ++N)
    this->handleEvent(N, Tick{});
}

} // namespace parsleywing::test
