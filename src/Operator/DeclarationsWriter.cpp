#include "Operator/DeclarationsWriter.h"

#include <algorithm>

namespace parsleywing {

namespace {

template <typename IdType, typename Declaration>
std::string namesOf(const std::vector<IdType> &Ids,
                    const std::map<IdType, Declaration> &Declared) {
  std::string Names;
  for (const IdType &Id : Ids) {
    const auto Found = Declared.find(Id);
    PARSLEYWING_INVARIANT(Found != Declared.end(),
                          "declarations refer only to what they declare");
    Names += (Names.empty() ? "" : ", ") + Found->second.Name;
  }
  return Names;
}

IniSection sectionOf(const AccountDeclaration &Account,
                     const Declarations &All) {
  return {"account " + Account.Name,
          0,
          {{"share", std::to_string(Account.Share)},
           {"key_sha256", Account.KeyDigest},
           {"services", namesOf(Account.Services, All.Services)},
           {"max_queued_requests", std::to_string(Account.MaxQueued)},
           {"max_in_flight_requests", std::to_string(Account.MaxInFlight)}}};
}

IniSection sectionOf(const ServiceDeclaration &Service,
                     const Declarations &All) {
  IniSection Section{
      "service " + Service.Name,
      0,
      {{"kind", std::string(nameOf(ServiceKindNames, Service.Kind))},
       {"repeatable", Service.Repeatable ? "yes" : "no"},
       {"servers", namesOf(Service.Servers, All.Servers)},
       {"max_output_tokens", std::to_string(Service.MaxOutputTokens)}}};
  if (!Service.Model.empty())
    Section.Entries.push_back({"model", Service.Model});
  return Section;
}

IniSection sectionOf(const ServerDeclaration &Server, const Declarations &) {
  return {"server " + Server.Name,
          0,
          {{"address", Server.Address},
           {"availability_zone", Server.Zone},
           {"fencing", std::string(nameOf(FencingCheckNames, Server.Fencing))},
           {"max_concurrent_requests", std::to_string(Server.MaxConcurrent)}}};
}

/// Appends the sections of one kind, sorted by name: IDs are hashes, and their
/// order would mean nothing to a reader.
template <typename IdType, typename Declaration>
void append(std::vector<IniSection> &Into, const Declarations &All,
            const std::map<IdType, Declaration> &Declared) {
  const auto First = static_cast<std::ptrdiff_t>(Into.size());
  for (const auto &[Id, Each] : Declared)
    Into.push_back(sectionOf(Each, All));
  std::sort(Into.begin() + First, Into.end(),
            [](const IniSection &Left, const IniSection &Right) {
              return Left.Name < Right.Name;
            });
}

} // namespace

std::vector<IniSection> sectionsOf(const Declarations &All) {
  std::vector<IniSection> Sections;
  append(Sections, All, All.Accounts);
  append(Sections, All, All.Services);
  append(Sections, All, All.Servers);
  return Sections;
}

std::string writeDeclarations(const Declarations &All) {
  std::string Text;
  for (const IniSection &Section : sectionsOf(All)) {
    Text += (Text.empty() ? "[" : "\n[") + Section.Name + "]\n";
    for (const IniEntry &Entry : Section.Entries)
      Text += Entry.Key + " = " + Entry.Value + "\n";
  }
  return Text;
}

} // namespace parsleywing
