#ifndef PARSLEYWING_REVIEW_STANDIN_FLEET_H
#define PARSLEYWING_REVIEW_STANDIN_FLEET_H

#include "Http.h"
#include "Store.h"

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, CannotRun = 2 };

/// What was sent, answered and run, with seconds since the start of the case.
class Record {
public:
  explicit Record(const std::string &Path);

  double seconds() const;
  void line(const std::string &Text);

private:
  const Clock::time_point Start = Clock::now();
  std::mutex Mutex;
  std::ofstream File;
};

/// The figures of SYSTEM.md for the smallest deployment that the cases use.
namespace figures {
inline constexpr std::chrono::milliseconds Heartbeat{1200};
inline constexpr std::chrono::milliseconds ContactMs{3000};
inline constexpr std::chrono::milliseconds DrainMs{2000};
inline constexpr int CallerPort = 8783;
inline constexpr int ReadyPort = 8780;
inline constexpr int RunnerPort = 8621;
inline constexpr int StorePort = 8781;
} // namespace figures

/// Loopback addresses of this run, so that runs beside each other do not meet.
class Addresses {
public:
  Addresses();
  std::string next();

private:
  int Second;
  int Third;
  int Last = 0;
};

/// What the platform allows a router's process, and states in its settings.
struct MachineLimits {
  int MaxDescriptors = 4100;
  int MemoryMb = 110;
  std::string Cores = "0.25";
};

/// A router: the program of the deploy file, with settings made from the
/// project's template.
class Router {
public:
  Router(std::string RouterName, std::string Ip, std::string StoreAddress,
         std::string Folder, MachineLimits L = {});
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  void start();
  void signal(int Number) const;
  /// Ends the process at once.
  void kill();
  /// Whether the process has ended by itself, and how.
  bool hasEnded(int &Status);
  bool isReady() const;
  /// Waits for `isReady`; ends the case with `CannotRun` if that fails.
  void awaitReady(std::chrono::seconds Limit) const;

  const std::string Name;
  const std::string Address;

private:
  std::string settings() const;

  const std::string StoreEndpoint;
  const std::string TemporaryFolder;
  const MachineLimits Limits;
  pid_t Process = 0;
};

/// A runner's entry in the store.
struct RunnerEntry {
  std::string Id;
  std::string Service;
  std::string Address;
  std::string Zone;
  int Slots = 6;
  std::string Version = "v1";

  std::string text(std::int64_t SeqNo) const;
};

/// Writes the entries of runners at the interval of their heartbeats.
class Heartbeats {
public:
  explicit Heartbeats(Store &S);
  ~Heartbeats();
  Heartbeats(const Heartbeats &) = delete;
  Heartbeats &operator=(const Heartbeats &) = delete;

  void add(const RunnerEntry &Entry);
  /// Writes the entry no more, as the runner has crashed.
  void silence(const std::string &Id);
  /// Removes an entry for good and returns when the store had accepted that.
  Clock::time_point remove(const std::string &Id);

private:
  void run();

  Store &Target;
  std::mutex Mutex;
  std::map<std::string, RunnerEntry> Entries;
  std::int64_t SeqNo = 0;
  std::atomic<bool> Stopping{false};
  std::thread Writer;
};

/// Permits this program as many descriptors as it may have; ends the case if
/// these are fewer than it needs.
void raiseDescriptorLimit(int Needed);

std::string requestId();

/// Ends the case at once.
[[noreturn]] void endCase(Verdict Result);

} // namespace review

#endif
