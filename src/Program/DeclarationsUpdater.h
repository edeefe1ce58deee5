#ifndef PARSLEYWING_PROGRAM_DECLARATIONSUPDATER_H
#define PARSLEYWING_PROGRAM_DECLARATIONSUPDATER_H

#include "Decision/Configuration/ConfigurationTypes.h"
#include "Decision/Declarations.h"
#include "Operator/DeclarationsReader.h"
#include "Runtime/Result.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace parsleywing {

/// Turns each configuration that becomes active into declarations. A change
/// that directly follows the last one and only concerns client accounts is
/// applied in place to the second-to-last declarations once they are no longer
/// referenced, or else to a copy of the last ones. Everything else is parsed
/// completely. Uses the memory of two sets of declarations. Called by a single
/// thread; declarations may be released on any thread.
class DeclarationsUpdater {
public:
  DeclarationsUpdater() : Recycled(std::make_shared<RecyclePool>()) {}

  /// Returns the same declarations as parsing the complete text.
  /// `FollowsLast` is true if the changes are those since the previous call.
  Result<DeclarationsPtr> update(const ActivateConfiguration &Next,
                                 bool FollowsLast);

  /// The number of updates made without complete parsing or a copy; for tests
  /// and benchmarks.
  std::uint64_t inPlaceUpdates() const { return this->InPlaceUpdates; }

private:
  /// Receives declarations that are no longer referenced, for reuse.
  struct RecyclePool {
    std::mutex Mutex;
    std::unique_ptr<Declarations> Latest;
  };

  std::optional<AccountChanges>
  accountOnlyChanges(const ActivateConfiguration &Next) const;
  bool updateKeyIndex(const AccountChanges &Changes);
  std::unique_ptr<Declarations> acquireBase();
  Result<DeclarationsPtr> parseComplete(const ActivateConfiguration &Next);
  DeclarationsPtr publish(std::unique_ptr<Declarations> Made);

  std::shared_ptr<RecyclePool> Recycled;
  /// Null if the next text must be parsed completely.
  DeclarationsPtr LastDeclarations;
  std::uint64_t PreviousGeneration = 0;
  /// From `PreviousGeneration` to `LastDeclarations`.
  std::optional<AccountChanges> LastChanges;
  std::unordered_map<std::string, AccountId> AccountByKeyDigest;
  std::uint64_t InPlaceUpdates = 0;
};

} // namespace parsleywing

#endif
