#include "Platform/ConfigurationStore.h"

#include "Platform/StoreCodec.h"
#include "Runtime/Log.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Array.h>
#include <Poco/Timestamp.h>
#include <algorithm>
#include <set>
#include <thread>

namespace parsleywing {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

constexpr std::string_view CollectorIdle = "idle";
constexpr std::string_view CollectorBusy = "collecting";
/// Keeps transactions below the service's limits of 128 operations and 1.5 MB.
constexpr std::size_t MaxOperationsPerTransaction = 100;
constexpr std::size_t MaxBytesPerTransaction = 1U << 20U;
constexpr std::size_t MaxValueBytes = 1U << 20U;
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration MaxRetryDelay = std::chrono::seconds(2);
constexpr std::size_t GenerationDigits = 20;

std::string encodeManifest(const ConfigurationManifest &Manifest) {
  Array::Ptr Parts = new Array;
  for (const TextHash &Part : Manifest.Parts)
    Parts->add(toString(Part));
  Object Message;
  Message.set("generation", Manifest.Generation);
  Message.set("apply", Manifest.ApplyId);
  Message.set("operator", Manifest.Operator);
  Message.set("time", Manifest.Time);
  Message.set("hash", toString(Manifest.Hash));
  Message.set("parts", Parts);
  return internal::stringify(Message);
}

ConfigurationChange changeOf(const ConfigurationManifest &Manifest) {
  return {Manifest.Generation, Manifest.Operator, Manifest.ApplyId,
          Manifest.Time};
}

bool mayHaveTakenEffect(ErrorCode Code) {
  return Code == ErrorCode::TimedOut || Code == ErrorCode::Interrupted ||
         Code == ErrorCode::Malformed;
}

} // namespace

Result<ConfigurationManifest> decodeManifest(const std::string &Text) {
  const auto Message = internal::parseMessage(Text);
  if (!Message)
    return tl::unexpected(Message.error());
  try {
    ConfigurationManifest Manifest;
    Manifest.Generation = (*Message)->getValue<Poco::UInt64>("generation");
    Manifest.ApplyId = (*Message)->getValue<std::string>("apply");
    Manifest.Operator = (*Message)->getValue<std::string>("operator");
    Manifest.Time = (*Message)->getValue<std::string>("time");
    Manifest.Hash = textHashOf((*Message)->getValue<std::string>("hash"));
    const Array::Ptr Parts = (*Message)->getArray("parts");
    for (unsigned Index = 0; Parts && Index < Parts->size(); ++Index)
      Manifest.Parts.push_back(
          textHashOf(Parts->getElement<std::string>(Index)));
    return Manifest;
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Malformed,
                   "the manifest cannot be read: " + Problem.displayText());
  }
}

struct ConfigurationStore::ApplyState {
  ConfigurationText Text;
  std::vector<std::string> Parts;
  ConfigurationManifest NewManifest;
  ConfigurationManifest BaseManifest;
  /// Revision of the manifest that the swap compares; zero if there is none.
  Revision BaseRevision = 0;
  Revision CollectorRevision = 0;
  /// The generation that the operator's file is based on, if given.
  std::optional<std::uint64_t> ExpectedGeneration;
  /// The active change, if the swap failed because of it.
  ConfigurationChange CurrentChange;
  bool HasBase = false;
  bool Uploaded = false;
  /// A swap was sent and its response is missing.
  bool OutcomeUnknown = false;
  Error LastError{ErrorCode::Unreachable,
                  "the store was not called before the timeout"};
};

ConfigurationStore::ConfigurationStore(ConfigurationStoreSettings C,
                                       StoreClient S, Clock T)
    : Settings(std::move(C)), Store(std::move(S)), Time(std::move(T)),
      Random(internal::seedOrRandom(Settings.Seed)) {}

std::string ConfigurationStore::partKey(const TextHash &Part) const {
  return this->Settings.Prefix + "parts/" + toString(Part);
}

std::string ConfigurationStore::historyKey(std::uint64_t Generation) const {
  std::string Digits = std::to_string(Generation);
  Digits.insert(0, GenerationDigits - Digits.size(), '0');
  return this->Settings.Prefix + "history/" + Digits;
}

Result<ConfigurationManifest> ConfigurationStore::readManifest() {
  const auto Range = this->Store.get(this->manifestKey());
  if (!Range)
    return tl::unexpected(Range.error());
  if (Range->Entries.empty())
    return ConfigurationManifest{};
  return decodeManifest(Range->Entries.front().Value);
}

Result<std::vector<std::string>>
ConfigurationStore::readParts(const std::vector<TextHash> &Parts) {
  // Most parts are much smaller than the maximum. Reading few at once keeps a
  // response at a few megabytes.
  constexpr std::size_t PartsPerRead = 16;
  std::vector<std::string> Texts;
  for (std::size_t Begin = 0; Begin < Parts.size(); Begin += PartsPerRead) {
    const std::size_t End = std::min(Parts.size(), Begin + PartsPerRead);
    StoreTransaction Reads;
    for (std::size_t Index = Begin; Index < End; ++Index)
      Reads.Then.push_back(readKey(this->partKey(Parts[Index])));
    const auto Outcome = this->Store.commit(Reads);
    if (!Outcome)
      return tl::unexpected(Outcome.error());
    if (Outcome->Reads.size() != End - Begin)
      return failure(ErrorCode::Malformed,
                     "the store's response lacks some reads");
    for (std::size_t Index = Begin; Index < End; ++Index) {
      const auto &Entries = Outcome->Reads[Index - Begin].Entries;
      if (Entries.empty())
        return failure(ErrorCode::NotFound,
                       "a part of the configuration has been removed");
      if (hashBytes(Entries.front().Value) != Parts[Index])
        return failure(ErrorCode::Malformed,
                       "a part of the configuration does not match its hash");
      Texts.push_back(Entries.front().Value);
    }
  }
  return Texts;
}

Result<StoredConfiguration> ConfigurationStore::read() {
  const TimePoint Deadline = this->Time.now() + this->Settings.Timeout;
  Backoff RetryBackoff(InitialRetryDelay, MaxRetryDelay, this->Random());
  while (true) {
    Error LastError;
    const auto Manifest = this->readManifest();
    if (Manifest) {
      const auto Parts = this->readParts(Manifest->Parts);
      if (Parts) {
        StoredConfiguration Configuration{*Manifest, {}};
        for (const std::string &Part : *Parts)
          Configuration.Text += Part;
        return Configuration;
      }
      LastError = Parts.error();
    } else {
      LastError = Manifest.error();
    }
    const Duration Wait = RetryBackoff.nextDelay();
    if (this->Time.now() + Wait >= Deadline)
      return tl::unexpected(LastError);
    std::this_thread::sleep_for(Wait);
  }
}

Result<std::vector<ConfigurationChange>> ConfigurationStore::history() {
  const auto Range = this->Store.getPrefix(this->Settings.Prefix + "history/");
  if (!Range)
    return tl::unexpected(Range.error());
  std::vector<ConfigurationChange> Changes;
  for (const StoreEntry &Entry : Range->Entries)
    if (const auto Manifest = decodeManifest(Entry.Value))
      Changes.push_back(changeOf(*Manifest));
  return Changes;
}

ApplyOutcome ConfigurationStore::apply(const std::string &File,
                                       const std::string &Operator,
                                       std::optional<std::uint64_t> Base) {
  ApplyState State;
  State.ExpectedGeneration = Base;
  State.Text = ConfigurationText(File);
  State.Parts = State.Text.parts(this->Settings.MaxPartBytes);
  for (const std::string &Part : State.Parts) {
    if (Part.size() > MaxValueBytes)
      return ApplyFailed{
          {ErrorCode::InvalidInput,
           "a section is larger than the store's maximum value"}};
    State.NewManifest.Parts.push_back(hashBytes(Part));
  }
  State.NewManifest.ApplyId =
      toString(TextHash{this->Random(), this->Random()});
  State.NewManifest.Operator = Operator;
  State.NewManifest.Time = Poco::DateTimeFormatter::format(
      Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FORMAT);
  State.NewManifest.Hash = State.Text.hash();

  const TimePoint Deadline = this->Time.now() + this->Settings.Timeout;
  Backoff RetryBackoff(InitialRetryDelay, MaxRetryDelay, this->Random());
  while (true) {
    if (auto Outcome = this->tryApply(State))
      return *Outcome;
    const Duration Wait = RetryBackoff.nextDelay();
    if (this->Time.now() + Wait >= Deadline)
      break;
    std::this_thread::sleep_for(Wait);
  }
  if (State.OutcomeUnknown)
    return ApplyUnknown{State.NewManifest.ApplyId};
  return ApplyFailed{State.LastError};
}

std::optional<ApplyOutcome> ConfigurationStore::tryApply(ApplyState &State) {
  Result<void> Step;
  if (!State.HasBase)
    Step = this->readBaseManifest(State);
  if (Step &&
      State.ExpectedGeneration.value_or(State.BaseManifest.Generation) !=
          State.BaseManifest.Generation)
    return this->makeConflict(State);
  if (Step && !State.Uploaded)
    Step = this->fenceCollector(State);
  if (Step && !State.Uploaded)
    Step = this->uploadMissingParts(State);
  if (!Step) {
    State.LastError = Step.error();
    return std::nullopt;
  }
  State.Uploaded = true;
  return this->swapManifest(State);
}

Result<void> ConfigurationStore::readBaseManifest(ApplyState &State) {
  const auto Range = this->Store.get(this->manifestKey());
  if (!Range)
    return tl::unexpected(Range.error());
  if (!Range->Entries.empty()) {
    const auto Manifest = decodeManifest(Range->Entries.front().Value);
    if (!Manifest)
      return tl::unexpected(Manifest.error());
    State.BaseManifest = *Manifest;
    State.BaseRevision = Range->Entries.front().ModRevision;
  }
  State.CurrentChange = changeOf(State.BaseManifest);
  State.NewManifest.Generation = State.BaseManifest.Generation + 1;
  State.HasBase = true;
  return {};
}

/// Parts are removed only while the collector key says "collecting", and each
/// removal compares the revision of that key. An apply first resets the key to
/// "idle", so that removals still in transit have no effect. Its swap compares
/// the revision of the key, and so fails if a removal started after the apply
/// checked which parts exist.
Result<void> ConfigurationStore::fenceCollector(ApplyState &State) {
  const auto Range = this->Store.get(this->collectorKey());
  if (!Range)
    return tl::unexpected(Range.error());
  State.CollectorRevision =
      Range->Entries.empty() ? 0 : Range->Entries.front().ModRevision;
  if (Range->Entries.empty() || Range->Entries.front().Value == CollectorIdle)
    return {};
  const auto Reset = this->Store.commit(
      {{keyModRevisionIs(this->collectorKey(), State.CollectorRevision)},
       {putKey(this->collectorKey(), std::string(CollectorIdle))},
       {}});
  if (!Reset)
    return tl::unexpected(Reset.error());
  if (!Reset->Succeeded)
    return failure(ErrorCode::Conflict, "old parts are being removed");
  State.CollectorRevision = Reset->CommitRevision;
  return {};
}

Result<void> ConfigurationStore::uploadMissingParts(const ApplyState &State) {
  const auto StoredParts =
      this->Store.getPrefix(this->Settings.Prefix + "parts/", true);
  if (!StoredParts)
    return tl::unexpected(StoredParts.error());
  std::set<std::string> StoredKeys;
  for (const StoreEntry &Entry : StoredParts->Entries)
    StoredKeys.insert(Entry.Key);
  std::vector<const std::string *> Batch;
  std::size_t Bytes = 0;
  for (std::size_t Index = 0; Index < State.Parts.size(); ++Index) {
    const std::string &Part = State.Parts[Index];
    if (!StoredKeys.insert(this->partKey(State.NewManifest.Parts[Index]))
             .second)
      continue;
    const bool Full = Bytes + Part.size() > MaxBytesPerTransaction ||
                      Batch.size() >= MaxOperationsPerTransaction;
    if (Full && !Batch.empty()) {
      if (Result<void> Uploaded = this->uploadBatch(Batch); !Uploaded)
        return Uploaded;
      Batch.clear();
      Bytes = 0;
    }
    Batch.push_back(&Part);
    Bytes += Part.size();
  }
  return Batch.empty() ? Result<void>() : this->uploadBatch(Batch);
}

Result<void>
ConfigurationStore::uploadBatch(const std::vector<const std::string *> &Parts) {
  StoreTransaction Writes;
  for (const std::string *Part : Parts)
    Writes.Then.push_back(putKey(this->partKey(hashBytes(*Part)), *Part));
  const auto Outcome = this->Store.commit(Writes);
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  return {};
}

std::optional<ApplyOutcome>
ConfigurationStore::swapManifest(ApplyState &State) {
  const std::string Text = encodeManifest(State.NewManifest);
  const auto Outcome = this->Store.commit(
      {{keyModRevisionIs(this->manifestKey(), State.BaseRevision),
        keyModRevisionIs(this->collectorKey(), State.CollectorRevision)},
       {putKey(this->manifestKey(), Text),
        putKey(this->historyKey(State.NewManifest.Generation), Text)},
       {readKey(this->manifestKey())}});
  if (!Outcome) {
    // Sending the same swap again is safe: only one of the two can find the
    // manifest at the revision that both compare.
    State.OutcomeUnknown =
        State.OutcomeUnknown || mayHaveTakenEffect(Outcome.error().Code);
    State.LastError = Outcome.error();
    return std::nullopt;
  }
  if (Outcome->Succeeded) {
    this->collectGarbage(State.NewManifest.Generation, Outcome->CommitRevision);
    return ApplyAccepted{State.NewManifest.Generation};
  }
  return this->resolveFailedSwap(State, *Outcome);
}

std::optional<ApplyOutcome>
ConfigurationStore::resolveFailedSwap(ApplyState &State,
                                      const TransactionOutcome &Outcome) {
  if (Outcome.Reads.empty()) {
    State.LastError = {ErrorCode::Malformed,
                       "the store's response lacks a read"};
    return std::nullopt;
  }
  const auto &Entries = Outcome.Reads.front().Entries;
  const Revision CurrentRevision =
      Entries.empty() ? 0 : Entries.front().ModRevision;
  if (CurrentRevision == State.BaseRevision) {
    // Only the collector key changed: check again which parts exist.
    State.Uploaded = false;
    State.LastError = {ErrorCode::Conflict, "old parts were being removed"};
    return std::nullopt;
  }
  const auto Current = Entries.empty() ? Result<ConfigurationManifest>()
                                       : decodeManifest(Entries.front().Value);
  if (Current && Current->ApplyId == State.NewManifest.ApplyId)
    return ApplyAccepted{State.NewManifest.Generation};
  if (Current)
    State.CurrentChange = changeOf(*Current);
  if (!State.OutcomeUnknown)
    return this->makeConflict(State);
  // This apply's swap may have taken effect without a response, and another
  // change may have followed it.
  const auto HistoryRange =
      this->Store.get(this->historyKey(State.NewManifest.Generation));
  if (!HistoryRange) {
    State.LastError = HistoryRange.error();
    return std::nullopt;
  }
  if (HistoryRange->Entries.empty())
    return ApplyUnknown{State.NewManifest.ApplyId};
  const auto HistoryManifest =
      decodeManifest(HistoryRange->Entries.front().Value);
  if (HistoryManifest && HistoryManifest->ApplyId == State.NewManifest.ApplyId)
    return ApplyAccepted{State.NewManifest.Generation};
  return this->makeConflict(State);
}

ApplyOutcome ConfigurationStore::makeConflict(const ApplyState &State) {
  const std::uint64_t BaseGeneration =
      State.ExpectedGeneration.value_or(State.BaseManifest.Generation);
  ApplyConflict Conflict;
  Conflict.Current = State.CurrentChange;
  if (const auto Changes = this->history())
    for (const ConfigurationChange &Change : *Changes)
      if (Change.Generation > BaseGeneration)
        Conflict.ChangesSinceBase.push_back(Change);
  return Conflict;
}

/// Best effort: what is not removed now is removed by a later collection.
void ConfigurationStore::collectGarbage(std::uint64_t Generation,
                                        Revision ManifestRevision) {
  if (Generation % this->Settings.GenerationsPerCollection != 0)
    return;
  const auto Started = this->Store.commit(
      {{keyModRevisionIs(this->manifestKey(), ManifestRevision)},
       {putKey(this->collectorKey(), std::string(CollectorBusy))},
       {}});
  if (!Started || !Started->Succeeded)
    return;
  this->removeExpired(Generation, Started->CommitRevision);
  (void)this->Store.commit(
      {{keyModRevisionIs(this->collectorKey(), Started->CommitRevision)},
       {putKey(this->collectorKey(), std::string(CollectorIdle))},
       {}});
}

void ConfigurationStore::removeExpired(std::uint64_t Generation,
                                       Revision CollectorRevision) {
  const auto History =
      this->Store.getPrefix(this->Settings.Prefix + "history/");
  const auto StoredParts =
      this->Store.getPrefix(this->Settings.Prefix + "parts/", true);
  if (!History || !StoredParts)
    return;
  std::set<std::string> NeededKeys;
  std::vector<std::string> ExpiredKeys;
  for (const StoreEntry &Entry : History->Entries) {
    const auto Manifest = decodeManifest(Entry.Value);
    if (!Manifest)
      return;
    if (Manifest->Generation + this->Settings.RetainedHistoryEntries <=
        Generation)
      ExpiredKeys.push_back(Entry.Key);
    if (Manifest->Generation + this->Settings.RetainedPartGenerations >
        Generation)
      for (const TextHash &Part : Manifest->Parts)
        NeededKeys.insert(this->partKey(Part));
  }
  for (const StoreEntry &Entry : StoredParts->Entries)
    if (NeededKeys.count(Entry.Key) == 0)
      ExpiredKeys.push_back(Entry.Key);
  for (std::size_t Begin = 0; Begin < ExpiredKeys.size();
       Begin += MaxOperationsPerTransaction) {
    const std::size_t End =
        std::min(ExpiredKeys.size(), Begin + MaxOperationsPerTransaction);
    StoreTransaction Removal;
    Removal.Conditions.push_back(
        keyModRevisionIs(this->collectorKey(), CollectorRevision));
    for (std::size_t Index = Begin; Index < End; ++Index)
      Removal.Then.push_back(deleteKey(ExpiredKeys[Index]));
    const auto Outcome = this->Store.commit(Removal);
    if (!Outcome || !Outcome->Succeeded)
      return;
  }
}

} // namespace parsleywing
