#ifndef PARSLEYWING_GATEWAY_REMOVEDENTRIES_H
#define PARSLEYWING_GATEWAY_REMOVEDENTRIES_H

#include "Platform/StoreTypes.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleywing {

/// The latest removals of servers or of routers, so that an older list does not
/// restore what has left. Keeps a bounded number, and states from which
/// revision on it has all of them.
class RemovedEntries {
public:
  /// Records that an entry was removed at this revision, or had been by then.
  /// `StartedMs` is the start of the process that it was of, if known.
  void record(const std::string &Name, Revision At, std::int64_t StartedMs = 0);

  /// Whether the entry was removed at this revision or later.
  bool wasRemovedSince(const std::string &Name, Revision ModRevision) const;
  /// The latest start of a process of a removed entry; 0 if unknown.
  std::int64_t startOf(const std::string &Name) const;

  /// The names of the entries that were removed after a revision, and when.
  std::vector<std::pair<std::string, Revision>>
  removedAfter(Revision After) const;

  /// Of the recorded removals, those after this revision are still known.
  Revision knownAfter() const { return this->KnownAfter; }

private:
  struct Removal {
    Revision At = 0;
    std::int64_t StartedMs = 0;
  };

  void dropOldest();

  std::map<std::string, Removal> Removals;
  std::set<std::pair<Revision, std::string>> ByRevision;
  Revision KnownAfter = 0;
};

} // namespace parsleywing

#endif
