#include "Gateway/GatewaySettingsReader.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

const std::string ValidFile =
    "[gateway]\nname = r1\nzone = a\n"
    "callers = 127.0.0.1:8080\nready = 127.0.0.1:8081\n"
    "cores = 0.25\ndescriptors = 4100\nmemory-mb = 110\n"
    "drain-limit-s = 8\n\n[store]\n"
    "address = 127.0.0.1:9000\n\n[bounds]\n"
    "revocation-ms = 5000\nretry-window-s = 7.5\n"
    "[placement]\nweigh-cached-prompts = yes\nreread-interval-s = 5.7\n";

Result<GatewayFileSettings> read(const std::string &Text) {
  return readGatewaySettings(IniFile::parse(Text, "r.ini").value());
}

std::string errorOf(std::string Text, const std::string &Old,
                    const std::string &New) {
  Text.replace(Text.find(Old), Old.size(), New);
  const auto Settings = read(Text);
  return Settings ? "" : Settings.error().Message;
}

} // namespace

Test(GatewaySettings, readsValidFile) {
  const auto Settings = read(ValidFile);
  cr_assert(Settings.has_value(), "%s", Settings.error().Message.c_str());
  cr_assert_eq(Settings->Gateway.Name, "r1");
  cr_assert_eq(Settings->StoreAddress, "127.0.0.1:9000");
  cr_assert(Settings->Gateway.DrainTimeout == 8s);
  cr_assert(Settings->Gateway.Retries.Window == 7500ms);
  const AllocatorOptions Options = Settings->Gateway.allocatorOptions();
  cr_assert(Options.WeighCachedPrompts);
  cr_assert(Options.RereadInterval == 5700ms);
  cr_assert_eq(Settings->Gateway.MaxCallerConnections, 2050U);
  cr_assert_eq(Settings->Gateway.MaxBufferBytes, 27'500'000U);

  cr_assert_not(Settings->Gateway.ShareSlots);
  cr_assert(read(ValidFile + "[services]\nshare-slots = yes\n")
                .value()
                .Gateway.ShareSlots);
}

Test(GatewaySettings, errorNamesLineSectionAndKey) {
  const std::string Address =
      errorOf(ValidFile, "callers = 127.0.0.1:8080", "callers = here");
  cr_assert(Address.starts_with("r.ini:4: [gateway] callers must be"), "%s",
            Address.c_str());
  cr_assert_neq(errorOf(ValidFile, "name = r1", "name = "), "");
  cr_assert_neq(errorOf(ValidFile, "cores = 0.25", "cores = 0"), "");
  // Of earlier releases.
  cr_assert_not(read(ValidFile + "[overload]\nredirect = no\n").has_value());
  cr_assert_neq(errorOf(ValidFile, "zone = a", "zonne = a"), "");
  cr_assert_neq(errorOf(ValidFile, "[store]", "[stores]"), "");
  cr_assert_neq(
      errorOf(ValidFile, "revocation-ms = 5000", "revocation-ms = -1"), "");
  cr_assert_neq(
      errorOf(ValidFile, "retry-window-s = 7.5", "retry-window-s = x"), "");
  cr_assert_neq(errorOf(ValidFile, "[bounds]",
                        "[services]\nshare-slots = maybe\n[bounds]"),
                "");
}

// Guards against a release that changes the placement of deployments which do
// not ask for it.
Test(GatewaySettings, doesNotWeighCachedPromptsByDefault) {
  cr_assert_not(GatewaySettings().allocatorOptions().WeighCachedPrompts);
}
