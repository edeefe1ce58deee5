#include "Caller/CallerContext.h"

namespace parsleywing {

namespace {

BackendSettings settingsForRouters(const CallerSettings &Settings) {
  BackendSettings Result = Settings.Backend;
  Result.FirstEventTimeout = Settings.MaxTimeout;
  Result.EventGapTimeout = Settings.MaxTimeout;
  return Result;
}

} // namespace

CallerContext::CallerContext(CallerSettings S, ControlLoop &C, std::string I)
    : Settings(std::move(S)), Control(C),
      Engines(Settings.Backend, processCounters()),
      Services(Settings.Backend, processCounters()),
      Routers(settingsForRouters(Settings), processCounters()),
      IncarnationNumber(std::move(I)) {
  this->setDeclarations(std::make_shared<Declarations>());
}

CallerDeclarations CallerContext::declarations() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Current;
}

void CallerContext::setDeclarations(DeclarationsPtr Declared) {
  // Built outside the lock, since it takes milliseconds with many accounts.
  auto Keys = std::make_shared<const AccountKeys>(*Declared);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Current = {std::move(Declared), std::move(Keys)};
}

} // namespace parsleywing
