#include "Operator/DeclarationsReader.h"

#include <criterion/criterion.h>

using namespace parsleywing;

namespace {

const std::string Key(64, 'a');
const std::string OtherKey(64, 'b');

// Lines 1 to 8.
const std::string Prefix = "[server s1]\n"
                           "address = 127.0.0.1:8001\n"
                           "availability_zone = z1\n"
                           "[service advisory]\n"
                           "servers = s1\n"
                           "[account kettle]\n"
                           "key_sha256 = " +
                           Key + "\nservices = advisory\n";

struct InvalidCase {
  std::string Text;
  std::string Message;
};

void expectRejected(const std::vector<InvalidCase> &Cases) {
  for (const InvalidCase &Case : Cases) {
    const auto Parsed = parseDeclarations(Case.Text, "f.ini");
    cr_assert(!Parsed.has_value(), "accepted: %s", Case.Text.c_str());
    cr_expect_eq(Parsed.error().Message, Case.Message, "got: %s\nwanted: %s",
                 Parsed.error().Message.c_str(), Case.Message.c_str());
  }
}

} // namespace

Test(DeclarationsReader, ReadsEveryKey) {
  const auto Parsed = parseDeclarations(
      "; comment\n[server s1]\naddress = [::1]:8001\navailability_zone = z1\n"
      "fencing = checked\nmax_concurrent_requests = 3\n"
      "[service record]\nkind = plain\nrepeatable = no\nservers = s1\n"
      "model = m\nmax_output_tokens = 50\n[account kettle]\nshare = 7\n"
      "key_sha256 = " +
          std::string(64, 'A') +
          "\nservices = record\nmax_queued_requests = 9\n"
          "max_in_flight_requests = 4\n",
      "f.ini");
  cr_assert(Parsed.has_value(), "%s", Parsed.error().Message.c_str());
  const ServerDeclaration &Server = Parsed->Servers.at(idOf<ServerId>("s1"));
  cr_assert(Server.Fencing == FencingCheck::Checked);
  cr_assert_eq(Server.MaxConcurrent, 3);
  const auto &Service = Parsed->Services.at(idOf<ServiceId>("record"));
  cr_assert(Service.Kind == ServiceKind::Plain && !Service.Repeatable);
  cr_assert(Service.Model == "m" && Service.MaxOutputTokens == 50);
  const auto &Account = Parsed->Accounts.at(idOf<AccountId>("kettle"));
  cr_assert_eq(Account.KeyDigest, Key);
  cr_assert(Account.Share == 7 && Account.MaxQueued == 9 &&
            Account.MaxInFlight == 4);
}

Test(DeclarationsReader, AnInvalidLineIsReportedWithItsNumber) {
  expectRejected({
      {"share = 1\n", "f.ini:1: key appears before the first [section]"},
      {"\n[account a\n", "f.ini:2: section header has no closing bracket"},
      {Prefix + "nonsense\n", "f.ini:9: expected [section] or key = value"},
      {Prefix + "= 5\n", "f.ini:9: expected [section] or key = value"},
      {Prefix + "[server s1]\n",
       "f.ini:9: section [server s1] is defined twice"},
      {Prefix + "services = x\n",
       "f.ini:9: key services is defined twice in [account kettle]"},
      {Prefix + "[pool p]\n", "f.ini:9: [pool p] must be [account NAME], "
                              "[service NAME] or [server NAME]"},
      {Prefix + "[account]\n", "f.ini:9: [account] must be [account NAME], "
                               "[service NAME] or [server NAME]"},
      {Prefix + "[server a b]\n",
       "f.ini:9: [server a b] the name must be 1 to 100 letters, digits, '.', "
       "'_' or '-', the first a letter or digit"},
  });
}

Test(DeclarationsReader, AnInvalidValueIsReportedWithTheAllowedValues) {
  expectRejected({
      {Prefix + "color = red\n",
       "f.ini:9: [account kettle] color is not a known key; allowed are share, "
       "key_sha256, services, max_queued_requests, max_in_flight_requests"},
      {Prefix + "share = 0\n",
       "f.ini:9: [account kettle] share must be a whole "
       "number from 1 to 1000000, not '0'"},
      {Prefix + "share = many\n",
       "f.ini:9: [account kettle] share must be a whole number from 1 to "
       "1000000, not 'many'"},
      {Prefix + "[server s2]\naddress = example.org:80\n",
       "f.ini:10: [server s2] address must be a numeric IP:port, as "
       "127.0.0.1:8080 or [::1]:8080, not 'example.org:80'"},
      {Prefix + "[server s2]\navailability_zone = z1\n",
       "f.ini:9: [server s2] address is required and must not be empty"},
      {Prefix + "[server s2]\naddress = 127.0.0.1:1\navailability_zone = z1\n"
                "fencing = maybe\n",
       "f.ini:12: [server s2] fencing must be checked or ignored, not 'maybe'"},
      {Prefix + "[service v]\nrepeatable = perhaps\nservers = s1\n",
       "f.ini:10: [service v] repeatable must be yes or no, not 'perhaps'"},
      {Prefix + "[account b]\nkey_sha256 = xyz\nservices = advisory\n",
       "f.ini:10: [account b] key_sha256 must be 64 hexadecimal digits"},
  });
}

Test(DeclarationsReader, AnInvalidReferenceIsReportedWithItsLine) {
  expectRejected({
      {Prefix + "[account b]\nkey_sha256 = " + OtherKey + "\nservices = gone\n",
       "f.ini:11: [account b] services names 'gone', which is not declared in "
       "this file"},
      {Prefix + "[service v]\nservers = s1, s9\n",
       "f.ini:10: [service v] servers names 's9', which is not declared in "
       "this file"},
      {Prefix + "[service v]\nservers = s1, s1\n",
       "f.ini:10: [service v] servers names 's1' twice"},
      {Prefix + "[service v]\nservers = ,\n",
       "f.ini:10: [service v] servers must name at least one"},
      {Prefix + "[service v]\n",
       "f.ini:9: [service v] servers is required and must not be empty"},
      {Prefix + "[account b]\nkey_sha256 = " + OtherKey + "\n",
       "f.ini:9: [account b] services is required and must not be empty"},
      {Prefix + "[account b]\nkey_sha256 = " + std::string(64, 'A') +
           "\nservices = advisory\n",
       "f.ini:10: [account b] key_sha256 is also the key of [account kettle]"},
      {Prefix + "[server s2]\naddress = 127.0.0.1:1\navailability_zone = z1\n",
       "f.ini:9: [server s2] is in no service's list of servers"},
  });
}

Test(DeclarationsReader, AnUnreadableFileIsNotFound) {
  const auto Parsed = loadDeclarations("/nowhere/at/all.ini");
  cr_assert(!Parsed.has_value());
  cr_assert(Parsed.error().Code == ErrorCode::NotFound);
  cr_assert_eq(Parsed.error().Message,
               "/nowhere/at/all.ini: file cannot be read");
}
