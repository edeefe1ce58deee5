#include "Operator/DeclarationsWriter.h"
#include "Operator/DeclarationsDiff.h"
#include "Operator/DeclarationsReader.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace parsleywing;

namespace {

template <typename Value> Value pick(Value Low, Value High) {
  return *rc::gen::inRange<Value>(Low, High + 1);
}

std::string digestFor(std::size_t Number) {
  std::string Digits = std::to_string(Number);
  return std::string(64 - Digits.size(), '0') + Digits;
}

/// Generates random declarations that the reader accepts.
Declarations anyDeclarations() {
  Declarations All;
  std::vector<ServiceId> Services;
  const int ServiceCount = pick(1, 4);
  for (int Index = 0; Index < ServiceCount; ++Index) {
    ServiceDeclaration Service;
    Service.Name = "service-" + std::to_string(Index);
    Service.Kind = *rc::gen::element(ServiceKind::Engine, ServiceKind::Plain);
    Service.Repeatable = *rc::gen::arbitrary<bool>();
    Service.Model = *rc::gen::element<std::string>("", "model-7b");
    Service.MaxOutputTokens = pick<std::uint32_t>(1, 1000);
    const int ServerCount = pick(1, 3);
    for (int Each = 0; Each < ServerCount; ++Each) {
      ServerDeclaration Server;
      Server.Name = Service.Name + ".s" + std::to_string(Each);
      Server.Address = "10.0.0.1:" + std::to_string(pick(1, 65535));
      Server.Zone = "z" + std::to_string(pick(1, 9));
      Server.Fencing =
          *rc::gen::element(FencingCheck::Checked, FencingCheck::Ignored);
      Server.MaxConcurrent = pick<std::uint32_t>(1, 64);
      Service.Servers.push_back(idOf<ServerId>(Server.Name));
      All.Servers.emplace(idOf<ServerId>(Server.Name), Server);
    }
    Services.push_back(idOf<ServiceId>(Service.Name));
    All.Services.emplace(idOf<ServiceId>(Service.Name), Service);
  }
  const std::size_t AccountCount = pick<std::size_t>(0, 5);
  for (std::size_t Index = 0; Index < AccountCount; ++Index) {
    AccountDeclaration Account;
    Account.Name = "account-" + std::to_string(Index);
    Account.Share = pick<std::uint32_t>(1, 1'000'000);
    Account.KeyDigest = digestFor(Index);
    Account.Services = {*rc::gen::elementOf(Services)};
    Account.MaxQueued = pick<std::uint32_t>(1, 9999);
    Account.MaxInFlight = pick<std::uint32_t>(1, 9999);
    All.Accounts.emplace(idOf<AccountId>(Account.Name), Account);
  }
  return All;
}

void expectHolds(bool Held) { cr_assert(Held); }

} // namespace

Test(DeclarationsWriter, WrittenDeclarationsRoundTrip) {
  expectHolds(rc::check("written, read, written", [] {
    const Declarations Expected = anyDeclarations();
    const std::string Text = writeDeclarations(Expected);
    const auto Parsed = parseDeclarations(Text, "written.ini");
    RC_ASSERT(Parsed.has_value());
    RC_ASSERT(*Parsed == Expected);
    RC_ASSERT(writeDeclarations(*Parsed) == Text);
  }));
}

Test(DeclarationsDiff, IsEmptyIfAndOnlyIfDeclarationsAreEqual) {
  expectHolds(rc::check("compare", [] {
    const Declarations Left = anyDeclarations();
    const Declarations Right = anyDeclarations();
    RC_ASSERT(compareDeclarations(Left, Left).empty());
    RC_ASSERT(compareDeclarations(Left, Right).empty() == (Left == Right));
  }));
}

Test(DeclarationsDiff, ReportsAddedAlteredAndRemovedSections) {
  const std::string Common = "[server s]\naddress = 127.0.0.1:1\n"
                             "availability_zone = z\n[service v]\nservers = s\n"
                             "[account a]\nservices = v\nkey_sha256 = " +
                             digestFor(1) + "\n";
  const std::string Second =
      "[account b]\nservices = v\nkey_sha256 = " + digestFor(2) + "\n";
  const auto Before = parseDeclarations(Common + Second, "before");
  const auto After =
      parseDeclarations(Common + "share = 4\n[service w]\nservers = s\n", "f");
  cr_assert(Before.has_value() && After.has_value());
  std::vector<std::string> Lines;
  for (const DeclarationChange &Change : compareDeclarations(*Before, *After))
    Lines.push_back(textOf(Change));
  const std::vector<std::string> Expected{"altered account a: share 1 -> 4",
                                          "added service w",
                                          "removed account b"};
  cr_assert(Lines == Expected);
}
