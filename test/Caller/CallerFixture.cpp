#include "Caller/CallerFixture.h"

#include "FreeAddress.h"

#include <Poco/DigestEngine.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/SHA2Engine.h>
#include <array>
#include <thread>

namespace parsleywing::test {

namespace {

std::string digestOf(const std::string &Key) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Key);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

DeclarationsPtr declarationsFor(const std::string &EngineAddress,
                                const std::string &ServiceAddress,
                                std::uint32_t Slots) {
  auto Declared = std::make_shared<Declarations>();
  const auto Model = idOf<ServiceId>("advisory");
  const auto Plain = idOf<ServiceId>("records");
  const auto Server = idOf<ServerId>("engine");
  const auto Books = idOf<ServerId>("books");
  Declared->Accounts[idOf<AccountId>("kettle")] = AccountDeclaration{
      "kettle", 1, digestOf("kettle-key"), {Model, Plain}, 1000};
  Declared->Accounts[idOf<AccountId>("ledger")] =
      AccountDeclaration{"ledger", 1, digestOf("ledger-key"), {Model}, 1000};
  Declared->Services[Model] =
      ServiceDeclaration{"advisory", ServiceKind::Engine, true, {Server}, {}};
  Declared->Services[Plain] =
      ServiceDeclaration{"records", ServiceKind::Plain, false, {Books}, {}};
  Declared->Servers[Server] = ServerDeclaration{"engine", EngineAddress, "z1",
                                                FencingCheck::Ignored, Slots};
  Declared->Servers[Books] = ServerDeclaration{"books", ServiceAddress, "z1",
                                               FencingCheck::Ignored, Slots};
  return Declared;
}

constexpr Incarnation FixtureIncarnation = 7;

CallerSettings withAddress(CallerSettings Settings,
                           const FixtureRouter &Router) {
  Settings.Address = freeAddress();
  Settings.RouterName = Router.Name;
  return Settings;
}

/// Routers that share a wire each decide on slots locally.
RouterCoreSettings coreFor(const CallerSettings &Settings,
                           const FixtureRouter &Router) {
  RouterCoreSettings Core;
  if (!Router.Wire)
    return Core;
  Core.Fairness.Policy = LocalOnlyPolicy{};
  Core.Membership.Self = {idOf<RouterId>(Router.Name),
                          FixtureIncarnation,
                          0,
                          Router.Name,
                          Settings.Address,
                          Settings.Address};
  Core.Membership.Seeds = {"127.0.0.1:1"};
  return Core;
}

} // namespace

std::string freeAddress() { return parsleywing::test::freeLoopbackAddress(); }

bool eventually(const std::function<bool()> &Condition) {
  constexpr int MaxAttempts = 1000;
  constexpr auto Pause = std::chrono::milliseconds(10);
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Pause);
  }
  return false;
}

RawCaller::RawCaller(const std::string &Address)
    : Socket(Poco::Net::SocketAddress(Address)) {
  this->Socket.setReceiveTimeout(Poco::Timespan(10, 0));
  this->Socket.setNoDelay(true);
}

void RawCaller::send(const std::string &Bytes) {
  this->Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
}

std::string RawCaller::readToEnd() { return this->readUntil({}); }

std::string RawCaller::readUntil(const std::string &Text) {
  std::string Response;
  std::array<char, 4096> Buffer{};
  try {
    while (Text.empty() || Response.find(Text) == std::string::npos) {
      const int Count = this->Socket.receiveBytes(Buffer.data(), Buffer.size());
      if (Count <= 0)
        break;
      Response.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  } catch (const Poco::Exception &) {
    // Reset or timeout: return what has been received.
  }
  return Response;
}

void PeerWire::add(RouterId Router, ControlLoop &Control) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Routers[Router] = &Control;
}

void PeerWire::remove(RouterId Router) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Routers.erase(Router);
}

void PeerWire::deliver(RouterId From, const PeerPart &Part) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &[Router, Control] : this->Routers)
    if (Router != From)
      Control->post(PeerPartReceived{From, FixtureIncarnation, Part, ""});
}

CallerFixture::CallerFixture(CallerSettings NewSettings, std::uint32_t Slots,
                             Duration Step, const FixtureRouter &Router)
    : Self(Router), Settings(withAddress(std::move(NewSettings), Router)),
      Control(Clock::steady(), coreFor(this->Settings, Router)) {
  standin::EngineOptions Options;
  Options.Address = freeAddress();
  Options.Step = Step;
  this->Engine = std::make_unique<standin::EngineStandIn>(Options);
  this->Engine->start();
  this->Service = std::make_unique<standin::PlainServiceStandIn>("127.0.0.1:0");
  this->Service->start();
  this->Control.setSink([this](const Action &A) { this->execute(A); });
  this->Server =
      std::make_unique<CallerServer>(this->Settings, this->Control, "7");
  const DeclarationsPtr Declared =
      declarationsFor(Options.Address, this->Service->address(), Slots);
  this->Server->context().setDeclarations(Declared);
  this->Control.post(DeclarationsChanged{Declared});
  this->Control.start();
  if (this->Self.Wire)
    this->Self.Wire->add(idOf<RouterId>(this->Self.Name), this->Control);
  PARSLEYWING_INVARIANT(this->Server->start().has_value(),
                        "the free address can be bound");
}

CallerFixture::~CallerFixture() {
  if (this->Self.Wire)
    this->Self.Wire->remove(idOf<RouterId>(this->Self.Name));
}

void CallerFixture::execute(const Action &NewAction) {
  if (const auto *Claim = std::get_if<ClaimRunRecord>(&NewAction)) {
    ++this->Claims;
    this->Control.post(
        RunRecordVerdictReceived{Claim->Request, RunRecordVerdict::Claimed});
  }
  const auto Name = idOf<RouterId>(this->Self.Name);
  const auto *Send = std::get_if<SendToPeer>(&NewAction);
  if (Send && this->Self.Wire)
    this->Self.Wire->deliver(Name, Send->Part);
  const auto *Contact = std::get_if<ContactAddress>(&NewAction);
  if (Contact && this->Self.Wire)
    this->Self.Wire->deliver(Name, Contact->Message);
}

std::string CallerFixture::exchange(const std::string &Bytes) const {
  RawCaller Caller(this->Settings.Address);
  Caller.send(Bytes);
  return Caller.readToEnd();
}

std::string CallerFixture::post(const std::string &Body,
                                const std::string &MoreHeaders,
                                const std::string &Key) {
  return postTo("/v1/responses", Body, MoreHeaders, Key);
}

std::string CallerFixture::postTo(const std::string &Path,
                                  const std::string &Body,
                                  const std::string &MoreHeaders,
                                  const std::string &Key) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: r1\r\nConnection: close\r\n"
         "Authorization: Bearer " +
         Key + "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n" +
         MoreHeaders + "\r\n" + Body;
}

int statusOfResponse(const std::string &Response) {
  constexpr std::string_view Version = "HTTP/1.1 ";
  if (!Response.starts_with(Version))
    return 0;
  return std::stoi(Response.substr(Version.size(), 3));
}

bool isProblem(const std::string &Response, int Status,
               const std::string &Type) {
  const auto Contains = [&](const std::string &Part) {
    return Response.find(Part) != std::string::npos;
  };
  return statusOfResponse(Response) == Status &&
         Contains("application/problem+json") &&
         Contains("\"urn:parsleywing:problem:" + Type + "\"") &&
         Contains("X-Request-Id: r1-7-") && Contains("X-Outcome: ") &&
         Contains("\"request_id\":\"r1-7-") && Response.ends_with("}");
}

} // namespace parsleywing::test
