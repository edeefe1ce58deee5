#include "Operator/DeclarationsReader.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

namespace parsleywing {

namespace {

constexpr std::uint32_t MaxShare = 1'000'000;
constexpr std::uint32_t MaxCount = 1'000'000;
constexpr std::size_t KeyDigestLength = 64;

/// Reads the entries of one section and keeps the first problem met.
class SectionReader {
public:
  SectionReader(const IniFile &F, const IniSection &S) : File(F), Section(S) {}

  std::string text(const std::string &Key, const std::string &Default) {
    this->Known.push_back(Key);
    const IniEntry *Entry = this->Section.find(Key);
    return Entry ? Entry->Value : Default;
  }

  std::string requiredText(const std::string &Key) {
    std::string Value = this->text(Key, "");
    if (Value.empty())
      this->fail(this->File.Path + ":" + std::to_string(this->Section.Line) +
                 ": [" + this->Section.Name + "] needs a value for " + Key);
    return Value;
  }

  std::uint32_t count(const std::string &Key, std::uint32_t Default,
                      std::uint32_t Max) {
    const std::string Value = this->text(Key, std::to_string(Default));
    unsigned Number = 0;
    if (!Poco::NumberParser::tryParseUnsigned(Value, Number) || Number < 1 ||
        Number > Max) {
      this->failAt(Key, "must be a whole number from 1 to " +
                            std::to_string(Max) + ", not '" + Value + "'");
      return Default;
    }
    return Number;
  }

  bool yesOrNo(const std::string &Key, bool Default) {
    const std::string Value = this->text(Key, Default ? "yes" : "no");
    if (Value != "yes" && Value != "no")
      this->failAt(Key, "must be yes or no, not '" + Value + "'");
    return Value == "yes";
  }

  template <typename Enum, std::size_t Count>
  Enum choice(const std::string &Key, const EnumNames<Enum, Count> &Names,
              Enum Default) {
    const std::string Value =
        this->text(Key, std::string(nameOf(Names, Default)));
    if (const auto Chosen = valueOf(Names, Value))
      return *Chosen;
    std::string Allowed;
    for (const auto &[Each, Name] : Names)
      Allowed += (Allowed.empty() ? "" : " or ") + std::string(Name);
    this->failAt(Key, "must be " + Allowed + ", not '" + Value + "'");
    return Default;
  }

  void failAt(const std::string &Key, const std::string &Problem) {
    const IniEntry *Entry = this->Section.find(Key);
    const IniEntry Missing{Key, "", this->Section.Line};
    this->fail(this->File.place(this->Section, Entry ? *Entry : Missing) + " " +
               Problem);
  }

  /// Refuses keys that nobody asked for. Returns the first problem met.
  std::string finish() {
    for (const IniEntry &Entry : this->Section.Entries) {
      if (std::ranges::find(this->Known, Entry.Key) != this->Known.end())
        continue;
      std::string Allowed;
      for (const std::string &Key : this->Known)
        Allowed += (Allowed.empty() ? "" : ", ") + Key;
      this->failAt(Entry.Key, "is not a known key; allowed are " + Allowed);
    }
    return this->Problem;
  }

private:
  void fail(std::string Message) {
    if (this->Problem.empty())
      this->Problem = std::move(Message);
  }

  const IniFile &File;
  const IniSection &Section;
  std::vector<std::string> Known;
  std::string Problem;
};

template <typename IdType> std::vector<IdType> idsOf(const std::string &Value) {
  std::vector<IdType> Ids;
  for (const std::string &Name : splitList(Value))
    Ids.push_back(idOf<IdType>(Name));
  return Ids;
}

AccountDeclaration readAccount(SectionReader &Section, std::string Name) {
  AccountDeclaration Account;
  Account.Name = std::move(Name);
  Account.Share = Section.count("share", 1, MaxShare);
  Account.KeyDigest = Poco::toLower(Section.requiredText("key_sha256"));
  if (Account.KeyDigest.size() != KeyDigestLength)
    Section.failAt("key_sha256", "must be 64 hexadecimal digits");
  Account.Services = idsOf<ServiceId>(Section.requiredText("services"));
  Account.MaxQueued = Section.count("max_queued_requests", 1000, MaxCount);
  return Account;
}

ServiceDeclaration readService(SectionReader &Section, std::string Name) {
  ServiceDeclaration Service;
  Service.Name = std::move(Name);
  Service.Kind = Section.choice("kind", ServiceKindNames, ServiceKind::Engine);
  Service.Repeatable = Section.yesOrNo("repeatable", true);
  Service.Servers = idsOf<ServerId>(Section.requiredText("servers"));
  return Service;
}

ServerDeclaration readServer(SectionReader &Section, std::string Name) {
  ServerDeclaration Server;
  Server.Name = std::move(Name);
  Server.Address = Section.requiredText("address");
  Server.Zone = Section.requiredText("availability_zone");
  Server.Fencing =
      Section.choice("fencing", FencingCheckNames, FencingCheck::Ignored);
  Server.MaxConcurrent = Section.count("max_concurrent_requests", 8, MaxCount);
  return Server;
}

/// Adds the declaration under its identity. Returns the problem or nothing.
template <typename IdType, typename Declaration>
std::string add(std::map<IdType, Declaration> &Into, Declaration Declared) {
  const auto [Place, Added] =
      Into.emplace(idOf<IdType>(Declared.Name), Declared);
  if (Added)
    return {};
  return "the names " + Place->second.Name + " and " + Declared.Name +
         " have the same 64-bit hash; rename one";
}

std::string addSection(const IniFile &File, const IniSection &Section,
                       Declarations &Into) {
  const std::size_t Space = Section.Name.find(' ');
  const std::string Kind = Section.Name.substr(0, Space);
  const std::string Name =
      Space == std::string::npos ? "" : Poco::trim(Section.Name.substr(Space));
  const std::string Place = File.Path + ":" + std::to_string(Section.Line) +
                            ": [" + Section.Name + "]";
  if (Name.empty())
    return Place + " must be [account NAME], [service NAME] or [server NAME]";
  SectionReader Reader(File, Section);
  std::string Clash;
  if (Kind == "account")
    Clash = add(Into.Accounts, readAccount(Reader, Name));
  else if (Kind == "service")
    Clash = add(Into.Services, readService(Reader, Name));
  else if (Kind == "server")
    Clash = add(Into.Servers, readServer(Reader, Name));
  else
    return Place + " must be [account NAME], [service NAME] or [server NAME]";
  std::string Problem = Reader.finish();
  if (!Problem.empty())
    return Problem;
  return Clash.empty() ? "" : Place + " " + Clash;
}

/// Checks that each name in a list is declared. Returns the problem or nothing.
template <typename IdType, typename Declaration>
std::string checkList(const IniFile &File, const std::string &SectionName,
                      const std::string &Key,
                      const std::map<IdType, Declaration> &Declared) {
  const IniSection *Section = File.find(SectionName);
  const IniEntry *Entry = Section ? Section->find(Key) : nullptr;
  if (Entry == nullptr)
    return {};
  for (const std::string &Name : splitList(Entry->Value))
    if (!Declared.contains(idOf<IdType>(Name)))
      return File.place(*Section, *Entry) + " names '" + Name +
             "', which is not declared in this file";
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

} // namespace

Result<Declarations> readDeclarations(const IniFile &File) {
  Declarations All;
  for (const IniSection &Section : File.Sections) {
    std::string Problem = addSection(File, Section, All);
    if (!Problem.empty())
      return failure(ErrorCode::InvalidInput, std::move(Problem));
  }
  std::string Problem = checkReferences(File, All);
  if (!Problem.empty())
    return failure(ErrorCode::InvalidInput, std::move(Problem));
  return All;
}

} // namespace parsleywing
