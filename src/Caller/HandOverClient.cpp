#include "Caller/HandOverClient.h"

#include <Poco/String.h>

namespace parsleywing {

namespace {

constexpr const char *TimeoutHeader = "X-Request-Timeout-Seconds";
constexpr std::size_t MinTailBytes = 4096;
constexpr std::string_view EventLine = "\nevent: response.";
constexpr std::string_view CompletedEvent = "\nevent: response.completed\n";
constexpr std::string_view IncompleteEvent = "\nevent: response.incomplete\n";

std::string valueOf(const HeaderList &Headers, const std::string &Name) {
  return RawRequest{{}, {}, Headers, {}}.header(Name);
}

} // namespace

AttemptOutcome HandOverClient::run(
    const HandOverRequest &HandOver, Duration TimeLeft,
    const std::function<void(std::function<void()>)> &SetCanceller,
    const std::function<bool()> &Progress) {
  const std::string &Secret = this->E.Context.Settings.FleetSecret;
  if (HandOver.Address.empty() || Secret.empty() ||
      TimeLeft <= Duration::zero())
    return AttemptOutcome::NotSent;
  const PlainCall Call = this->makeCall(HandOver, TimeLeft);
  this->Identity = Call.Identity;
  PlainListener Listener;
  Listener.SetCanceller = SetCanceller;
  Listener.HeadReceived = [&](int Status, const HeaderList &Headers) {
    return this->onHead(Status, Headers);
  };
  Listener.BodyReceived = [&](std::string_view Chunk) {
    return !this->Forwarding || (Progress() && this->onBody(Chunk));
  };
  const PlainResult Result = this->E.Context.Routers.run(Call, Listener);
  if (Result.Outcome != AttemptOutcome::Completed)
    return Result.Outcome;
  if (this->Forwarding && this->IsEventStream)
    return this->streamOutcome();
  return this->ReportedOutcome;
}

/// Each hand-over has its own identity, so that the response to an earlier one
/// cannot be mistaken for the response to this one.
PlainCall HandOverClient::makeCall(const HandOverRequest &HandOver,
                                   Duration TimeLeft) const {
  const RawRequest &Raw = this->Request.Raw;
  PlainCall Call;
  Call.Address = HandOver.Address;
  Call.Method = Raw.Method;
  Call.Path = Raw.Target;
  Call.Body = Raw.Body;
  Call.Identity = this->E.Identity + "." + std::to_string(HandOver.Attempt);
  for (const auto &[Name, Value] : Raw.Headers)
    if (Poco::icompare(Name, HandOverHeader) != 0 &&
        Poco::icompare(Name, TimeoutHeader) != 0 &&
        Poco::icompare(Name, "Expect") != 0)
      Call.Headers.emplace_back(Name, Value);
  const auto Seconds =
      std::chrono::ceil<std::chrono::seconds>(TimeLeft).count();
  Call.Headers.emplace_back(TimeoutHeader, std::to_string(Seconds));
  Call.Headers.emplace_back(
      HandOverHeader,
      signHandOverToken({Call.Identity, HandOver.RecordHeld}, Raw,
                        this->E.Context.Settings.FleetSecret));
  return Call;
}

bool HandOverClient::onHead(int Status, const HeaderList &Headers) {
  if (valueOf(Headers, AnsweredIdHeader) != this->Identity)
    return true; // Response to another request: ignore it.
  const std::string Type = valueOf(Headers, "Content-Type");
  const std::string Outcome = valueOf(Headers, "X-Outcome");
  const bool IsProblem = Type.starts_with("application/problem+json");
  if (Outcome == nameOf(RequestOutcomeNames, RequestOutcome::NotRun)) {
    this->ReportedOutcome = AttemptOutcome::Rejected;
    return true;
  }
  // A service may send problem details of its own. In a router's problem,
  // "completed" refers to an earlier request with the same key.
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

bool HandOverClient::onBody(std::string_view Chunk) {
  if (this->IsEventStream) {
    this->StreamTail += Chunk;
    if (this->StreamTail.size() > 2 * MinTailBytes)
      this->StreamTail.erase(0, this->StreamTail.size() - MinTailBytes);
  }
  return this->Forwarder.forwardBody(Chunk);
}

/// The data of an event is JSON without line breaks, so a line that starts with
/// `EventLine` can only be the name of an event.
AttemptOutcome HandOverClient::streamOutcome() {
  const auto Last = this->StreamTail.rfind(EventLine);
  const std::string Name =
      Last == std::string::npos ? "" : this->StreamTail.substr(Last);
  this->Incomplete = Name.starts_with(IncompleteEvent);
  return Name.starts_with(CompletedEvent) ? AttemptOutcome::Completed
                                          : AttemptOutcome::Interrupted;
}

} // namespace parsleywing
