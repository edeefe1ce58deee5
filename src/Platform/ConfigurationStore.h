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

/// One accepted change of the configuration, for a person.
struct ConfigurationChange {
  std::uint64_t Generation = 0;
  std::string Operator;
  std::string ApplyId;
  std::string Time;
};

/// The file is in force under this generation.
struct ApplyAccepted {
  std::uint64_t Generation;
};

/// Somebody else's change came first; nothing of the file is in force.
struct ApplyConflict {
  ConfigurationChange Current;
  /// All changes after the one that this apply began from, the oldest first.
  std::vector<ConfigurationChange> ChangesSinceBase;
};

/// The write was sent and the store stayed away: the file may be in force now,
/// or be so soon. `show` tells, by the apply's identity.
struct ApplyUnknown {
  std::string ApplyId;
};

/// The file is certainly not in force.
struct ApplyFailed {
  Error Reason;
};

using ApplyOutcome =
    std::variant<ApplyAccepted, ApplyConflict, ApplyUnknown, ApplyFailed>;

/// The configuration as the store holds it.
struct StoredConfiguration {
  ConfigurationManifest Manifest;
  std::string Text;
};

/// Reads a manifest as the store holds it.
Result<ConfigurationManifest> decodeManifest(const std::string &Text);

struct ConfigurationStoreSettings {
  std::string Prefix = "config/";
  /// The largest part; the service takes values of at most a megabyte.
  std::size_t MaxPartBytes = 256U << 10U;
  /// Time for one apply or one whole read, tries included.
  Duration Timeout = std::chrono::seconds(20);
  /// Parts of so many last generations are kept for readers.
  std::uint64_t RetainedPartGenerations = 8;
  /// The history of so many is kept, to tell operators what came between.
  std::uint64_t RetainedHistoryEntries = 64;
  /// Old parts are removed each so many generations.
  std::uint64_t GenerationsPerCollection = 32;
  /// For the identities of applies, which must differ; zero draws one.
  std::uint64_t Seed = 0;
};

/// Keeps the operators' declarations in the platform's store: the text in
/// parts under their hash, and one manifest that names them. A change writes
/// the parts that are missing, then swaps the manifest, whole or not at all.
/// For one thread; each call blocks for at most the patience.
class ConfigurationStore {
public:
  ConfigurationStore(ConfigurationStoreSettings C, StoreClient S, Clock T);

  /// Puts a whole declarations file in force, as this operator. With `Base`
  /// only where that generation is in force. The text must have been checked.
  ApplyOutcome apply(const std::string &File, const std::string &Operator,
                     std::optional<std::uint64_t> Base = std::nullopt);

  /// Reads the whole configuration; generation zero where there is none.
  Result<StoredConfiguration> read();

  /// One call on the store. Generation zero where there is none.
  Result<ConfigurationManifest> readManifest();

  /// The texts of these parts, in their order. `NotFound` where one has been
  /// removed: read the manifest again.
  Result<std::vector<std::string>>
  readParts(const std::vector<TextHash> &Parts);

  /// The changes still in the history, the oldest first.
  Result<std::vector<ConfigurationChange>> history();

  std::string manifestKey() const { return this->Settings.Prefix + "manifest"; }

private:
  struct ApplyState;

  std::optional<ApplyOutcome> tryApply(ApplyState &Try);
  Result<void> readBaseManifest(ApplyState &Try);
  Result<void> fenceCollector(ApplyState &Try);
  Result<void> uploadMissingParts(const ApplyState &Try);
  Result<void> uploadBatch(const std::vector<const std::string *> &Parts);
  std::optional<ApplyOutcome> swapManifest(ApplyState &Try);
  std::optional<ApplyOutcome>
  resolveFailedSwap(ApplyState &Try, const TransactionOutcome &Outcome);
  ApplyOutcome makeConflict(const ApplyState &Try);
  void collectGarbage(std::uint64_t Generation, Revision Manifest);
  void removeExpired(std::uint64_t Generation, Revision Fence);

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
