#include "Program/DeclarationsUpdater.h"

namespace parsleywing {

namespace {

/// Whether each section's header is written in one way only. `[ account a ]`
/// and `[account a]` are different sections to the store and one to the
/// reader, which refuses to see it twice: a change alone would not show that.
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

Result<DeclarationsPtr> DeclarationsUpdater::update(const PutInForce &Next,
                                                    bool FollowsTheLast) {
  std::optional<AccountChanges> Changes;
  if (FollowsTheLast && this->LastDeclarations)
    Changes = this->accountOnlyChanges(Next);
  if (!Changes || !this->updateKeyIndex(*Changes))
    return this->parseComplete(Next);
  std::unique_ptr<Declarations> Made = this->acquireBase();
  apply(*Changes, *Made);
  Made->Generation = Next.Generation;
  this->PreviousGeneration = this->LastDeclarations->Generation;
  this->LastChanges = std::move(Changes);
  return this->publish(std::move(Made));
}

std::optional<AccountChanges>
DeclarationsUpdater::accountOnlyChanges(const PutInForce &Next) const {
  if (!hasPlainHeaders(Next.Changes.Changed))
    return std::nullopt;
  return readAccountChanges(*this->LastDeclarations, Next.Changes);
}

/// Moves the keys of the changed accounts. False where two accounts would have
/// one key; a whole read must follow, which also builds the keys anew.
bool DeclarationsUpdater::updateKeyIndex(const AccountChanges &Changes) {
  const auto Forget = [this](AccountId Account) {
    const auto Before = this->LastDeclarations->Accounts.find(Account);
    if (Before != this->LastDeclarations->Accounts.end())
      this->AccountByKeyDigest.erase(Before->second.KeyDigest);
  };
  for (const AccountId Account : Changes.Removed)
    Forget(Account);
  for (const auto &[Id, Account] : Changes.Set)
    Forget(Id);
  for (const auto &[Id, Account] : Changes.Set)
    if (!this->AccountByKeyDigest.emplace(Account.KeyDigest, Id).second)
      return false;
  return true;
}

/// Declarations equal to the last but for their generation.
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
DeclarationsUpdater::parseComplete(const PutInForce &Next) {
  // After a failure the changes that follow lead on from what was not taken.
  this->LastDeclarations.reset();
  this->LastChanges.reset();
  this->AccountByKeyDigest.clear();
  auto Read = parseDeclarations(
      *Next.Text, "generation " + std::to_string(Next.Generation));
  if (!Read)
    return tl::unexpected<Error>(Read.error());
  Read->Generation = Next.Generation;
  for (const auto &[Id, Account] : Read->Accounts)
    this->AccountByKeyDigest.emplace(Account.KeyDigest, Id);
  DeclarationsPtr Made =
      this->publish(std::make_unique<Declarations>(std::move(*Read)));
  if (!hasPlainHeaders(*Next.Text))
    this->LastDeclarations.reset();
  return Made;
}

DeclarationsPtr
DeclarationsUpdater::publish(std::unique_ptr<Declarations> Made) {
  const auto TakeBack = [Back = this->Recycled](const Declarations *Free) {
    std::unique_ptr<Declarations> Old(const_cast<Declarations *>(Free));
    std::lock_guard<std::mutex> Lock(Back->Mutex);
    if (!Back->Latest || Back->Latest->Generation < Old->Generation)
      std::swap(Back->Latest, Old);
  };
  this->LastDeclarations = DeclarationsPtr(Made.release(), TakeBack);
  return this->LastDeclarations;
}

} // namespace parsleywing
