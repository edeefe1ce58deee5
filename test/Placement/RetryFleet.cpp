#include "Placement/RetryFleet.h"

#include <algorithm>
#include <string>

namespace parsleywing::test {

namespace {

constexpr Duration ListInterval = std::chrono::seconds(1);

} // namespace

RetryFleet::RetryFleet(std::size_t RouterCount, RetryBounds B)
    : Bounds(B), Routers(RouterCount), Record({B.Ratio, B.Window, B.Slack}) {
  for (std::size_t I = 0; I < RouterCount; ++I)
    this->startProcess(I);
}

void RetryFleet::startProcess(std::size_t Number) {
  Router &Each = this->Routers.at(Number);
  Each.Allowance = std::make_unique<RetryAllowance>(this->Bounds);
  Each.Share = std::make_unique<FleetShare>("r" + std::to_string(Number),
                                            this->Bounds.Window);
  Each.Decided = 0;
  this->writeEntry(Each);
}

void RetryFleet::writeEntry(Router &Each) {
  Each.ListedRevision = ++this->LastRevision;
  this->List = nullptr;
}

void RetryFleet::removeEntry(Router &Each) {
  Each.ListedRevision = 0;
  this->List = nullptr;
}

void RetryFleet::readLists() {
  if (this->List == nullptr) {
    auto Listed = std::make_shared<RouterList>();
    for (std::size_t I = 0; I < this->Routers.size(); ++I)
      if (const std::int64_t Revision = this->Routers[I].ListedRevision)
        Listed->emplace("r" + std::to_string(I),
                        RouterEndpoint{"", 1, Revision, ""});
    this->List = std::move(Listed);
  }
  FleetView View;
  View.RouterEndpoints = this->List;
  View.RouterCount =
      static_cast<std::uint32_t>(std::max<std::size_t>(this->List->size(), 1));
  View.ListsProvenAt = this->Now;
  for (Router &Each : this->Routers)
    if (!Each.CutOff)
      Each.Share->updateView(View, this->Now);
}

void RetryFleet::advance(Duration Step) {
  const TimePoint End = this->Now + Step;
  for (; this->NextRead <= End; this->NextRead += ListInterval) {
    this->Now = this->NextRead;
    this->readLists();
  }
  this->Now = End;
}

void RetryFleet::request(std::size_t Router) {
  this->Routers.at(Router).Allowance->recordRequest(this->Now);
  this->Record.recordRequest(this->Now);
}

bool RetryFleet::decideRetry(std::size_t Router) {
  auto &Each = this->Routers.at(Router);
  const bool Permitted = Each.Allowance->tryReserve(this->Now, *Each.Share);
  Each.Decided += Permitted ? 1 : 0;
  return Permitted;
}

void RetryFleet::sendRetries(std::size_t Router) {
  auto &Each = this->Routers.at(Router);
  for (; Each.Decided > 0; --Each.Decided) {
    if (!Each.Allowance->isWithinBound(this->Now, *Each.Share)) {
      Each.Allowance->cancel();
      continue;
    }
    Each.Allowance->settle(this->Now);
    this->Record.recordRetry(this->Now);
  }
}

std::size_t RetryFleet::retry(std::size_t Router, std::size_t Max) {
  std::size_t Count = 0;
  while (Count < Max && this->decideRetry(Router))
    ++Count;
  this->sendRetries(Router);
  return Count;
}

void RetryFleet::restart(std::size_t Router) { this->startProcess(Router); }

void RetryFleet::setListed(std::size_t Router, bool Listed) {
  auto &Each = this->Routers.at(Router);
  if (Listed && Each.ListedRevision == 0)
    this->writeEntry(Each);
  else if (!Listed)
    this->removeEntry(Each);
}

void RetryFleet::setCutOff(std::size_t Router, bool CutOff) {
  this->Routers.at(Router).CutOff = CutOff;
}

} // namespace parsleywing::test
