#include "Program/PlatformDeclarations.h"

namespace parsleywing {

namespace {

tl::unexpected<Error> notBuilt() {
  return failure(ErrorCode::Refused,
                 "this build has no client of the platform's store yet");
}

} // namespace

Result<AppliedDeclarations> applyToPlatform(const ApplyRequest &) {
  return notBuilt();
}

Result<AppliedDeclarations> readFromPlatform(const PlatformPlace &) {
  return notBuilt();
}

} // namespace parsleywing
