#ifndef PARSLEYWING_REVIEW_STANDIN_ENGINEFARM_H
#define PARSLEYWING_REVIEW_STANDIN_ENGINEFARM_H

#include "Fleet.h"

#include <unordered_map>

namespace review {

/// Sound model runners, all on one thread: each answers a request with a stream
/// of as many events as its field `Length-Hint` says. A runner crashes if it is
/// told to, or begins to write an answer on a prompt with `DeadlyPart`; it is
/// back after `DownTime`, under a new identity.
class EngineFarm {
public:
  static constexpr std::chrono::milliseconds EventInterval{60};
  static constexpr std::chrono::milliseconds PrefillTime{150};

  static constexpr std::chrono::milliseconds DownTime{3000};

  /// The part of a prompt that crashes runners; set before `start`.
  std::string DeadlyPart;
  /// Called on the farm's thread with the index and identity of a runner that
  /// has crashed or is back; set before `start`.
  std::function<void(std::size_t, const std::string &)> OnCrash;
  std::function<void(std::size_t, const std::string &)> OnBack;

  EngineFarm() = default;
  ~EngineFarm();
  EngineFarm(const EngineFarm &) = delete;
  EngineFarm &operator=(const EngineFarm &) = delete;

  /// Must not be called after `start`.
  void add(const std::string &Id, const std::string &Ip);
  void start();
  /// Crashes a runner soon.
  void crash(std::size_t Index) { this->CrashWanted = static_cast<int>(Index); }
  /// The runner that has begun to work on the request; empty if there is none.
  std::string runnerOf(const std::string &RequestId);

private:
  struct Peer {
    int Descriptor = -1;
    std::string Runner;
    std::string Input;
    /// The request in work; empty if there is none.
    std::string RequestId;
    int Sent = 0;
    int Events = 0;
    Clock::time_point NextAt;
    bool IsDeadly = false;
    bool Ended = false;
  };
  struct Listener {
    int Descriptor = -1;
    std::string Runner;
    std::string Ip;
    int Starts = 0;
    Clock::time_point BackAt;
  };

  void run();
  void acceptAll(const Listener &From);
  static void receive(Peer &From);
  void begin(Peer &From);
  static void proceed(Peer &To);
  void crashRunner(std::size_t Index);
  void restartRunners();

  std::vector<Listener> Listeners;
  std::vector<Peer> Peers;
  std::mutex Mutex;
  std::unordered_map<std::string, std::string> RunBy;
  std::atomic<int> CrashWanted{-1};
  std::atomic<bool> Stopping{false};
  std::thread Worker;
};

} // namespace review

#endif
