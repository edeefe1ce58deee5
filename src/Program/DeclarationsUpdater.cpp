#include "Program/DeclarationsUpdater.h"

namespace parsleywing {

namespace {

/// Returns whether no section header contains padding. `[ account a ]` and
/// `[account a]` are different sections to the store, but the same one to the
/// declarations reader, which rejects duplicates. A change alone would not
/// reveal such a duplicate.
bool hasPlainHeaders(std::string_view Text) {
  for (const std::string_view Blank : {"[ ", " ]", "[\t", "\t]"})
    if (Text.find(Blank) != std::string_view::npos)
      return false;
  return true;
}

void apply(const AccountChanges &Changes, Declarations &To) {
  for (const AccountId Account : Changes.Removed)
    To.Accounts.erase(Account);
  for (const auto &[Id, Account] : Changes.Set)
    To.Accounts.insert_or_assign(Id, Account);
}

} // namespace

Result<DeclarationsPtr>
DeclarationsUpdater::update(const ActivateConfiguration &Next,
                            bool FollowsLast) {
  std::optional<AccountChanges> Changes;
  if (FollowsLast && this->LastDeclarations)
    Changes = this->accountOnlyChanges(Next);
  if (!Changes || !this->updateKeyIndex(*Changes))
    return this->parseComplete(Next);
  std::unique_ptr<Declarations> Updated = this->acquireBase();
  apply(*Changes, *Updated);
  Updated->Generation = Next.Generation;
  this->PreviousGeneration = this->LastDeclarations->Generation;
  this->LastChanges = std::move(Changes);
  return this->publish(std::move(Updated));
}

std::optional<AccountChanges> DeclarationsUpdater::accountOnlyChanges(
    const ActivateConfiguration &Next) const {
  if (!hasPlainHeaders(Next.Changes.Changed))
    return std::nullopt;
  return readAccountChanges(*this->LastDeclarations, Next.Changes);
}

/// Updates the key index for the changed accounts. Returns false if two
/// accounts would share a key; complete parsing must follow, which also
/// rebuilds the index.
bool DeclarationsUpdater::updateKeyIndex(const AccountChanges &Changes) {
  const auto RemoveKey = [this](AccountId Account) {
    const auto Previous = this->LastDeclarations->Accounts.find(Account);
    if (Previous != this->LastDeclarations->Accounts.end())
      this->AccountByKeyDigest.erase(Previous->second.KeyDigest);
  };
  for (const AccountId Account : Changes.Removed)
    RemoveKey(Account);
  for (const auto &[Id, Account] : Changes.Set)
    RemoveKey(Id);
  for (const auto &[Id, Account] : Changes.Set)
    if (!this->AccountByKeyDigest.emplace(Account.KeyDigest, Id).second)
      return false;
  return true;
}

/// Returns declarations that equal the last ones except for their generation.
std::unique_ptr<Declarations> DeclarationsUpdater::acquireBase() {
  std::unique_ptr<Declarations> Base;
  {
    std::lock_guard<std::mutex> Lock(this->Recycled->Mutex);
    Base = std::move(this->Recycled->Latest);
  }
  if (!Base || !this->LastChanges ||
      Base->Generation != this->PreviousGeneration)
    return std::make_unique<Declarations>(*this->LastDeclarations);
  apply(*this->LastChanges, *Base);
  ++this->InPlaceUpdates;
  return Base;
}

Result<DeclarationsPtr>
DeclarationsUpdater::parseComplete(const ActivateConfiguration &Next) {
  // If parsing fails, the next changes refer to a text that was not applied.
  this->LastDeclarations.reset();
  this->LastChanges.reset();
  this->AccountByKeyDigest.clear();
  auto Parsed = parseDeclarations(
      *Next.Text, "generation " + std::to_string(Next.Generation));
  if (!Parsed)
    return tl::unexpected<Error>(Parsed.error());
  Parsed->Generation = Next.Generation;
  for (const auto &[Id, Account] : Parsed->Accounts)
    this->AccountByKeyDigest.emplace(Account.KeyDigest, Id);
  DeclarationsPtr Published =
      this->publish(std::make_unique<Declarations>(std::move(*Parsed)));
  if (!hasPlainHeaders(*Next.Text))
    this->LastDeclarations.reset();
  return Published;
}

DeclarationsPtr
DeclarationsUpdater::publish(std::unique_ptr<Declarations> New) {
  const auto Recycle = [Pool = this->Recycled](const Declarations *Released) {
    std::unique_ptr<Declarations> Recovered(
        const_cast<Declarations *>(Released));
    std::lock_guard<std::mutex> Lock(Pool->Mutex);
    if (!Pool->Latest || Pool->Latest->Generation < Recovered->Generation)
      std::swap(Pool->Latest, Recovered);
  };
  this->LastDeclarations = DeclarationsPtr(New.release(), Recycle);
  return this->LastDeclarations;
}

} // namespace parsleywing
