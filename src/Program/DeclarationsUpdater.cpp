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
  if (FollowsTheLast && this->Last)
    Changes = this->smallChanges(Next);
  if (!Changes || !this->takeKeys(*Changes))
    return this->readWhole(Next);
  std::unique_ptr<Declarations> Made = this->takeBase();
  apply(*Changes, *Made);
  Made->Generation = Next.Generation;
  this->BeforeLast = this->Last->Generation;
  this->LastChanges = std::move(Changes);
  return this->publish(std::move(Made));
}

std::optional<AccountChanges>
DeclarationsUpdater::smallChanges(const PutInForce &Next) const {
  if (!hasPlainHeaders(Next.Changes.Changed))
    return std::nullopt;
  return readAccountChanges(*this->Last, Next.Changes);
}

/// Moves the keys of the changed accounts. False where two accounts would have
/// one key; a whole read must follow, which also builds the keys anew.
bool DeclarationsUpdater::takeKeys(const AccountChanges &Changes) {
  const auto Forget = [this](AccountId Account) {
    const auto Before = this->Last->Accounts.find(Account);
    if (Before != this->Last->Accounts.end())
      this->AccountOfKey.erase(Before->second.KeyDigest);
  };
  for (const AccountId Account : Changes.Removed)
    Forget(Account);
  for (const auto &[Id, Account] : Changes.Set)
    Forget(Id);
  for (const auto &[Id, Account] : Changes.Set)
    if (!this->AccountOfKey.emplace(Account.KeyDigest, Id).second)
      return false;
  return true;
}

/// Declarations equal to the last but for their generation.
std::unique_ptr<Declarations> DeclarationsUpdater::takeBase() {
  std::unique_ptr<Declarations> Base;
  {
    std::lock_guard<std::mutex> Lock(this->Returned->Guard);
    Base = std::move(this->Returned->Latest);
  }
  if (!Base || !this->LastChanges || Base->Generation != this->BeforeLast)
    return std::make_unique<Declarations>(*this->Last);
  apply(*this->LastChanges, *Base);
  ++this->MadeInPlace;
  return Base;
}

Result<DeclarationsPtr> DeclarationsUpdater::readWhole(const PutInForce &Next) {
  // After a failure the changes that follow lead on from what was not taken.
  this->Last.reset();
  this->LastChanges.reset();
  this->AccountOfKey.clear();
  auto Read = parseDeclarations(
      *Next.Text, "generation " + std::to_string(Next.Generation));
  if (!Read)
    return tl::unexpected<Error>(Read.error());
  Read->Generation = Next.Generation;
  for (const auto &[Id, Account] : Read->Accounts)
    this->AccountOfKey.emplace(Account.KeyDigest, Id);
  DeclarationsPtr Made =
      this->publish(std::make_unique<Declarations>(std::move(*Read)));
  if (!hasPlainHeaders(*Next.Text))
    this->Last.reset();
  return Made;
}

DeclarationsPtr
DeclarationsUpdater::publish(std::unique_ptr<Declarations> Made) {
  const auto TakeBack = [Back = this->Returned](const Declarations *Free) {
    std::unique_ptr<Declarations> Old(const_cast<Declarations *>(Free));
    std::lock_guard<std::mutex> Lock(Back->Guard);
    if (!Back->Latest || Back->Latest->Generation < Old->Generation)
      std::swap(Back->Latest, Old);
  };
  this->Last = DeclarationsPtr(Made.release(), TakeBack);
  return this->Last;
}

} // namespace parsleywing
