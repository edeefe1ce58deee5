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

/// An address on loopback that nobody listened on a moment ago.
std::string freeAddress();

/// A process of this repository, killed when the object goes.
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

  /// Waits for the end; the exit code, or 128 and the number of the signal.
  int wait();

  /// Ends it by SIGKILL and waits until it is gone.
  void kill();

  /// Whether it has ended; then its exit code is lost.
  bool ended();

  int id() const { return this->Pid; }

private:
  int Pid = 0;
};

/// A folder of its own under the system's temporary folder, removed at the end.
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

/// Waits until something accepts connections there; false after 10 s.
bool waitForListener(const std::string &Address);

/// An answer to a caller.
struct CallerAnswer {
  int Status = 0;
  std::string Outcome;
  std::string RequestId;
  std::string RetryAfter;
  std::string Body;
};

/// Sends one request to a router and reads the whole answer.
CallerAnswer callRouter(const std::string &Address, const std::string &Key,
                        const std::string &JsonBody);

/// The `key_sha256` value of a key.
std::string digestOfKey(const std::string &Key);

/// Asks until the condition holds; false after 20 s.
bool waitUntil(const std::function<bool()> &Holds);

/// One call of a stand-in or an operator address: the body of the answer,
/// empty where none came.
std::string getFrom(const std::string &Address, const std::string &Path);
std::string postTo(const std::string &Address, const std::string &Path,
                   const std::string &Body);

/// What a caller sends to a router of a `TestFleet`.
struct Call {
  std::string Account = "kettle"; ///< Its key is `Account` + "-key".
  std::string Service = "advisory";
  int Tokens = 3; ///< The stand-in answers "t0 t1 t2 ".
  std::string IdempotencyKey = {};
  bool Stream = true;
  int TimeoutSeconds = 0; ///< Zero leaves the header out.
};

/// What the caller got, read to its end.
struct CallResult {
  int Status = 0;        ///< Zero where no answer came.
  std::string Outcome;   ///< Of the header, or of a stream's last event.
  std::string Reason;    ///< Of a stream's last event, or the problem's type.
  std::string LastEvent; ///< "response.completed" or "response.incomplete".
  std::string Text;      ///< The pieces of the stream joined.
  std::string RetryAfter;
  std::string RequestId;
  std::string Body;
  int FinalAnswers = 0; ///< Errors and last events seen; one if all is well.
  std::chrono::milliseconds Took{};

  /// Whether it ended as completed and its text is t0 to tN, once each.
  bool isWhole(int Tokens) const;
  /// The whole of it in one line, for the message of an assertion.
  std::string describe() const;
};

/// Sends one request and reads the answer to its end. Where `OnText` is given,
/// it gets the text so far after each read; false makes the caller go away.
CallResult
sendCall(const std::string &Address, const Call &C,
         const std::function<bool(const std::string &)> &OnText = {});

/// The shape of a `TestFleet`.
struct FleetPlan {
  int Routers = 2;
  int Engines = 2;
  int PlainServices = 0;
  bool Store = true;
  std::vector<std::string> Accounts = {"kettle", "gulf"};
  /// Lines for the section of each account, such as
  /// "max_queued_requests = 4\n".
  std::string AccountLines = {};
  int MaxConcurrent = 8;    ///< Slots of an engine, declared and kept by it.
  int StepMilliseconds = 5; ///< Time of an engine for one token.
  /// Sections or lines added to every router's settings.
  std::string Settings = {};
};

/// Routers r0, r1, ..., engines s0, s1, ..., plain services p0, p1, ... and a
/// store as processes on free ports, with all files in one temporary folder.
/// The constructor returns when all listen (`ready()`).
///
/// Services: "advisory" (repeatable) and "batch" (not repeatable) on all
/// engines, and "records" (plain, not repeatable) on the plain services. Every
/// account may use all of them. The routers know each other, have the store
/// as their platform and start with the file `declarations()`; nothing was
/// applied. The key of account X is "X-key".
///
///     TestFleet Fleet({.Routers = 3, .Engines = 1});
///     const CallResult Got = sendCall(Fleet.callers(0), {.Tokens = 20});
///     Fleet.router(0).kill();
///     Fleet.startRouter(0); // the same addresses, a new process
///     Fleet.engine(0).signal(SIGSTOP);
///     Fleet.engineFaults(0, R"({"cut_after":5})");
///     Fleet.storeFaults(R"({"awayMs":2000})");
///     Fleet.executionsOfKey("k");
class TestFleet {
public:
  explicit TestFleet(FleetPlan P = {});

  /// Whether every process listens.
  bool ready() const { return this->Ready; }

  std::size_t routers() const { return this->Routers.size(); }
  const std::string &callers(int Router) const;
  const std::string &operators(int Router) const;
  const std::string &engineAddress(int Engine) const;
  const std::string &plainAddress(int Service) const;
  const std::string &storeAddress() const { return this->StoreAt; }
  /// The path of the declarations file, and of a router's settings file.
  std::string declarations() const;
  std::string settings(int Router) const;

  ChildProcess &router(int Router);
  ChildProcess &engine(int Engine);
  ChildProcess &plain(int Service);
  ChildProcess &store();

  /// Start the process anew, also after it was killed; false where it does
  /// not listen. A killed stand-in has forgotten everything.
  bool startRouter(int Router);
  bool startEngine(int Engine);
  bool startPlain(int Service);
  bool startStore();

  /// Sets the faults of a stand-in; see docs/BACKENDS.md and
  /// docs/CONFIGURATION.md. "{}" ends those of an engine.
  void engineFaults(int Engine, const std::string &Json) const;
  void storeFaults(const std::string &Json) const;

  /// Runs with this idempotency key at all engines since their start, as the
  /// engines wrote them down; kills do not lose any.
  int executionsOfKey(const std::string &Key) const;
  /// The same by the identity that the router gave a request.
  int executionsOfRequest(const std::string &RequestId) const;
  /// Requests that an engine runs now, and those that wait at it; -1 where it
  /// does not answer.
  int runningAt(int Engine) const;
  int waitingAt(int Engine) const;
  /// The sum over the engines.
  int running() const;
  /// Requests without a final answer at a router; -1 where it is away.
  int openAt(int Router) const;

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
             std::vector<std::string> Words);

  FleetPlan Plan;
  TemporaryFolder Folder;
  std::string StoreAt;
  std::vector<Node> Routers;
  std::vector<Node> Engines;
  std::vector<Node> Plains;
  Node StoreNode;
  bool Ready = false;
};

} // namespace parsleywing::test

#endif
