#ifndef PARSLEYWING_PROGRAM_DECLARATIONSLOADER_H
#define PARSLEYWING_PROGRAM_DECLARATIONSLOADER_H

#include "Decision/Configuration/ConfigurationTypes.h"
#include "Decision/Declarations.h"
#include "Program/DeclarationsUpdater.h"
#include "Runtime/Mailbox.h"

#include <functional>
#include <thread>

namespace parsleywing {

/// Parses each configuration that becomes active into declarations. Runs its
/// own thread, since parsing 24,000 accounts would block the control thread for
/// too long. If several configurations are queued, only the newest is parsed.
/// See `DeclarationsUpdater` for the cost.
class DeclarationsLoader {
public:
  /// `T` is called on the loader's thread, with increasing generations.
  explicit DeclarationsLoader(std::function<void(DeclarationsPtr)> T);
  ~DeclarationsLoader();
  DeclarationsLoader(const DeclarationsLoader &) = delete;
  DeclarationsLoader &operator=(const DeclarationsLoader &) = delete;

  void load(ActivateConfiguration Next) { this->Pending.put(std::move(Next)); }

private:
  void run();
  void update(const ActivateConfiguration &Next, bool FollowsLast);

  std::function<void(DeclarationsPtr)> OnLoaded;
  DeclarationsUpdater Updater;
  Mailbox<ActivateConfiguration> Pending;
  std::atomic<bool> Stopping{false};
  std::thread Worker;
};

} // namespace parsleywing

#endif
