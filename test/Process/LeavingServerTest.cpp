#include "Process/Fleet.h"

#include "Operator/OperatorClient.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <array>
#include <criterion/criterion.h>
#include <list>
#include <sstream>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// The time in which a change must reach all routers, also on a busy machine.
constexpr auto PropagationTime = std::chrono::seconds(8);
constexpr std::size_t RouterCount = 3;

std::string sendHttpRequest(const std::string &Address,
                            const std::string &Method, const std::string &Path,
                            const std::string &Body = "") {
  Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
  Poco::Net::HTTPRequest Request(Method, Path, "HTTP/1.1");
  Request.setContentLength(static_cast<std::streamsize>(Body.size()));
  Session.sendRequest(Request) << Body;
  Poco::Net::HTTPResponse Response;
  std::string Text;
  Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Text);
  return Text;
}

/// Three routers, of which only the first is connected to the platform, and two
/// engines.
class LeavingFleet {
public:
  LeavingFleet() {
    this->start("parsleywing-standin", "store", {"--store", this->Store});
    for (const std::string &Engine : this->Engines) {
      this->start("parsleywing-standin", "engine", {"--engine", Engine});
      cr_assert(waitForListener(Engine));
    }
    cr_assert(waitForListener(this->Store));
    const std::string Declarations = this->Folder.write(
        "declarations.ini",
        "[account kettle]\nkey_sha256 = " + digestOfKey("kettle-key") +
            "\nservices = advisory\n[service advisory]\nservers = s0, s1\n"
            "[server s0]\navailability_zone = z1\naddress = " +
            this->Engines[0] +
            "\n[server s1]\navailability_zone = z2\naddress = " +
            this->Engines[1] + "\n");
    std::ostringstream PeerLines;
    for (std::size_t Router = 0; Router < RouterCount; ++Router)
      PeerLines << "r" << Router << " = " << this->PeerAddresses[Router]
                << "\n";
    for (std::size_t Router = 0; Router < RouterCount; ++Router) {
      const std::string Name = "r" + std::to_string(Router);
      std::ostringstream Text;
      Text << "[router]\nname = " << Name << "\navailability_zone = z1\n"
           << "[listen]\ncallers = " << this->CallerAddresses[Router]
           << "\npeers = " << this->PeerAddresses[Router]
           << "\noperators = " << this->OperatorAddresses[Router]
           << "\n[peers]\nsecret = a-secret-of-the-fleet\n"
           << PeerLines.str() << "[declarations]\nfile = " << Declarations
           << "\n";
      if (Router == 0)
        Text << "[platform]\naddress = " << this->Store << "\n";
      const std::string Settings =
          this->Folder.write(Name + ".ini", Text.str());
      this->start("parsleywing", Name, {"router", "--settings", Settings});
    }
    for (const std::string &Address : this->CallerAddresses)
      cr_assert(waitForListener(Address));
    waitForRetryFloor();
  }

  /// Sends one request to each router; all must be served.
  void callAllRouters() const {
    for (const std::string &Address : this->CallerAddresses) {
      const CallerResponse Response = callRouter(
          Address, "kettle-key",
          R"({"model":"advisory","input":"tokens=3","stream":true})");
      cr_assert_eq(Response.Status, 200, "%s", Response.Body.c_str());
      cr_assert(Response.Body.find("response.completed") != std::string::npos);
    }
  }

  void callFor(std::chrono::seconds Time) const {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End)
      this->callAllRouters();
  }

  /// Calls until the engine has executed more requests than before.
  bool callUntilExecutedAt(std::size_t Engine, std::size_t Before) const {
    const auto End = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (std::chrono::steady_clock::now() < End) {
      this->callAllRouters();
      if (this->executions(Engine) > Before)
        return true;
    }
    return false;
  }

  std::size_t executions(std::size_t Engine) const {
    const std::string Text =
        sendHttpRequest(this->Engines[Engine], "GET", "/standin/executions");
    return Poco::JSON::Parser()
        .parse(Text)
        .extract<Poco::JSON::Object::Ptr>()
        ->getObject("by_identity")
        ->size();
  }

  /// The attempts of all routers at backend servers, including refused ones.
  double attempts() const {
    const std::string Name = "\nparsleywing_backend_attempts_total ";
    double Sum = 0;
    for (const std::string &Address : this->OperatorAddresses) {
      const auto Text = OperatorClient(Address).get("/metrics");
      cr_assert(Text.has_value());
      const std::size_t Found = Text->find(Name);
      cr_assert_neq(Found, std::string::npos);
      Sum += std::stod(Text->substr(Found + Name.size()));
    }
    return Sum;
  }

  void setVmState(const std::string &State) const {
    sendHttpRequest(this->Store, "POST", "/standin/vms",
                    R"({"name":"s0","state":")" + State + "\"}");
  }

  void setFault(const std::string &Json) const {
    sendHttpRequest(this->Engines[0], "POST", "/standin/faults", Json);
  }

private:
  void start(const std::string &Program, const std::string &Log,
             std::vector<std::string> Arguments) {
    this->Processes.emplace_back(Program, std::move(Arguments),
                                 this->Folder.path(Log + ".log"));
  }

  TemporaryFolder Folder;
  std::string Store = freeAddress();
  std::array<std::string, 2> Engines{freeAddress(), freeAddress()};
  std::array<std::string, RouterCount> CallerAddresses{
      freeAddress(), freeAddress(), freeAddress()};
  std::array<std::string, RouterCount> PeerAddresses{
      freeAddress(), freeAddress(), freeAddress()};
  std::array<std::string, RouterCount> OperatorAddresses{
      freeAddress(), freeAddress(), freeAddress()};
  std::list<ChildProcess> Processes;
};

} // namespace

// Guards against new work for a backend server that leaves: the platform's list
// marks it as leaving and later as live again, but two of the three routers
// cannot read the list. Fails if routers send no server notices to their peers
// (docs/PEERS.md).
Test(LeavingServer, VmListReachesRoutersWithoutAStore, .timeout = 240) {
  const LeavingFleet Fleet;
  cr_assert(Fleet.callUntilExecutedAt(0, 0));
  Fleet.setVmState("leaving");
  Fleet.callFor(PropagationTime);
  const std::size_t Before = Fleet.executions(0);
  const std::size_t BeforeAtOther = Fleet.executions(1);
  Fleet.callFor(std::chrono::seconds(5));
  cr_assert_eq(Fleet.executions(0), Before);
  cr_assert_gt(Fleet.executions(1), BeforeAtOther);
  Fleet.setVmState("live");
  cr_assert(Fleet.callUntilExecutedAt(0, Before));
}

// Guards against refusing a request that another engine would serve: an engine
// refuses new work because it drains, and later recovers. Only the router that
// owns the server probes it, so a retry at another router could go back to the
// slot that the refused attempt has freed; a refusal therefore counts as a
// report of the engine. The test does not prove that notices alone suffice,
// since each router may also learn from a refusal.
Test(LeavingServer, DrainReportReachesAllRouters, .timeout = 240) {
  const LeavingFleet Fleet;
  cr_assert(Fleet.callUntilExecutedAt(0, 0));
  Fleet.setFault(R"({"leaving":true})");
  Fleet.callFor(PropagationTime);
  const std::size_t Before = Fleet.executions(0);
  const double Attempts = Fleet.attempts();
  for (int Round = 0; Round < 20; ++Round)
    Fleet.callAllRouters();
  cr_assert_eq(Fleet.attempts() - Attempts, 20.0 * RouterCount);
  Fleet.setFault("{}");
  cr_assert(Fleet.callUntilExecutedAt(0, Before));
}
