#include "Operator/DeclarationsReader.h"

#include "Operator/SectionReader.h"
#include "Operator/ValueChecks.h"

#include <Poco/String.h>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace parsleywing {

namespace {

constexpr std::uint32_t MaxShare = 1'000'000;
constexpr std::uint32_t MaxCount = 1'000'000;
constexpr std::uint32_t MaxTokens = 10'000'000;
constexpr const char *AccountSection = "account ";
constexpr const char *SectionRule =
    "must be [account NAME], [service NAME] or [server NAME]";

template <typename IdType> std::vector<IdType> idsOf(const std::string &Value) {
  std::vector<IdType> Ids;
  for (const std::string &Name : splitList(Value))
    Ids.push_back(idOf<IdType>(Name));
  return Ids;
}

AccountDeclaration readAccount(SectionReader &Section, std::string Name) {
  AccountDeclaration Account;
  Account.Name = std::move(Name);
  Account.Share = Section.count("share", Account.Share, MaxShare);
  Account.KeyDigest = Poco::toLower(Section.requiredText("key_sha256"));
  if (!isSha256Hex(Account.KeyDigest))
    Section.failAt("key_sha256", "must be 64 hexadecimal digits");
  Account.Services = idsOf<ServiceId>(Section.requiredText("services"));
  Account.MaxQueued =
      Section.count("max_queued_requests", Account.MaxQueued, MaxCount);
  Account.MaxInFlight =
      Section.count("max_in_flight_requests", Account.MaxInFlight, MaxCount);
  return Account;
}

ServiceDeclaration readService(SectionReader &Section, std::string Name) {
  ServiceDeclaration Service;
  Service.Name = std::move(Name);
  Service.Kind = Section.choice("kind", ServiceKindNames, Service.Kind);
  Service.Repeatable = Section.yesOrNo("repeatable", Service.Repeatable);
  Service.Servers = idsOf<ServerId>(Section.requiredText("servers"));
  Service.Model = Section.text("model", "");
  Service.MaxOutputTokens =
      Section.count("max_output_tokens", Service.MaxOutputTokens, MaxTokens);
  return Service;
}

ServerDeclaration readServer(SectionReader &Section, std::string Name) {
  ServerDeclaration Server;
  Server.Name = std::move(Name);
  Server.Address = Section.requiredText("address");
  if (!isNumericAddress(Server.Address))
    Section.failAt("address", "must be " + std::string(AddressRule) +
                                  ", not '" + Server.Address + "'");
  Server.Zone = Section.requiredText("availability_zone");
  if (!isName(Server.Zone))
    Section.failAt("availability_zone", "must be " + std::string(NameRule) +
                                            ", not '" + Server.Zone + "'");
  Server.Fencing = Section.choice("fencing", FencingCheckNames, Server.Fencing);
  Server.MaxConcurrent =
      Section.count("max_concurrent_requests", Server.MaxConcurrent, MaxCount);
  return Server;
}

/// Adds the declaration under its ID. Returns the problem, or an empty text.
template <typename IdType, typename Declaration>
std::string add(std::map<IdType, Declaration> &Into, Declaration Declared) {
  const auto [Place, Added] =
      Into.emplace(idOf<IdType>(Declared.Name), Declared);
  if (Added)
    return {};
  return "the names " + Place->second.Name + " and " + Declared.Name +
         " have the same 64-bit hash; rename one";
}

std::string placeOf(const IniFile &File, const IniSection &Section) {
  return File.Path + ":" + std::to_string(Section.Line) + ": [" + Section.Name +
         "]";
}

std::string addSection(const IniFile &File, const IniSection &Section,
                       Declarations &Into) {
  const std::size_t Space = Section.Name.find(' ');
  const std::string Kind = Section.Name.substr(0, Space);
  const std::string Name =
      Space == std::string::npos ? "" : Section.Name.substr(Space + 1);
  const std::string Place = placeOf(File, Section) + " ";
  SectionReader Reader(File, Section);
  std::string Collision;
  if (Kind == "account")
    Collision = add(Into.Accounts, readAccount(Reader, Name));
  else if (Kind == "service")
    Collision = add(Into.Services, readService(Reader, Name));
  else if (Kind == "server")
    Collision = add(Into.Servers, readServer(Reader, Name));
  else
    return Place + SectionRule;
  if (Name.empty())
    return Place + SectionRule;
  if (!isName(Name))
    return Place + "the name must be " + NameRule;
  std::string Problem = Reader.finish();
  if (!Problem.empty())
    return Problem;
  return Collision.empty() ? "" : Place + Collision;
}

/// Checks a list of names: each is declared, there are no duplicates, and the
/// list is not empty. Returns the problem, or an empty text.
template <typename IdType, typename Declaration>
std::string checkList(const IniFile &File, const std::string &SectionName,
                      const std::string &Key,
                      const std::map<IdType, Declaration> &Declared) {
  const IniSection *Section = File.find(SectionName);
  const IniEntry *Entry = Section ? Section->find(Key) : nullptr;
  if (Entry == nullptr)
    return {};
  std::unordered_set<std::string> Seen;
  for (const std::string &Name : splitList(Entry->Value)) {
    if (!Declared.contains(idOf<IdType>(Name)))
      return File.place(*Section, *Entry) + " names '" + Name +
             "', which is not declared in this file";
    if (!Seen.insert(Name).second)
      return File.place(*Section, *Entry) + " names '" + Name + "' twice";
  }
  if (Seen.empty())
    return File.place(*Section, *Entry) + " must name at least one";
  return {};
}

std::string checkReferences(const IniFile &File, const Declarations &All) {
  for (const auto &[Id, Account] : All.Accounts) {
    std::string Problem =
        checkList(File, "account " + Account.Name, "services", All.Services);
    if (!Problem.empty())
      return Problem;
  }
  for (const auto &[Id, Service] : All.Services) {
    std::string Problem =
        checkList(File, "service " + Service.Name, "servers", All.Servers);
    if (!Problem.empty())
      return Problem;
  }
  return {};
}

/// Reads the accounts that the change adds or replaces. Returns false if
/// anything is invalid.
bool readSetAccounts(const Declarations &Before, const std::string &Text,
                     AccountChanges &Into) {
  const auto File = IniFile::parse(Text, "change");
  if (!File)
    return false;
  Declarations Parsed;
  for (const IniSection &Section : File->Sections)
    if (!Section.Name.starts_with(AccountSection) ||
        !addSection(*File, Section, Parsed).empty() ||
        !checkList(*File, Section.Name, "services", Before.Services).empty())
      return false;
  Into.Set = std::move(Parsed.Accounts);
  return true;
}

/// Rejects two accounts with the same key, since a request could not be
/// attributed to either.
std::string checkKeys(const IniFile &File, const Declarations &All) {
  std::unordered_map<std::string, std::string> NameOfKey;
  for (const IniSection &Section : File.Sections) {
    const IniEntry *Entry = Section.find("key_sha256");
    if (Entry == nullptr)
      continue;
    const auto [First, Added] =
        NameOfKey.emplace(Poco::toLower(Entry->Value), Section.Name);
    if (!Added)
      return File.place(Section, *Entry) + " is also the key of [" +
             First->second + "]";
  }
  PARSLEYWING_INVARIANT(NameOfKey.size() == All.Accounts.size(),
                        "every account has a key of its own");
  return {};
}

/// Rejects servers that belong to no service. Such a server would stay idle
/// unnoticed, most likely because its name was left out of a list.
std::string checkServersUsed(const IniFile &File, const Declarations &All) {
  std::set<ServerId> Used;
  for (const auto &[Id, Service] : All.Services)
    Used.insert(Service.Servers.begin(), Service.Servers.end());
  for (const auto &[Id, Server] : All.Servers)
    if (!Used.contains(Id))
      return placeOf(File, *File.find("server " + Server.Name)) +
             " is in no service's list of servers";
  return {};
}

} // namespace

Result<Declarations> readDeclarations(const IniFile &File) {
  Declarations All;
  for (const IniSection &Section : File.Sections) {
    std::string Problem = addSection(File, Section, All);
    if (!Problem.empty())
      return failure(ErrorCode::InvalidInput, std::move(Problem));
  }
  for (const auto Check : {checkReferences, checkKeys, checkServersUsed}) {
    std::string Problem = Check(File, All);
    if (!Problem.empty())
      return failure(ErrorCode::InvalidInput, std::move(Problem));
  }
  return All;
}

Result<Declarations> parseDeclarations(std::string_view Text,
                                       const std::string &Path) {
  const auto File = IniFile::parse(Text, Path);
  if (!File)
    return tl::unexpected<Error>(File.error());
  return readDeclarations(*File);
}

std::optional<AccountChanges>
readAccountChanges(const Declarations &Before,
                   const ConfigurationDelta &Changes) {
  AccountChanges Parsed;
  if (!readSetAccounts(Before, Changes.Changed, Parsed))
    return std::nullopt;
  const std::string Start = std::string("[") + AccountSection;
  for (const std::string &Header : Changes.Removed) {
    if (!Header.starts_with(Start) || !Header.ends_with(']'))
      return std::nullopt;
    const std::string Name =
        Header.substr(Start.size(), Header.size() - Start.size() - 1);
    const auto Found = Before.Accounts.find(idOf<AccountId>(Name));
    if (Found == Before.Accounts.end() || Found->second.Name != Name)
      return std::nullopt;
    Parsed.Removed.push_back(Found->first);
  }
  for (const auto &[Id, Account] : Parsed.Set) {
    const auto Found = Before.Accounts.find(Id);
    if (Found != Before.Accounts.end() && Found->second.Name != Account.Name)
      return std::nullopt; // Two names with one hash.
  }
  return Parsed;
}

Result<Declarations> loadDeclarations(const std::string &Path) {
  const auto File = IniFile::read(Path);
  if (!File)
    return tl::unexpected<Error>(File.error());
  return readDeclarations(*File);
}

} // namespace parsleywing
