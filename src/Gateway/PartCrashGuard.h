#ifndef PARSLEYWING_GATEWAY_PARTCRASHGUARD_H
#define PARSLEYWING_GATEWAY_PARTCRASHGUARD_H

#include "Crash/PartCrashRegistry.h"
#include "Gateway/RouterMessenger.h"
#include "Placement/PromptPart.h"
#include "Runtime/Metrics.h"

#include <functional>

#include <random>
#include <string>
#include <vector>

namespace parsleywing {

/// An attempt that was lost when its server crashed.
struct LostAttempt {
  RequestIdentity Request;
  /// The parts of its prompt that other requests may share. Empty if the server
  /// has answered it for so long that its parts cannot have crashed it.
  std::vector<PartId> Parts;
  TimePoint SentAt{};
  /// The request was refused otherwise.
  bool IsProbe = false;
};

/// The parts of a prompt that other requests may share: all but the last.
std::vector<PartId> sharedParts(const std::vector<PromptPart> &Prompt);

/// Keeps requests with prompt parts that crash servers from the servers. Holds
/// the facts that `PartCrashRegistry` decides on, tells them to the other
/// routers, and logs the decisions.
///
/// New facts are broadcast once, and then gossiped to one router at a time,
/// those of refused parts each time. A router that starts requests the facts of
/// some others.
///
/// Used on the event loop's thread only.
class PartCrashGuard {
public:
  PartCrashGuard(EventLoop &L, RouterMessenger &R, std::uint64_t RouterProcess,
                 Metrics &M);
  PartCrashGuard(const PartCrashGuard &) = delete;
  PartCrashGuard &operator=(const PartCrashGuard &) = delete;

  /// `OnRefused` is called after parts were refused that active requests may
  /// have. `OnAttributed` is called with all crashes that are attributed to
  /// refused parts whenever these change.
  void start(std::function<void()> OnRefused,
             std::function<void(const std::set<ServerProcess> &)> OnAttributed);

  /// A server's process has crashed with these attempts of this router.
  void onCrash(const ServerProcess &Process,
               const std::vector<LostAttempt> &Lost);

  /// A server has answered a request with these parts that it began to answer
  /// at `BegunAt`: completely, or for `SurvivalTime`.
  void onAnswer(const std::vector<PartId> &Parts, TimePoint BegunAt);

  /// After this time, the answer to a request shows that its parts do not crash
  /// the server.
  static constexpr Duration SurvivalTime = std::chrono::seconds(1);

  /// Whether any part is suspected, so that answers matter.
  bool hasSuspects() const { return this->Registry.size() > 0; }

  using Combination = PartCrashRegistry::Combination;

  /// The parts for which the prompt must not be sent to servers; empty if it
  /// may be sent.
  Combination refusedParts(const std::vector<PromptPart> &Prompt) const;
  /// Permits one probe of refused parts, as `CrashDetector::acquireProbe` does
  /// for a request.
  bool acquireProbe(const Combination &Parts);
  /// An acquired probe is being sent to a server.
  void recordProbe(const Combination &Parts);
  /// It has not been sent after all.
  void withdrawProbe(const Combination &Parts);

  /// Accepts a part again at all routers, on an operator's demand. Returns
  /// whether it was suspected.
  bool accept(PartId Part);

  /// Must be called when the list of routers has changed.
  void updateRouters();
  void onReport(const PartCrashReport &Report,
                const Poco::Net::SocketAddress &From);

  const PartCrashRegistry &registry() const { return this->Registry; }

private:
  void recordFacts(const std::vector<PartCrash> &Facts);
  void decide();
  void logChange(const PartCrashRegistry::Change &Changed);
  void tick();
  void gossip();
  void broadcast(const std::vector<PartCrash> &Facts);
  PartCrashReport makeReport(std::vector<PartCrash> Facts);
  std::vector<PartCrashReport> makeReports(const std::vector<PartCrash> &Facts);

  EventLoop &Loop;
  RouterMessenger &Routers;
  std::uint64_t RouterProcess;
  std::uint64_t LastNumber = 0;
  Counter &Cleared;
  std::function<void()> OnRefused;
  std::function<void(const std::set<ServerProcess> &)> OnAttributed;
  PartCrashRegistry Registry;
  std::uint64_t Ticks = 0;
  bool ReportsRequested = false;
  std::mt19937_64 Random;
};

/// A part, and several, as they appear in log lines and in the state dump.
std::string partText(PartId Part);
std::string combinationText(const std::vector<PartId> &Parts);

} // namespace parsleywing

#endif
