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
    std::optional<PutInForce> Newest = this->Pending.take(StopCheckInterval);
    if (!Newest)
      continue;
    bool FollowsTheLast = true;
    while (auto Newer = this->Pending.take(Duration::zero())) {
      Newest = std::move(Newer);
      FollowsTheLast = false;
    }
    this->update(*Newest, FollowsTheLast);
  }
}

void DeclarationsLoader::update(const PutInForce &Newest, bool FollowsTheLast) {
  const std::string Place = "generation " + std::to_string(Newest.Generation);
  auto Declared = this->Updater.update(Newest, FollowsTheLast);
  if (!Declared) {
    // `apply` checks each file before it goes to the store, so this is one
    // that a later version wrote. What is in force stays so.
    log(LogPart::Program, LogLevel::Error, Declared.error().Message);
    return;
  }
  log(LogPart::Program, LogLevel::Info, "In force: " + Place + ".");
  this->OnLoaded(std::move(*Declared));
}

} // namespace parsleywing
