#include "Fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Values = std::map<std::string, std::string>;

std::set<pid_t> &startedProcesses() {
  static std::set<pid_t> Started;
  return Started;
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Fills in a template of settings as DEPLOY.md describes it: values, and
/// sections that are left out where there is no value.
std::string rendered(std::string Text, const Values &Known) {
  for (std::size_t Begin = 0;
       (Begin = Text.find("{{#")) != std::string::npos;) {
    const auto NameEnd = Text.find("}}", Begin);
    const std::string Name = Text.substr(Begin + 3, NameEnd - Begin - 3);
    const std::string Close = "{{/" + Name + "}}";
    const auto End = Text.find(Close, NameEnd);
    std::string Inner = Text.substr(NameEnd + 2, End - NameEnd - 2);
    const auto Found = Known.find(Name);
    if (Found == Known.end())
      Inner.clear();
    else if (const auto Dot = Inner.find("{{.}}"); Dot != std::string::npos)
      Inner.replace(Dot, 5, Found->second);
    Text.replace(Begin, End + Close.size() - Begin, Inner);
  }
  for (std::size_t Begin = 0; (Begin = Text.find("{{")) != std::string::npos;) {
    const auto End = Text.find("}}", Begin);
    const auto Found = Known.find(Text.substr(Begin + 2, End - Begin - 2));
    Text.replace(Begin, End + 2 - Begin,
                 Found == Known.end() ? std::string() : Found->second);
  }
  return Text;
}

} // namespace

Record::Record(const std::string &Path) : File(Path) {
  this->File << std::fixed << std::setprecision(3);
}

double Record::seconds() const {
  return std::chrono::duration<double>(Clock::now() - this->Start).count();
}

void Record::line(const std::string &Text) {
  const double Now = this->seconds();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->File << Now << " " << Text << std::endl;
}

Addresses::Addresses() {
  std::random_device Device;
  this->Second = static_cast<int>(64 + Device() % 128);
  this->Third = static_cast<int>(1 + Device() % 250);
}

std::string Addresses::next() {
  return "127." + std::to_string(this->Second) + "." +
         std::to_string(this->Third) + "." + std::to_string(++this->Last);
}

Router::Router(std::string RouterName, std::string Ip, std::string StoreAddress,
               std::string Folder, MachineLimits L)
    : Name(std::move(RouterName)), Address(std::move(Ip)),
      StoreEndpoint(std::move(StoreAddress)),
      TemporaryFolder(std::move(Folder)), Limits(std::move(L)) {}

Router::~Router() { this->kill(); }

std::string Router::settings() const {
  const std::string Ip = this->Address;
  const Values Known{
      {"nodeName", this->Name},
      {"zone", "arusha-hall-a"},
      {"ip", Ip},
      {"listen.front", Ip + ":" + std::to_string(figures::CallerPort)},
      {"listen.ready", Ip + ":" + std::to_string(figures::ReadyPort)},
      {"bounds.graceS", "8"},
      {"portRange.0", "7400"},
      {"limits.cpuShare", this->Limits.Cores},
      {"limits.maxFds", std::to_string(this->Limits.MaxDescriptors)},
      {"limits.memoryMb", std::to_string(this->Limits.MemoryMb)},
      {"platform.address", this->StoreEndpoint},
      {"bounds.revokeMs", "5000"},
      {"bounds.configApplyMs", "2000"},
      {"bounds.drainMs", "2000"},
      {"bounds.budgetRatio", "0.2"},
      {"bounds.budgetSlack", "52"},
      {"bounds.budgetWindowS", "10"},
      {"bounds.againS", "7.1"},
  };
  return rendered(readFile("deploy/router.ini"), Known);
}

void Router::start() {
  const std::string Settings =
      this->TemporaryFolder + "/" + this->Name + ".ini";
  std::ofstream(Settings) << this->settings();
  const std::string Log = this->TemporaryFolder + "/" + this->Name + ".log";
  const pid_t Child = ::fork();
  if (Child == 0) {
    // Ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Descriptor =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Descriptor, STDOUT_FILENO);
    ::dup2(Descriptor, STDERR_FILENO);
    ::close(Descriptor);
    const auto Most = static_cast<rlim_t>(this->Limits.MaxDescriptors);
    const rlimit Limit{Most, Most};
    ::setrlimit(RLIMIT_NOFILE, &Limit);
    ::execl("target/parsleywing", "target/parsleywing", "gateway", "--settings",
            Settings.c_str(), nullptr);
    std::_Exit(127);
  }
  this->Process = Child;
  startedProcesses().insert(Child);
}

void Router::signal(int Number) const {
  if (this->Process > 0)
    ::kill(this->Process, Number);
}

void Router::kill() {
  const pid_t Ended = std::exchange(this->Process, 0);
  if (Ended <= 0)
    return;
  ::kill(Ended, SIGKILL);
  ::waitpid(Ended, nullptr, 0);
  startedProcesses().erase(Ended);
}

bool Router::hasEnded(int &Status) {
  if (this->Process <= 0 || ::waitpid(this->Process, &Status, WNOHANG) <= 0)
    return false;
  startedProcesses().erase(std::exchange(this->Process, 0));
  return true;
}

bool Router::isReady() const {
  Connection Probe(Connection::connectTo(this->Address, figures::ReadyPort));
  if (!Probe.isOpen())
    return false;
  Probe.setTimeout(std::chrono::seconds(1));
  Message Answer;
  return Probe.send("GET /parsleywing/ready HTTP/1.1\r\nHost: ready\r\n"
                    "Connection: close\r\n\r\n") &&
         Probe.receive(Answer) && Answer.status() == 200;
}

void Router::awaitReady(std::chrono::seconds Limit) const {
  const auto Deadline = Clock::now() + Limit;
  while (!this->isReady()) {
    if (Clock::now() > Deadline) {
      std::cerr << this->Name << " does not become ready\n";
      endCase(Verdict::CannotRun);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

std::string RunnerEntry::text(std::int64_t SeqNo) const {
  return R"({"service":")" + this->Service + R"(","address":")" +
         this->Address + R"(","zone":")" + this->Zone + R"(","version":")" +
         this->Version + R"(","slots":)" + std::to_string(this->Slots) +
         R"(,"state":"ready","coldLeftMs":0,"seqNo":)" + std::to_string(SeqNo) +
         "}";
}

Heartbeats::Heartbeats(Store &S) : Target(S), Writer([this] { this->run(); }) {}

Heartbeats::~Heartbeats() {
  this->Stopping = true;
  this->Writer.join();
}

void Heartbeats::add(const RunnerEntry &Entry) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Entries[Entry.Id] = Entry;
  this->Target.put("servers/" + Entry.Id, Entry.text(++this->SeqNo));
}

void Heartbeats::silence(const std::string &Id) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Entries.erase(Id);
}

Clock::time_point Heartbeats::remove(const std::string &Id) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Entries.erase(Id);
  this->Target.remove("servers/" + Id);
  return Clock::now();
}

void Heartbeats::run() {
  while (!this->Stopping) {
    std::vector<std::string> Ids;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      for (const auto &[Id, Entry] : this->Entries)
        Ids.push_back(Id);
    }
    const auto Begin = Clock::now();
    for (std::size_t I = 0; I < Ids.size() && !this->Stopping; ++I) {
      std::this_thread::sleep_until(Begin + figures::Heartbeat *
                                                static_cast<int>(I) /
                                                static_cast<int>(Ids.size()));
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      const auto Found = this->Entries.find(Ids[I]);
      if (Found != this->Entries.end())
        this->Target.put("servers/" + Ids[I],
                         Found->second.text(++this->SeqNo));
    }
    std::this_thread::sleep_until(Begin + (Ids.empty()
                                               ? std::chrono::milliseconds(50)
                                               : figures::Heartbeat));
  }
}

void raiseDescriptorLimit(int Needed) {
  rlimit Limit{};
  ::getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &Limit);
  if (Limit.rlim_cur >= static_cast<rlim_t>(Needed))
    return;
  std::cerr << "the case needs " << Needed << " descriptors\n";
  endCase(Verdict::CannotRun);
}

std::string requestId() {
  static std::atomic<std::uint64_t> Count{0};
  static const std::uint64_t Run = std::random_device()();
  std::ostringstream Text;
  Text << std::hex << Run << std::setw(8) << std::setfill('0') << ++Count;
  return Text.str();
}

void endCase(Verdict Result) {
  for (const pid_t Each : startedProcesses())
    ::kill(Each, SIGKILL);
  for (const pid_t Each : startedProcesses())
    ::waitpid(Each, nullptr, 0);
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(static_cast<int>(Result));
}

} // namespace review
