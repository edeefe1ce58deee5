#ifndef PARSLEYWING_PLATFORM_CONFIGURATIONSTORE_H
#define PARSLEYWING_PLATFORM_CONFIGURATIONSTORE_H

#include "Decision/Configuration/ConfigurationManifest.h"
#include "Decision/Configuration/ConfigurationText.h"
#include "Platform/Backoff.h"
#include "Platform/StoreClient.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// One accepted change of the configuration, as shown to operators.
struct ConfigurationChange {
  std::uint64_t Generation = 0;
  std::string Operator;
  std::string ApplyId;
  std::string Time;
};

/// The file is the active configuration, with this generation.
struct ApplyAccepted {
  std::uint64_t Generation;
};

/// Another operator's change was applied first; nothing of the file is active.
struct ApplyConflict {
  ConfigurationChange Current;
  /// All changes after the generation this apply is based on, oldest first.
  std::vector<ConfigurationChange> ChangesSinceBase;
};

/// The write was sent, but the store stopped answering: the file may be active
/// now or become so soon. `show` reports which, by the ID of the apply.
struct ApplyUnknown {
  std::string ApplyId;
};

/// The file is certainly not active.
struct ApplyFailed {
  Error Reason;
};

using ApplyOutcome =
    std::variant<ApplyAccepted, ApplyConflict, ApplyUnknown, ApplyFailed>;

/// The configuration read from the store.
struct StoredConfiguration {
  ConfigurationManifest Manifest;
  std::string Text;
};

/// Decodes a manifest from its stored form.
Result<ConfigurationManifest> decodeManifest(const std::string &Text);

struct ConfigurationStoreSettings {
  std::string Prefix = "config/";
  /// Maximum size of a part. The service accepts values of up to one megabyte.
  std::size_t MaxPartBytes = 256U << 10U;
  /// Timeout of one apply or one complete read, retries included.
  Duration Timeout = std::chrono::seconds(20);
  /// Number of most recent generations whose parts are kept for readers.
  std::uint64_t RetainedPartGenerations = 8;
  /// Number of generations kept in the history, from which a conflicting apply
  /// reports the changes that it missed.
  std::uint64_t RetainedHistoryEntries = 64;
  /// Old parts are removed once every this many generations.
  std::uint64_t GenerationsPerCollection = 32;
  /// Seed of the random apply IDs, which must be unique; zero picks a random
  /// seed.
  std::uint64_t Seed = 0;
};

/// Keeps the operators' declarations in the platform's store: the text as
/// parts keyed by their hash, and one manifest that lists them. A change writes
/// the missing parts, then replaces the manifest atomically. Not thread-safe;
/// each call blocks for at most the timeout.
class ConfigurationStore {
public:
  ConfigurationStore(ConfigurationStoreSettings C, StoreClient S, Clock T);

  /// Makes a complete declarations file the active configuration, on behalf of
  /// the operator. With `Base`, only if that generation is the active one. The
  /// text must have been validated.
  ApplyOutcome apply(const std::string &File, const std::string &Operator,
                     std::optional<std::uint64_t> Base = std::nullopt);

  /// Reads the complete configuration; generation zero if there is none.
  Result<StoredConfiguration> read();

  /// Reads the manifest, with one call to the store. Generation zero if there
  /// is none.
  Result<ConfigurationManifest> readManifest();

  /// Reads the texts of these parts, in the same order. Returns `NotFound` if
  /// one has been removed; the caller must then read the manifest again.
  Result<std::vector<std::string>>
  readParts(const std::vector<TextHash> &Parts);

  /// Returns the changes still in the history, oldest first.
  Result<std::vector<ConfigurationChange>> history();

  std::string manifestKey() const { return this->Settings.Prefix + "manifest"; }

private:
  struct ApplyState;

  std::optional<ApplyOutcome> tryApply(ApplyState &State);
  Result<void> readBaseManifest(ApplyState &State);
  Result<void> fenceCollector(ApplyState &State);
  Result<void> uploadMissingParts(const ApplyState &State);
  Result<void> uploadBatch(const std::vector<const std::string *> &Parts);
  std::optional<ApplyOutcome> swapManifest(ApplyState &State);
  std::optional<ApplyOutcome>
  resolveFailedSwap(ApplyState &State, const TransactionOutcome &Outcome);
  ApplyOutcome makeConflict(const ApplyState &State);
  void collectGarbage(std::uint64_t Generation, Revision ManifestRevision);
  void removeExpired(std::uint64_t Generation, Revision CollectorRevision);

  std::string partKey(const TextHash &Part) const;
  std::string historyKey(std::uint64_t Generation) const;
  std::string collectorKey() const {
    return this->Settings.Prefix + "collector";
  }

  ConfigurationStoreSettings Settings;
  StoreClient Store;
  Clock Time;
  std::mt19937_64 Random;
};

} // namespace parsleywing

#endif
