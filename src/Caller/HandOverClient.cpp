#include "Caller/HandOverClient.h"

#include <Poco/String.h>

namespace parsleywing {

namespace {

constexpr const char *TimeoutHeader = "X-Request-Timeout-Seconds";
constexpr std::size_t TailBytes = 4096;
constexpr std::string_view EventLine = "\nevent: response.";
constexpr std::string_view WholeEvent = "\nevent: response.completed\n";
constexpr std::string_view IncompleteEvent = "\nevent: response.incomplete\n";

std::string valueOf(const HeaderList &Headers, const std::string &Name) {
  return RawRequest{{}, {}, Headers, {}}.header(Name);
}

} // namespace

AttemptOutcome
HandOverClient::run(const HandOverRequest &Wanted, Duration Left,
                    const std::function<void(std::function<void()>)> &Breaker,
                    const std::function<bool()> &Progress) {
  const std::string &Secret = this->E.Context.Settings.FleetSecret;
  if (Wanted.Address.empty() || Secret.empty() || Left <= Duration::zero())
    return AttemptOutcome::NotSent;
  const PlainCall Call = this->makeCall(Wanted, Left);
  this->Identity = Call.Identity;
  PlainListener Listener;
  Listener.SetCanceller = Breaker;
  Listener.HeadReceived = [&](int Status, const HeaderList &Headers) {
    return this->onHead(Status, Headers);
  };
  Listener.BodyReceived = [&](std::string_view Piece) {
    return !this->Forwarding || (Progress() && this->onBody(Piece));
  };
  const PlainResult Ended = this->E.Context.Routers.run(Call, Listener);
  if (Ended.Outcome != AttemptOutcome::Completed)
    return Ended.Outcome;
  if (this->Forwarding && this->IsEventStream)
    return this->streamOutcome();
  return this->ReportedOutcome;
}

/// Each hand-over has an identity of its own, so that the answer to an earlier
/// one is not taken for this one's.
PlainCall HandOverClient::makeCall(const HandOverRequest &Wanted,
                                   Duration Left) const {
  const RawRequest &Raw = this->Request.Raw;
  PlainCall Call;
  Call.Address = Wanted.Address;
  Call.Method = Raw.Method;
  Call.Path = Raw.Target;
  Call.Body = Raw.Body;
  Call.Identity = this->E.Identity + "." + std::to_string(Wanted.Attempt);
  for (const auto &[Name, Value] : Raw.Headers)
    if (Poco::icompare(Name, HandOverHeader) != 0 &&
        Poco::icompare(Name, TimeoutHeader) != 0 &&
        Poco::icompare(Name, "Expect") != 0)
      Call.Headers.emplace_back(Name, Value);
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Left).count();
  Call.Headers.emplace_back(TimeoutHeader, std::to_string(Seconds));
  Call.Headers.emplace_back(
      HandOverHeader, signHandOverToken({Call.Identity, Wanted.RecordHeld}, Raw,
                                        this->E.Context.Settings.FleetSecret));
  return Call;
}

bool HandOverClient::onHead(int Status, const HeaderList &Headers) {
  if (valueOf(Headers, AnsweredIdHeader) != this->Identity)
    return true; // Of another request: nothing of it is believed.
  const std::string Type = valueOf(Headers, "Content-Type");
  const std::string Outcome = valueOf(Headers, "X-Outcome");
  const bool IsProblem = Type.starts_with("application/problem+json");
  if (Outcome == nameOf(RequestOutcomeNames, RequestOutcome::NotRun)) {
    this->ReportedOutcome = AttemptOutcome::Rejected;
    return true;
  }
  // A service may answer with problem details of its own; a router's problem
  // says "completed" only of an earlier request with the same key.
  const bool Served =
      Outcome.empty() ||
      Outcome == nameOf(RequestOutcomeNames, RequestOutcome::Completed);
  if (!Served || (IsProblem && this->Request.Kind == ServiceKind::Engine))
    return true;
  this->ReportedOutcome = AttemptOutcome::Completed;
  this->Forwarding = true;
  this->IsEventStream = this->Request.Kind == ServiceKind::Engine &&
                        Type.starts_with("text/event-stream");
  return this->Forwarder.forwardHead(Status, Headers);
}

bool HandOverClient::onBody(std::string_view Piece) {
  if (this->IsEventStream) {
    this->StreamTail += Piece;
    if (this->StreamTail.size() > 2 * TailBytes)
      this->StreamTail.erase(0, this->StreamTail.size() - TailBytes);
  }
  return this->Forwarder.forwardBody(Piece);
}

/// Text in an event is JSON without line ends of its own, so that a line that
/// begins so can only be an event's name.
AttemptOutcome HandOverClient::streamOutcome() {
  const auto Last = this->StreamTail.rfind(EventLine);
  const std::string Name =
      Last == std::string::npos ? "" : this->StreamTail.substr(Last);
  this->Incomplete = Name.starts_with(IncompleteEvent);
  return Name.starts_with(WholeEvent) ? AttemptOutcome::Completed
                                      : AttemptOutcome::Interrupted;
}

} // namespace parsleywing
