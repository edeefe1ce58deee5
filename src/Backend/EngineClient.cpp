#include "Backend/EngineClient.h"

#include "Backend/EngineAttempt.h"

namespace parsleywing {

EngineResult EngineClient::run(const EngineCall &Call,
                               const EngineListener &Listener) {
  return internal::EngineAttempt(Call, Listener, this->Settings, this->Counters,
                                 this->Pool)
      .run();
}

BackendCounters &processCounters() {
  static BackendCounters Counters;
  return Counters;
}

EngineResult runEngineCall(const EngineCall &Call,
                           const EngineListener &Listener) {
  static EngineClient Client({}, processCounters());
  return Client.run(Call, Listener);
}

} // namespace parsleywing
