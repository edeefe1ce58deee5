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
/// Keeps a transaction below the service's limits: 128 steps and 1.5 MB.
constexpr std::size_t StepsPerTransaction = 100;
constexpr std::size_t BytesPerTransaction = 1U << 20U;
constexpr std::size_t LargestValue = 1U << 20U;
constexpr Duration FirstWait = std::chrono::milliseconds(50);
constexpr Duration LongestWait = std::chrono::seconds(2);
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
  /// The manifest's revision that the swap compares; zero where there is none.
  Revision BaseRevision = 0;
  Revision CollectorRevision = 0;
  /// The generation that the operator began from, where one was named.
  std::optional<std::uint64_t> ExpectedGeneration;
  /// What is in force instead, where the swap was lost.
  ConfigurationChange CurrentChange;
  bool HasBase = false;
  bool Uploaded = false;
  /// A swap was sent and its reply is missing.
  bool OutcomeUnknown = false;
  Error LastError{ErrorCode::Unreachable, "the store was not asked in time"};
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
  const auto Read = this->Store.get(this->manifestKey());
  if (!Read)
    return tl::unexpected(Read.error());
  if (Read->Entries.empty())
    return ConfigurationManifest{};
  return decodeManifest(Read->Entries.front().Value);
}

Result<std::vector<std::string>>
ConfigurationStore::readParts(const std::vector<TextHash> &Parts) {
  // Parts are mostly far smaller than the largest; few enough at once keep an
  // answer at a few megabytes.
  constexpr std::size_t PartsAtOnce = 16;
  std::vector<std::string> Texts;
  for (std::size_t Begin = 0; Begin < Parts.size(); Begin += PartsAtOnce) {
    const std::size_t End = std::min(Parts.size(), Begin + PartsAtOnce);
    StoreTransaction Reads;
    for (std::size_t Index = Begin; Index < End; ++Index)
      Reads.Then.push_back(readKey(this->partKey(Parts[Index])));
    const auto Outcome = this->Store.commit(Reads);
    if (!Outcome)
      return tl::unexpected(Outcome.error());
    if (Outcome->Reads.size() != End - Begin)
      return failure(ErrorCode::Malformed, "the store left out some reads");
    for (std::size_t Index = Begin; Index < End; ++Index) {
      const auto &Found = Outcome->Reads[Index - Begin].Entries;
      if (Found.empty())
        return failure(ErrorCode::NotFound, "a part has been removed");
      if (hashBytes(Found.front().Value) != Parts[Index])
        return failure(ErrorCode::Malformed, "a part differs from its hash");
      Texts.push_back(Found.front().Value);
    }
  }
  return Texts;
}

Result<StoredConfiguration> ConfigurationStore::read() {
  const TimePoint Deadline = this->Time.now() + this->Settings.Timeout;
  Backoff Waits(FirstWait, LongestWait, this->Random());
  while (true) {
    Error Last;
    const auto Manifest = this->readManifest();
    if (Manifest) {
      const auto Parts = this->readParts(Manifest->Parts);
      if (Parts) {
        StoredConfiguration Found{*Manifest, {}};
        for (const std::string &Part : *Parts)
          Found.Text += Part;
        return Found;
      }
      Last = Parts.error();
    } else {
      Last = Manifest.error();
    }
    const Duration Wait = Waits.nextDelay();
    if (this->Time.now() + Wait >= Deadline)
      return tl::unexpected(Last);
    std::this_thread::sleep_for(Wait);
  }
}

Result<std::vector<ConfigurationChange>> ConfigurationStore::history() {
  const auto Read = this->Store.getPrefix(this->Settings.Prefix + "history/");
  if (!Read)
    return tl::unexpected(Read.error());
  std::vector<ConfigurationChange> Changes;
  for (const StoreEntry &Entry : Read->Entries)
    if (const auto Manifest = decodeManifest(Entry.Value))
      Changes.push_back(changeOf(*Manifest));
  return Changes;
}

ApplyOutcome ConfigurationStore::apply(const std::string &File,
                                       const std::string &Operator,
                                       std::optional<std::uint64_t> Base) {
  ApplyState Try;
  Try.ExpectedGeneration = Base;
  Try.Text = ConfigurationText(File);
  Try.Parts = Try.Text.parts(this->Settings.MaxPartBytes);
  for (const std::string &Part : Try.Parts) {
    if (Part.size() > LargestValue)
      return ApplyFailed{{ErrorCode::InvalidInput,
                          "a section is larger than one value may be"}};
    Try.NewManifest.Parts.push_back(hashBytes(Part));
  }
  Try.NewManifest.ApplyId = toString(TextHash{this->Random(), this->Random()});
  Try.NewManifest.Operator = Operator;
  Try.NewManifest.Time = Poco::DateTimeFormatter::format(
      Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FORMAT);
  Try.NewManifest.Hash = Try.Text.hash();

  const TimePoint Deadline = this->Time.now() + this->Settings.Timeout;
  Backoff Waits(FirstWait, LongestWait, this->Random());
  while (true) {
    if (auto Outcome = this->tryApply(Try))
      return *Outcome;
    const Duration Wait = Waits.nextDelay();
    if (this->Time.now() + Wait >= Deadline)
      break;
    std::this_thread::sleep_for(Wait);
  }
  if (Try.OutcomeUnknown)
    return ApplyUnknown{Try.NewManifest.ApplyId};
  return ApplyFailed{Try.LastError};
}

std::optional<ApplyOutcome> ConfigurationStore::tryApply(ApplyState &Try) {
  Result<void> Step;
  if (!Try.HasBase)
    Step = this->readBaseManifest(Try);
  if (Step && Try.ExpectedGeneration.value_or(Try.BaseManifest.Generation) !=
                  Try.BaseManifest.Generation)
    return this->makeConflict(Try);
  if (Step && !Try.Uploaded)
    Step = this->fenceCollector(Try);
  if (Step && !Try.Uploaded)
    Step = this->uploadMissingParts(Try);
  if (!Step) {
    Try.LastError = Step.error();
    return std::nullopt;
  }
  Try.Uploaded = true;
  return this->swapManifest(Try);
}

Result<void> ConfigurationStore::readBaseManifest(ApplyState &Try) {
  const auto Read = this->Store.get(this->manifestKey());
  if (!Read)
    return tl::unexpected(Read.error());
  if (!Read->Entries.empty()) {
    const auto Manifest = decodeManifest(Read->Entries.front().Value);
    if (!Manifest)
      return tl::unexpected(Manifest.error());
    Try.BaseManifest = *Manifest;
    Try.BaseRevision = Read->Entries.front().ModRevision;
  }
  Try.CurrentChange = changeOf(Try.BaseManifest);
  Try.NewManifest.Generation = Try.BaseManifest.Generation + 1;
  Try.HasBase = true;
  return {};
}

/// Parts are removed only under a mark "collecting", and each removal compares
/// the mark's revision. An apply begins by turning such a mark off, so that no
/// removal still under way takes effect, and its swap compares the revision, so
/// that it fails where a removal began after the parts were looked for.
Result<void> ConfigurationStore::fenceCollector(ApplyState &Try) {
  const auto Read = this->Store.get(this->collectorKey());
  if (!Read)
    return tl::unexpected(Read.error());
  Try.CollectorRevision =
      Read->Entries.empty() ? 0 : Read->Entries.front().ModRevision;
  if (Read->Entries.empty() || Read->Entries.front().Value == CollectorIdle)
    return {};
  const auto Closed = this->Store.commit(
      {{keyModRevisionIs(this->collectorKey(), Try.CollectorRevision)},
       {putKey(this->collectorKey(), std::string(CollectorIdle))},
       {}});
  if (!Closed)
    return tl::unexpected(Closed.error());
  if (!Closed->Succeeded)
    return failure(ErrorCode::Conflict, "old parts are being removed");
  Try.CollectorRevision = Closed->CommitRevision;
  return {};
}

Result<void> ConfigurationStore::uploadMissingParts(const ApplyState &Try) {
  const auto Present =
      this->Store.getPrefix(this->Settings.Prefix + "parts/", true);
  if (!Present)
    return tl::unexpected(Present.error());
  std::set<std::string> Keys;
  for (const StoreEntry &Entry : Present->Entries)
    Keys.insert(Entry.Key);
  std::vector<const std::string *> Batch;
  std::size_t Bytes = 0;
  for (std::size_t Index = 0; Index < Try.Parts.size(); ++Index) {
    const std::string &Part = Try.Parts[Index];
    if (!Keys.insert(this->partKey(Try.NewManifest.Parts[Index])).second)
      continue;
    const bool Full = Bytes + Part.size() > BytesPerTransaction ||
                      Batch.size() >= StepsPerTransaction;
    if (Full && !Batch.empty()) {
      if (Result<void> Sent = this->uploadBatch(Batch); !Sent)
        return Sent;
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

std::optional<ApplyOutcome> ConfigurationStore::swapManifest(ApplyState &Try) {
  const std::string Text = encodeManifest(Try.NewManifest);
  const auto Outcome = this->Store.commit(
      {{keyModRevisionIs(this->manifestKey(), Try.BaseRevision),
        keyModRevisionIs(this->collectorKey(), Try.CollectorRevision)},
       {putKey(this->manifestKey(), Text),
        putKey(this->historyKey(Try.NewManifest.Generation), Text)},
       {readKey(this->manifestKey())}});
  if (!Outcome) {
    // The same swap may be sent again: only one of the two can find the
    // manifest at the revision that both compare.
    Try.OutcomeUnknown =
        Try.OutcomeUnknown || mayHaveTakenEffect(Outcome.error().Code);
    Try.LastError = Outcome.error();
    return std::nullopt;
  }
  if (Outcome->Succeeded) {
    this->collectGarbage(Try.NewManifest.Generation, Outcome->CommitRevision);
    return ApplyAccepted{Try.NewManifest.Generation};
  }
  return this->resolveFailedSwap(Try, *Outcome);
}

std::optional<ApplyOutcome>
ConfigurationStore::resolveFailedSwap(ApplyState &Try,
                                      const TransactionOutcome &Outcome) {
  if (Outcome.Reads.empty()) {
    Try.LastError = {ErrorCode::Malformed, "the store left out a read"};
    return std::nullopt;
  }
  const auto &Found = Outcome.Reads.front().Entries;
  const Revision Now = Found.empty() ? 0 : Found.front().ModRevision;
  if (Now == Try.BaseRevision) {
    // Only the mark of the collector changed: look for the parts again.
    Try.Uploaded = false;
    Try.LastError = {ErrorCode::Conflict, "old parts were being removed"};
    return std::nullopt;
  }
  const auto Current = Found.empty() ? Result<ConfigurationManifest>()
                                     : decodeManifest(Found.front().Value);
  if (Current && Current->ApplyId == Try.NewManifest.ApplyId)
    return ApplyAccepted{Try.NewManifest.Generation};
  if (Current)
    Try.CurrentChange = changeOf(*Current);
  if (!Try.OutcomeUnknown)
    return this->makeConflict(Try);
  // Another change may have followed an own one whose reply was lost.
  const auto Own =
      this->Store.get(this->historyKey(Try.NewManifest.Generation));
  if (!Own) {
    Try.LastError = Own.error();
    return std::nullopt;
  }
  if (Own->Entries.empty())
    return ApplyUnknown{Try.NewManifest.ApplyId};
  const auto Recorded = decodeManifest(Own->Entries.front().Value);
  if (Recorded && Recorded->ApplyId == Try.NewManifest.ApplyId)
    return ApplyAccepted{Try.NewManifest.Generation};
  return this->makeConflict(Try);
}

ApplyOutcome ConfigurationStore::makeConflict(const ApplyState &Try) {
  const std::uint64_t From =
      Try.ExpectedGeneration.value_or(Try.BaseManifest.Generation);
  ApplyConflict Lost;
  Lost.Current = Try.CurrentChange;
  if (const auto Changes = this->history())
    for (const ConfigurationChange &Change : *Changes)
      if (Change.Generation > From)
        Lost.ChangesSinceBase.push_back(Change);
  return Lost;
}

/// Best effort: what is not removed now is removed at a later turn.
void ConfigurationStore::collectGarbage(std::uint64_t Generation,
                                        Revision Manifest) {
  if (Generation % this->Settings.GenerationsPerCollection != 0)
    return;
  const auto Begun = this->Store.commit(
      {{keyModRevisionIs(this->manifestKey(), Manifest)},
       {putKey(this->collectorKey(), std::string(CollectorBusy))},
       {}});
  if (!Begun || !Begun->Succeeded)
    return;
  this->removeExpired(Generation, Begun->CommitRevision);
  (void)this->Store.commit(
      {{keyModRevisionIs(this->collectorKey(), Begun->CommitRevision)},
       {putKey(this->collectorKey(), std::string(CollectorIdle))},
       {}});
}

void ConfigurationStore::removeExpired(std::uint64_t Generation,
                                       Revision Fence) {
  const auto History =
      this->Store.getPrefix(this->Settings.Prefix + "history/");
  const auto Present =
      this->Store.getPrefix(this->Settings.Prefix + "parts/", true);
  if (!History || !Present)
    return;
  std::set<std::string> Needed;
  std::vector<std::string> Old;
  for (const StoreEntry &Entry : History->Entries) {
    const auto Manifest = decodeManifest(Entry.Value);
    if (!Manifest)
      return;
    if (Manifest->Generation + this->Settings.RetainedHistoryEntries <=
        Generation)
      Old.push_back(Entry.Key);
    if (Manifest->Generation + this->Settings.RetainedPartGenerations >
        Generation)
      for (const TextHash &Part : Manifest->Parts)
        Needed.insert(this->partKey(Part));
  }
  for (const StoreEntry &Entry : Present->Entries)
    if (Needed.count(Entry.Key) == 0)
      Old.push_back(Entry.Key);
  for (std::size_t Begin = 0; Begin < Old.size();
       Begin += StepsPerTransaction) {
    const std::size_t End = std::min(Old.size(), Begin + StepsPerTransaction);
    StoreTransaction Removal;
    Removal.Conditions.push_back(keyModRevisionIs(this->collectorKey(), Fence));
    for (std::size_t Index = Begin; Index < End; ++Index)
      Removal.Then.push_back(deleteKey(Old[Index]));
    const auto Outcome = this->Store.commit(Removal);
    if (!Outcome || !Outcome->Succeeded)
      return;
  }
}

} // namespace parsleywing
