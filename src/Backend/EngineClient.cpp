#include "Backend/EngineClient.h"

#include "Backend/EngineAttempt.h"
#include "Backend/ShortCall.h"

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

void EngineClient::cancel(const std::string &Address,
                          const std::string &ResponseId) {
  if (!ResponseId.empty() &&
      cancelResponse(Address, ResponseId, this->Settings))
    ++this->Counters.CancelOrders;
  else
    ++this->Counters.CancelOrdersFailed;
}

} // namespace parsleywing
