#include "Runtime/Clock.h"

#include "Runtime/Invariant.h"
#include "Runtime/Overloaded.h"

#include <Poco/Clock.h>

namespace parsleywing {

TimePoint Clock::now() const {
  return std::visit(Overloaded{
                        [](const SteadySource &) {
                          return TimePoint(
                              Duration(Poco::Clock().microseconds()));
                        },
                        [](const PausedSource &Paused) {
                          return TimePoint(Duration(Paused.Elapsed->load()));
                        },
                    },
                    this->Source);
}

void Clock::advance(Duration Step) {
  auto *Paused = std::get_if<PausedSource>(&this->Source);
  PARSLEYWING_INVARIANT(Paused != nullptr, "only a paused clock is advanced");
  PARSLEYWING_INVARIANT(Step >= Duration::zero(), "time moves forward");
  Paused->Elapsed->fetch_add(Step.count());
}

} // namespace parsleywing
