#include "Process/Fleet.h"

#include "FreeAddress.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/SHA2Engine.h>
#include <Poco/StreamCopier.h>
#include <Poco/UUIDGenerator.h>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace parsleywing::test {

std::string freeAddress() { return parsleywing::test::freeLoopbackAddress(); }

ChildProcess::ChildProcess(const std::string &Program,
                           std::vector<std::string> Arguments,
                           const std::string &LogFile) {
  const std::string Path = std::string(BINARY_FOLDER) + "/" + Program;
  std::vector<char *> ArgumentPointers{const_cast<char *>(Path.c_str())};
  for (std::string &Argument : Arguments)
    ArgumentPointers.push_back(Argument.data());
  ArgumentPointers.push_back(nullptr);
  this->Pid = ::fork();
  if (this->Pid != 0)
    return;
  // A failed assertion ends a test without running destructors. The signal then
  // ends this process.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The program must not inherit signals that the test ignores.
  std::signal(SIGPIPE, SIG_DFL);
  const int Log = ::open(LogFile.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::execv(Path.c_str(), ArgumentPointers.data());
  ::_exit(127);
}

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : Pid(std::exchange(Other.Pid, 0)) {}

ChildProcess::~ChildProcess() {
  if (this->Pid == 0)
    return;
  ::kill(this->Pid, SIGKILL);
  ::waitpid(this->Pid, nullptr, 0);
}

void ChildProcess::signal(int Number) const {
  // Zero and negative IDs would signal process groups.
  if (this->Pid > 0)
    ::kill(this->Pid, Number);
}

void ChildProcess::kill() {
  this->signal(SIGKILL);
  this->wait();
}

int ChildProcess::wait() {
  int Status = 0;
  ::waitpid(this->Pid, &Status, 0);
  this->Pid = 0;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
}

bool ChildProcess::ended() {
  if (this->Pid != 0 && ::waitpid(this->Pid, nullptr, WNOHANG) == this->Pid)
    this->Pid = 0;
  return this->Pid == 0;
}

TemporaryFolder::TemporaryFolder()
    : Path(
          std::filesystem::temp_directory_path() /
          ("parsleywing-" +
           Poco::UUIDGenerator::defaultGenerator().createRandom().toString())) {
  std::filesystem::create_directories(this->Path);
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Ignored;
  std::filesystem::remove_all(this->Path, Ignored);
}

std::string TemporaryFolder::write(const std::string &Name,
                                   const std::string &Text) const {
  std::ofstream(this->Path / Name) << Text;
  return this->path(Name);
}

std::string TemporaryFolder::path(const std::string &Name) const {
  return (this->Path / Name).string();
}

bool waitForListener(const std::string &Address) {
  constexpr int MaxAttempts = 500;
  constexpr auto PollInterval = std::chrono::milliseconds(20);
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    try {
      const Poco::Net::StreamSocket Probe{Poco::Net::SocketAddress(Address)};
      return true;
    } catch (const Poco::Exception &) {
      std::this_thread::sleep_for(PollInterval);
    }
  }
  return false;
}

CallerResponse callRouter(const std::string &Address, const std::string &Key,
                          const std::string &Body) {
  CallerResponse Result;
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Poco::Net::HTTPRequest Request("POST", "/v1/responses", "HTTP/1.1");
    Request.set("Authorization", "Bearer " + Key);
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    Result.Status = Response.getStatus();
    Result.Outcome = Response.get("X-Outcome", "");
    Result.RequestId = Response.get("X-Request-Id", "");
    Result.RetryAfter = Response.get("Retry-After", "");
    Poco::StreamCopier::copyToString(In, Result.Body);
  } catch (const Poco::Exception &Error) {
    Result.Body = Error.displayText();
  }
  return Result;
}

std::string digestOfKey(const std::string &Key) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Key);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

} // namespace parsleywing::test
