#include "Gateway/GatewaySettingsReader.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

const std::string Good = "[gateway]\nname = r1\nzone = a\n"
                         "callers = 127.0.0.1:8080\nready = 127.0.0.1:8081\n"
                         "cores = 0.25\ndescriptors = 4100\nmemory-mb = 110\n"
                         "drain-limit-s = 8\n\n[store]\n"
                         "address = 127.0.0.1:9000\n\n[bounds]\n"
                         "revocation-ms = 5000\nretry-window-s = 7.5\n";

Result<GatewayFileSettings> read(const std::string &Text) {
  return readGatewaySettings(IniFile::parse(Text, "r.ini").value());
}

std::string problemOf(std::string Text, const std::string &Old,
                      const std::string &New) {
  Text.replace(Text.find(Old), Old.size(), New);
  const auto Read = read(Text);
  return Read ? "" : Read.error().Message;
}

} // namespace

Test(GatewaySettings, areRead) {
  const auto Read = read(Good);
  cr_assert(Read.has_value(), "%s", Read.error().Message.c_str());
  cr_assert_eq(Read->Gateway.Name, "r1");
  cr_assert_eq(Read->StoreAddress, "127.0.0.1:9000");
  cr_assert(Read->Gateway.DrainTimeout == 8s);
  cr_assert(Read->Gateway.Retries.Window == 7500ms);
  cr_assert_eq(Read->Gateway.MaxCallerConnections, 2050U);
}

Test(GatewaySettings, aMistakeIsNamedWithItsPlace) {
  const std::string Address =
      problemOf(Good, "callers = 127.0.0.1:8080", "callers = here");
  cr_assert(Address.starts_with("r.ini:4: [gateway] callers must be"), "%s",
            Address.c_str());
  cr_assert_neq(problemOf(Good, "name = r1", "name = "), "");
  cr_assert_neq(problemOf(Good, "cores = 0.25", "cores = 0"), "");
  cr_assert_neq(problemOf(Good, "zone = a", "zonne = a"), "");
  cr_assert_neq(problemOf(Good, "[store]", "[stores]"), "");
  cr_assert_neq(problemOf(Good, "revocation-ms = 5000", "revocation-ms = -1"),
                "");
  cr_assert_neq(problemOf(Good, "retry-window-s = 7.5", "retry-window-s = x"),
                "");
}
