#ifndef PARSLEYWING_TEST_PROCESS_FLEET_H
#define PARSLEYWING_TEST_PROCESS_FLEET_H

#include <cstdint>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace parsleywing::test {

/// A loopback address that was unused a moment ago.
std::string freeAddress();

/// A child process running a program of this repository, killed by the
/// destructor.
class ChildProcess {
public:
  /// Starts a program of the build folder, with its output in `LogFile`.
  ChildProcess(const std::string &Program, std::vector<std::string> Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&) = delete;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int Number) const;

  /// Waits for the exit. Returns the exit code, or 128 plus the signal number.
  int wait();

  /// Sends SIGKILL and waits for the exit.
  void kill();

  /// Whether the process has exited; if so, the exit code is discarded.
  bool ended();

  int id() const { return this->Pid; }

private:
  int Pid = 0;
};

/// A new folder in the temporary folder of the system, removed by the
/// destructor.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  /// Writes a file and returns its path.
  std::string write(const std::string &Name, const std::string &Text) const;
  std::string path(const std::string &Name) const;

private:
  std::filesystem::path Path;
};

/// Waits until something accepts connections at the address. Returns false
/// after 10 s.
bool waitForListener(const std::string &Address);

/// A response to a caller.
struct CallerResponse {
  int Status = 0;
  std::string Outcome;
  std::string RequestId;
  std::string RetryAfter;
  std::string Body;
};

/// Sends one request to a router and reads the complete response.
CallerResponse callRouter(const std::string &Address, const std::string &Key,
                          const std::string &Body);

/// Returns the `key_sha256` value of a key.
std::string digestOfKey(const std::string &Key);

/// Polls the condition until it holds. Returns false after 20 s.
bool waitUntil(const std::function<bool()> &Condition);

/// Waits until routers that have just started have earned the retries of the
/// budget's floor.
void waitForRetryFloor();

/// Sends one request to a stand-in or an operator address. Returns the response
/// body, or an empty text if there is no response.
std::string httpGet(const std::string &Address, const std::string &Path);
std::string httpPost(const std::string &Address, const std::string &Path,
                     const std::string &Body);

/// A request that a caller sends to a router of a `TestFleet`.
struct Call {
  std::string Account = "kettle"; ///< Its key is `Account` + "-key".
  std::string Service = "advisory";
  int Tokens = 3; ///< The stand-in responds with "t0 t1 t2 ".
  std::string IdempotencyKey = {};
  bool Stream = true;
  int TimeoutSeconds = 0; ///< Zero omits the header.
};

/// The result of a request.
struct CallResult {
  int Status = 0;        ///< Zero if there was no response.
  std::string Outcome;   ///< From the header, or a stream's last event.
  std::string Reason;    ///< From a stream's last event, or the problem's type.
  std::string LastEvent; ///< "response.completed" or "response.incomplete".
  std::string Text;      ///< The concatenated deltas of the stream.
  std::string RetryAfter;
  std::string RequestId;
  std::string Body;
  int FinalResponses = 0; ///< Errors and final events received; must be one.
  std::chrono::milliseconds Elapsed{};

  /// Whether the request completed and the text is t0 to tN, once each.
  bool isComplete(int Tokens) const;
  /// Formats the result in one line for assertion messages.
  std::string describe() const;
};

/// Sends one request and reads the response to its end. If `OnText` is given,
/// it is called with the text received so far after each read; if it returns
/// false, the caller disconnects.
CallResult
sendCall(const std::string &Address, const Call &C,
         const std::function<bool(const std::string &)> &OnText = {});

/// The configuration of a `TestFleet`.
struct FleetPlan {
  int Routers = 2;
  int Engines = 2;
  int PlainServices = 0;
  bool Store = true;
  std::vector<std::string> Accounts = {"kettle", "gulf"};
  /// Lines added to the section of each account, such as
  /// "max_queued_requests = 4\n".
  std::string AccountLines = {};
  int MaxConcurrent = 8;    ///< Slots of an engine, declared and enforced.
  int StepMilliseconds = 5; ///< Time per token of an engine.
  /// Sections or lines added to the settings of every router.
  std::string Settings = {};
};

/// Runs routers r0, r1, ..., engines s0, s1, ..., plain services p0, p1, ...
/// and a store as processes on free ports, with all files in one temporary
/// folder. The constructor returns when all are listening (`ready()`).
///
/// Services: "advisory" (repeatable) and "batch" (not repeatable) on all
/// engines, and "records" (plain, not repeatable) on the plain services. Every
/// account may use all of them. The routers know each other, use the store as
/// their platform and start with the file `declarations()`; nothing has been
/// applied to the store. The key of account X is "X-key".
///
///     TestFleet Fleet({.Routers = 3, .Engines = 1});
///     const CallResult Result =
///         sendCall(Fleet.callerAddress(0), {.Tokens = 20});
///     Fleet.router(0).kill();
///     Fleet.startRouter(0); // a new process at the same addresses
///     Fleet.engine(0).signal(SIGSTOP);
///     Fleet.engineFaults(0, R"({"cut_after":5})");
///     Fleet.storeFaults(R"({"awayMs":2000})");
///     Fleet.executionsOfKey("k");
class TestFleet {
public:
  explicit TestFleet(FleetPlan P = {});

  /// Whether every process is listening.
  bool ready() const { return this->Ready; }

  std::size_t routers() const { return this->Routers.size(); }
  const std::string &callerAddress(int Router) const;
  const std::string &operatorAddress(int Router) const;
  const std::string &engineAddress(int Engine) const;
  const std::string &plainAddress(int Service) const;
  const std::string &storeAddress() const { return this->StoreAddress; }
  /// The paths of the declarations file and of a router's settings file.
  std::string declarations() const;
  std::string settings(int Router) const;

  ChildProcess &router(int Router);
  ChildProcess &engine(int Engine);
  ChildProcess &plain(int Service);
  ChildProcess &store();

  /// Start a process again, also after it was killed. They return false if it
  /// does not listen. A stand-in loses its state when it is killed.
  bool startRouter(int Router);
  bool startEngine(int Engine);
  bool startPlainService(int Service);
  bool startStore();

  /// Sets the faults of a stand-in; see docs/BACKENDS.md and
  /// docs/CONFIGURATION.md. "{}" clears the faults of an engine.
  void engineFaults(int Engine, const std::string &Json) const;
  void storeFaults(const std::string &Json) const;

  /// The number of executions with this idempotency key at all engines since
  /// the start, from the log that the engines write. Kills lose none.
  int executionsOfKey(const std::string &Key) const;
  /// The same by the identity that the router gave the request.
  int executionsOfRequest(const std::string &RequestId) const;
  /// New requests that have reached an engine since its start, with refused
  /// ones; -1 if it does not respond.
  int arrivalsAt(int Engine) const;
  /// Requests that run and that wait at an engine; -1 if it does not respond.
  int runningAt(int Engine) const;
  int waitingAt(int Engine) const;
  /// Running requests of all engines.
  int running() const;
  /// Requests without a final response at a router; -1 if it does not respond.
  int openRequestsAt(int Router) const;

  TemporaryFolder &folder() { return this->Folder; }

private:
  struct Node {
    std::string Name;
    std::string Address;
    std::string Operators;
    std::string Peers;
    std::unique_ptr<ChildProcess> Process;
  };

  struct Execution {
    std::string Identity;
    std::string Key;
  };

  std::vector<Execution> executions() const;
  void writeDeclarations() const;
  void writeSettings(const Node &Router) const;
  bool start(Node &N, const std::string &Program,
             std::vector<std::string> Arguments);

  FleetPlan Plan;
  TemporaryFolder Folder;
  std::string StoreAddress;
  std::vector<Node> Routers;
  std::vector<Node> Engines;
  std::vector<Node> PlainServiceNodes;
  Node StoreNode;
  bool Ready = false;
};

} // namespace parsleywing::test

#endif
