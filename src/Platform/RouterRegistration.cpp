#include "Platform/RouterRegistration.h"

#include "Platform/StoreCodec.h"
#include "Runtime/NumericAddress.h"

namespace parsleywing {

std::string encodeRegistration(const RouterRegistration &Router) {
  Poco::JSON::Object Message;
  Message.set("name", Router.Name);
  Message.set("zone", Router.Zone);
  Message.set("callerAddress", Router.CallerAddress);
  Message.set("peerAddress", Router.PeerAddress);
  Message.set("operatorAddress", Router.OperatorAddress);
  Message.set("incarnation", Router.IncarnationNumber);
  return internal::stringify(Message);
}

namespace {

/// Whether the address can be used without looking up a host name. A router
/// without others or without operators states none.
bool isUsable(const std::string &Address) {
  return Address.empty() || isNumericAddress(Address);
}

} // namespace

std::optional<RouterRegistration> decodeRegistration(const std::string &Text) {
  const auto Message = internal::parseMessage(Text);
  if (!Message)
    return std::nullopt;
  try {
    RouterRegistration Router;
    Router.Name = (*Message)->getValue<std::string>("name");
    Router.Zone = (*Message)->getValue<std::string>("zone");
    Router.CallerAddress = (*Message)->getValue<std::string>("callerAddress");
    Router.PeerAddress = (*Message)->getValue<std::string>("peerAddress");
    Router.IncarnationNumber =
        (*Message)->getValue<Poco::UInt64>("incarnation");
    Router.OperatorAddress =
        (*Message)->optValue<std::string>("operatorAddress", "");
    if (!isUsable(Router.CallerAddress) || !isUsable(Router.PeerAddress) ||
        !isUsable(Router.OperatorAddress))
      return std::nullopt;
    return Router;
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

} // namespace parsleywing
