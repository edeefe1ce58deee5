#include "Caller/CallerContext.h"

namespace parsleywing {

CallerContext::CallerContext(CallerSettings S, ControlLoop &C, std::string L)
    : Settings(std::move(S)), Control(C), Life(std::move(L)) {
  this->setDeclarations(std::make_shared<Declarations>());
}

CallerDeclarations CallerContext::declarations() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Current;
}

void CallerContext::setDeclarations(DeclarationsPtr Declared) {
  // Built outside the lock: it takes milliseconds with all accounts.
  auto Keys = std::make_shared<const AccountKeys>(*Declared);
  std::lock_guard<std::mutex> Lock(this->Guard);
  this->Current = {std::move(Declared), std::move(Keys)};
}

} // namespace parsleywing
