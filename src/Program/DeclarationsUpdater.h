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

/// Turns each configuration that is put in force into declarations. A change
/// that follows the last one and concerns client accounts alone costs what it
/// changes: it is made on the declarations before the last, once nobody holds
/// them, or else on a copy of the last. Everything else costs a whole read.
/// Takes the memory of two sets of declarations. One thread calls it;
/// declarations may be let go of on any thread.
class DeclarationsUpdater {
public:
  DeclarationsUpdater() : Recycled(std::make_shared<RecyclePool>()) {}

  /// What a whole read of the text gives. `FollowsTheLast` where the changes
  /// are those since the call before.
  Result<DeclarationsPtr> update(const PutInForce &Next, bool FollowsTheLast);

  /// Changes made without a whole read or a copy; for tests and measurements.
  std::uint64_t inPlaceUpdates() const { return this->InPlaceUpdates; }

private:
  /// Declarations that nobody holds any more come back here.
  struct RecyclePool {
    std::mutex Mutex;
    std::unique_ptr<Declarations> Latest;
  };

  std::optional<AccountChanges>
  accountOnlyChanges(const PutInForce &Next) const;
  bool updateKeyIndex(const AccountChanges &Changes);
  std::unique_ptr<Declarations> acquireBase();
  Result<DeclarationsPtr> parseComplete(const PutInForce &Next);
  DeclarationsPtr publish(std::unique_ptr<Declarations> Made);

  std::shared_ptr<RecyclePool> Recycled;
  DeclarationsPtr
      LastDeclarations; ///< Null where the next read must be a whole one.
  std::uint64_t PreviousGeneration = 0;
  std::optional<AccountChanges> LastChanges; ///< From `BeforeLast` to `Last`.
  std::unordered_map<std::string, AccountId> AccountByKeyDigest;
  std::uint64_t InPlaceUpdates = 0;
};

} // namespace parsleywing

#endif
