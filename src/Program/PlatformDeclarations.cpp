#include "Program/PlatformDeclarations.h"

#include "Platform/ConfigurationStore.h"
#include "Runtime/Overloaded.h"

namespace parsleywing {

namespace {

/// Limits for a command, a short-lived process that makes only a few calls.
constexpr double CallsPerSecond = 50;
constexpr double CallBurst = 100;
constexpr const char *ConfigurationKeys = "config/";
constexpr const char *RouterKeys = "routers/";
constexpr Duration CallDeadline = std::chrono::seconds(2);
constexpr Duration MinTimeout = std::chrono::seconds(5);

StoreClient openClient(const PlatformEndpoint &Platform) {
  const Clock Time = Clock::steady();
  StoreSettings Store;
  Store.Address = Platform.Address;
  Store.CallTimeout = CallDeadline;
  auto Budget =
      std::make_shared<StoreBudget>(CallsPerSecond, CallBurst, Time.now());
  return {Store, Budget, Time};
}

ConfigurationStore openStore(const PlatformEndpoint &Platform,
                             Duration Timeout) {
  ConfigurationStoreSettings Configuration;
  Configuration.Prefix = Platform.Prefix + ConfigurationKeys;
  Configuration.Timeout = std::max(Timeout, MinTimeout);
  return {Configuration, openClient(Platform), Clock::steady()};
}

std::string describe(const ConfigurationChange &Change) {
  return "generation " + std::to_string(Change.Generation) + " by " +
         Change.Operator + " at " + Change.Time;
}

std::string describe(const ApplyConflict &Conflict) {
  std::string Text = "another file was applied first; nothing of this one is "
                     "in force. In force is " +
                     describe(Conflict.Current) + ".";
  for (const ConfigurationChange &Change : Conflict.ChangesSinceBase)
    Text += "\n  applied since: " + describe(Change);
  return Text;
}

} // namespace

Result<AppliedDeclarations> applyToPlatform(const ApplyRequest &Request) {
  using Applied = Result<AppliedDeclarations>;
  ConfigurationStore Store = openStore(Request.Platform, Request.Timeout);
  return std::visit(
      Overloaded{
          [&](const ApplyAccepted &Accepted) -> Applied {
            return AppliedDeclarations{Accepted.Generation, Request.Text};
          },
          [](const ApplyConflict &Conflict) -> Applied {
            return failure(ErrorCode::Conflict, describe(Conflict));
          },
          [](const ApplyUnknown &Unknown) -> Applied {
            return failure(ErrorCode::Interrupted,
                           "the store stopped answering after the write was "
                           "sent: the file may be in force; `show` tells by "
                           "the ID of the apply, " +
                               Unknown.ApplyId);
          },
          [](const ApplyFailed &Failed) -> Applied {
            return tl::unexpected<Error>(Failed.Reason);
          },
      },
      Store.apply(Request.Text, Request.OperatorName));
}

Result<AppliedDeclarations> readFromPlatform(const PlatformEndpoint &Platform) {
  ConfigurationStore Store = openStore(Platform, MinTimeout);
  auto Configuration = Store.read();
  if (!Configuration)
    return tl::unexpected<Error>(Configuration.error());
  if (Configuration->Manifest.Generation == 0)
    return failure(ErrorCode::NotFound,
                   "no declarations have been applied yet");
  return AppliedDeclarations{Configuration->Manifest.Generation,
                             std::move(Configuration->Text)};
}

Result<std::vector<RouterRegistration>>
listRouters(const PlatformEndpoint &Platform) {
  StoreClient Store = openClient(Platform);
  const auto Range = Store.getPrefix(Platform.Prefix + RouterKeys);
  if (!Range)
    return tl::unexpected<Error>(Range.error());
  std::vector<RouterRegistration> Routers;
  for (const StoreEntry &Entry : Range->Entries)
    if (auto Router = decodeRegistration(Entry.Value))
      Routers.push_back(std::move(*Router));
  return Routers;
}

} // namespace parsleywing
