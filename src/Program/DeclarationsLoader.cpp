#include "Program/DeclarationsLoader.h"

#include "Runtime/Log.h"

namespace parsleywing {

namespace {

constexpr Duration StopCheckInterval = std::chrono::milliseconds(200);

} // namespace

DeclarationsLoader::DeclarationsLoader(std::function<void(DeclarationsPtr)> T)
    : OnLoaded(std::move(T)), Worker([this] { this->run(); }) {}

DeclarationsLoader::~DeclarationsLoader() {
  this->Stopping = true;
  this->Pending.close();
  this->Worker.join();
}

void DeclarationsLoader::run() {
  while (!this->Stopping) {
    std::optional<ActivateConfiguration> Newest =
        this->Pending.take(StopCheckInterval);
    if (!Newest)
      continue;
    bool FollowsLast = true;
    while (auto Newer = this->Pending.take(Duration::zero())) {
      Newest = std::move(Newer);
      FollowsLast = false;
    }
    this->update(*Newest, FollowsLast);
  }
}

void DeclarationsLoader::update(const ActivateConfiguration &Next,
                                bool FollowsLast) {
  const std::string Label = "generation " + std::to_string(Next.Generation);
  auto Parsed = this->Updater.update(Next, FollowsLast);
  if (!Parsed) {
    // `apply` validates each file before it writes to the store, so a later
    // version must have written this one. The active declarations stay active.
    log(LogPart::Program, LogLevel::Error, Parsed.error().Message);
    return;
  }
  log(LogPart::Program, LogLevel::Info, "In force: " + Label + ".");
  this->OnLoaded(std::move(*Parsed));
}

} // namespace parsleywing
