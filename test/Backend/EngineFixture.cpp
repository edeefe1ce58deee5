#include "Backend/EngineFixture.h"

#include <chrono>
#include <thread>

namespace parsleywing::test {

using std::chrono::milliseconds;

bool eventually(const std::function<bool()> &Condition, Duration Timeout) {
  const Clock Time = Clock::steady();
  const TimePoint Deadline = Time.now() + Timeout;
  while (!Condition()) {
    if (Time.now() >= Deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

EngineFixture::EngineFixture(BackendSettings S, standin::EngineOptions O)
    : Engine(std::move(O)), Client(std::move(S), Counters) {
  this->Engine.start();
}

BackendSettings EngineFixture::pausedSettings() {
  BackendSettings Settings;
  Settings.Time = Clock::paused();
  return Settings;
}

standin::EngineOptions EngineFixture::quickEngine() {
  standin::EngineOptions Options;
  Options.Address = "127.0.0.1:0";
  Options.Step = milliseconds(1);
  return Options;
}

EngineCall EngineFixture::call(std::uint64_t Tokens) {
  EngineCall Call;
  Call.Address = this->Engine.address();
  Call.Model = "stand-in";
  Call.Input = "tokens=" + std::to_string(Tokens);
  Call.MaxOutputTokens = Tokens;
  Call.Identity = "request-7.1";
  return Call;
}

EngineResult EngineFixture::run(const EngineCall &Call) {
  EngineListener Listener;
  Listener.SendStarted = [this] { ++this->SentCalls; };
  Listener.ServerLeaving = [this] { ++this->LeavingNotices; };
  Listener.DeltaReceived = [this](const std::string &Chunk, std::uint64_t) {
    this->Text += Chunk;
    return true;
  };
  return this->Client.run(Call, Listener);
}

std::string EngineFixture::fullText(std::uint64_t Tokens) {
  std::string Text;
  for (std::uint64_t Token = 0; Token < Tokens; ++Token)
    Text += "t" + std::to_string(Token) + " ";
  return Text;
}

} // namespace parsleywing::test
