#include "Stream/RouterProcess.h"

#include "FreeAddress.h"

#include <Poco/Exception.h>
#include <array>
#include <criterion/criterion.h>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

constexpr auto StartTimeout = 20s;

std::string routeText(const std::string &Name, const std::string &Kind,
                      const std::string &Service) {
  return R"({"name":")" + Name + R"(","hostname":"h","prefix":"/)" + Name +
         R"(/","kind":")" + Kind +
         R"(","timeoutMs":20000,"targetLatencyMs":500,"maxAttempts":2,)" +
         R"("resumable":false,"service":")" + Service + "\"}";
}

std::string serverText(const std::string &Address, const std::string &Service) {
  return R"({"service":")" + Service + R"(","address":")" + Address +
         R"(","zone":"a","slots":2000,"state":"ready",)"
         R"("version":"v1","seqNo":1,"coldLeftMs":0})";
}

} // namespace

RouterProcess::RouterProcess(const std::map<std::string, std::string> &Servers,
                             const std::string &Lines)
    : CallerAddress(freeLoopbackAddress()) {
  this->Store.put("op/config",
                  R"({"version":1,"routes":[)" +
                      routeText("safe", "safe", "other") + "," +
                      routeText("unsafe", "unsafe", "plain") + "," +
                      routeText("once", "streaming", "plain") +
                      R"(],"services":[{"name":"plain"},{"name":"other"}],)"
                      R"("limits":{"tokensPerS":90000},)"
                      R"("tenants":[{"name":"one","apiKeys":["k1"]}]})");
  for (const auto &[Address, Service] : Servers)
    this->Store.put("servers/" + Address, serverText(Address, Service));
  const std::string Settings = this->Folder.write(
      "router.ini",
      "[gateway]\nname = r0\nzone = a\ncallers = " + this->CallerAddress +
          "\npeers = " + freeLoopbackAddress() + "\n" + Lines +
          "[store]\naddress = " + this->Store.address() +
          "\n[bounds]\nretry-ratio = 100\n"
          "[log]\ntarget = stdout\n");
  this->Process = std::make_unique<ChildProcess>(
      "parsleywing",
      std::vector<std::string>{"gateway", "--settings", Settings},
      this->Folder.path("router.log"));
  this->waitUntilServing();
}

void RouterProcess::waitUntilServing() {
  const auto Until = std::chrono::steady_clock::now() + StartTimeout;
  while (std::chrono::steady_clock::now() < Until) {
    std::this_thread::sleep_for(50ms);
    try {
      Poco::Net::StreamSocket Caller = this->connect();
      sendText(Caller, request("/safe/probe", "probe", 1s));
      bool WasReset = false;
      if (readResponse(Caller, WasReset).starts_with("HTTP/1.1 200"))
        return;
    } catch (const Poco::Exception &) {
      // The router does not listen yet.
    }
  }
  cr_assert(false, "the router does not serve");
}

Poco::Net::StreamSocket RouterProcess::connect() const {
  Poco::Net::StreamSocket Socket;
  Socket.connect(Poco::Net::SocketAddress(this->CallerAddress),
                 Poco::Timespan(2, 0));
  Socket.setReceiveTimeout(Poco::Timespan(10, 0));
  return Socket;
}

std::size_t RouterProcess::residentBytes() const {
  std::ifstream Statistics("/proc/" + std::to_string(this->Process->id()) +
                           "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Statistics >> Total >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string RouterProcess::log() const {
  std::ifstream File(this->Folder.path("router.log"));
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string RouterProcess::request(const std::string &Path,
                                   const std::string &Id,
                                   std::chrono::milliseconds Deadline) {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Id +
         "\r\nDeadline-Ms: " + std::to_string(Deadline.count()) +
         "\r\nAuthorization: Token k1\r\n\r\n";
}

std::string readResponse(Poco::Net::StreamSocket &Connection, bool &WasReset) {
  std::string Response;
  std::array<char, 4096> Buffer{};
  WasReset = false;
  try {
    while (!isCompleteResponse(Response)) {
      const int Count = Connection.receiveBytes(Buffer.data(), Buffer.size());
      if (Count <= 0)
        break;
      Response.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  } catch (const Poco::Exception &) {
    WasReset = true;
  }
  return Response;
}

} // namespace parsleywing::test
