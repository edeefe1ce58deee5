#ifndef PARSLEYWING_PROGRAM_DECLARATIONSLOADER_H
#define PARSLEYWING_PROGRAM_DECLARATIONSLOADER_H

#include "Decision/Configuration/ConfigurationTypes.h"
#include "Decision/Declarations.h"
#include "Program/DeclarationsUpdater.h"
#include "Runtime/Mailbox.h"

#include <functional>
#include <thread>

namespace parsleywing {

/// Reads each configuration that is put in force into declarations, on a
/// thread of its own: 24,000 accounts take longer than the control thread may
/// stand still. Where several wait, only the newest is read. See
/// `DeclarationsUpdater` for the cost.
class DeclarationsLoader {
public:
  /// `T` is called on the loader's thread, with rising generations.
  explicit DeclarationsLoader(std::function<void(DeclarationsPtr)> T);
  ~DeclarationsLoader();
  DeclarationsLoader(const DeclarationsLoader &) = delete;
  DeclarationsLoader &operator=(const DeclarationsLoader &) = delete;

  void load(PutInForce Wanted) { this->Pending.put(std::move(Wanted)); }

private:
  void run();
  void update(const PutInForce &Newest, bool FollowsTheLast);

  std::function<void(DeclarationsPtr)> OnLoaded;
  DeclarationsUpdater Updater;
  Mailbox<PutInForce> Pending;
  std::atomic<bool> Stopping{false};
  std::thread Worker;
};

} // namespace parsleywing

#endif
