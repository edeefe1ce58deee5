#ifndef PARSLEYWING_PROGRAM_SERVERCHECKER_H
#define PARSLEYWING_PROGRAM_SERVERCHECKER_H

#include "Loop/ConnectCheck.h"

#include <functional>
#include <string>
#include <thread>

namespace parsleywing {

/// Checks on a thread of its own whether servers accept connections. Many
/// checks may be in progress at once, so unreachable servers do not delay the
/// checks of others.
class ServerChecker {
public:
  explicit ServerChecker(const Clock &Time);
  ~ServerChecker();
  ServerChecker(const ServerChecker &) = delete;
  ServerChecker &operator=(const ServerChecker &) = delete;

  /// Connects to a numeric address and calls `OnOutcome` once from the
  /// checker's thread, unless the checker is destroyed first. May be called
  /// from any thread; never blocks.
  void check(const std::string &Address,
             std::function<void(ConnectOutcome)> OnOutcome);

private:
  EventLoop Loop;
  std::thread Thread;
};

} // namespace parsleywing

#endif
