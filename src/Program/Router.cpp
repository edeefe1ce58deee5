#include "Program/Router.h"

#include "Caller/CallerServer.h"
#include "Control/ControlLoop.h"
#include "Operator/DeclarationsReader.h"

#include <csignal>
#include <unistd.h>

namespace parsleywing {

namespace {

/// Blocks the stopping signals in this and all later threads, so that one
/// thread can wait for them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

Result<DeclarationsPtr> loadDeclarations(const std::string &Path) {
  auto File = IniFile::read(Path);
  if (!File)
    return tl::unexpected<Error>(File.error());
  auto Declared = readDeclarations(*File);
  if (!Declared)
    return tl::unexpected<Error>(Declared.error());
  return std::make_shared<const Declarations>(std::move(*Declared));
}

std::string lifeOfThisProcess() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

} // namespace

Result<void> runRouter(const Settings &Wanted) {
  const sigset_t Signals = blockStopSignals();
  ControlLoop Control(Clock::steady());
  CallerSettings ForCallers;
  ForCallers.Address = Wanted.CallerAddress;
  ForCallers.RouterName = Wanted.Name;
  CallerServer Callers(ForCallers, Control, lifeOfThisProcess());
  if (!Wanted.DeclarationsFile.empty()) {
    auto Declared = loadDeclarations(Wanted.DeclarationsFile);
    if (!Declared)
      return tl::unexpected<Error>(Declared.error());
    Callers.context().setDeclarations(*Declared);
    Control.post(DeclarationsChanged{*Declared});
  }
  Control.start();
  auto Started = Callers.start();
  if (!Started)
    return Started;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  log(LogPart::Program, LogLevel::Info, "Stopping.");
  return {};
}

} // namespace parsleywing
