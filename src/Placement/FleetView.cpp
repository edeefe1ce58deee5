#include "Placement/FleetView.h"

#include "Http/HttpHead.h"

namespace parsleywing {

const GatewayRoute *
GatewayConfiguration::findRoute(std::string_view Host,
                                std::string_view Path) const {
  const GatewayRoute *Best = nullptr;
  for (const GatewayRoute &Route : this->Routes)
    if (Path.starts_with(Route.Prefix) &&
        (Best == nullptr || Route.Prefix.size() > Best->Prefix.size()) &&
        equalIgnoringCase(Route.Host, Host))
      Best = &Route;
  return Best;
}

} // namespace parsleywing
