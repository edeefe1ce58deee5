#include "Program/PlatformDeclarations.h"

#include "Platform/ConfigurationStore.h"
#include "Runtime/Overloaded.h"

namespace parsleywing {

namespace {

/// A command is one process that makes a handful of calls.
constexpr double CallsPerSecond = 50;
constexpr double CallBurst = 100;
constexpr const char *ConfigurationKeys = "config/";
constexpr const char *RouterKeys = "routers/";
constexpr Duration CallDeadline = std::chrono::seconds(2);
constexpr Duration LeastPatience = std::chrono::seconds(5);

StoreClient openClient(const PlatformEndpoint &Platform) {
  const Clock Time = Clock::steady();
  StoreSettings Store;
  Store.Address = Platform.Address;
  Store.CallTimeout = CallDeadline;
  auto Budget =
      std::make_shared<StoreBudget>(CallsPerSecond, CallBurst, Time.now());
  return {Store, Budget, Time};
}

ConfigurationStore openStore(const PlatformEndpoint &Platform, Duration Wait) {
  ConfigurationStoreSettings Configuration;
  Configuration.Prefix = Platform.Prefix + ConfigurationKeys;
  Configuration.Timeout = std::max(Wait, LeastPatience);
  return {Configuration, openClient(Platform), Clock::steady()};
}

std::string describe(const ConfigurationChange &Change) {
  return "generation " + std::to_string(Change.Generation) + " by " +
         Change.Operator + " at " + Change.Time;
}

std::string describe(const ApplyConflict &Lost) {
  std::string Text = "another file came first; nothing of this one is in "
                     "force. In force is " +
                     describe(Lost.Current) + ".";
  for (const ConfigurationChange &Change : Lost.ChangesSinceBase)
    Text += "\n  came between: " + describe(Change);
  return Text;
}

} // namespace

Result<AppliedDeclarations> applyToPlatform(const ApplyRequest &Wanted) {
  using Applied = Result<AppliedDeclarations>;
  ConfigurationStore Store = openStore(Wanted.Platform, Wanted.Timeout);
  return std::visit(
      Overloaded{
          [&](const ApplyAccepted &Accepted) -> Applied {
            return AppliedDeclarations{Accepted.Generation, Wanted.Text};
          },
          [](const ApplyConflict &Lost) -> Applied {
            return failure(ErrorCode::Conflict, describe(Lost));
          },
          [](const ApplyUnknown &Unknown) -> Applied {
            return failure(ErrorCode::Interrupted,
                           "the store stopped answering after the write was "
                           "sent: the file may be in force; `show` tells by "
                           "the apply's identity " +
                               Unknown.ApplyId);
          },
          [](const ApplyFailed &Failed) -> Applied {
            return tl::unexpected<Error>(Failed.Reason);
          },
      },
      Store.apply(Wanted.Text, Wanted.OperatorName));
}

Result<AppliedDeclarations> readFromPlatform(const PlatformEndpoint &Platform) {
  ConfigurationStore Store = openStore(Platform, LeastPatience);
  auto Read = Store.read();
  if (!Read)
    return tl::unexpected<Error>(Read.error());
  if (Read->Manifest.Generation == 0)
    return failure(ErrorCode::NotFound, "nothing was applied yet");
  return AppliedDeclarations{Read->Manifest.Generation, std::move(Read->Text)};
}

Result<std::vector<RouterRegistration>>
listRouters(const PlatformEndpoint &Platform) {
  StoreClient Store = openClient(Platform);
  const auto Read = Store.getPrefix(Platform.Prefix + RouterKeys);
  if (!Read)
    return tl::unexpected<Error>(Read.error());
  std::vector<RouterRegistration> Routers;
  for (const StoreEntry &Entry : Read->Entries)
    if (auto Router = decodeRegistration(Entry.Value))
      Routers.push_back(std::move(*Router));
  return Routers;
}

} // namespace parsleywing
