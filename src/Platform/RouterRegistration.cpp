#include "Platform/RouterRegistration.h"

#include "Platform/StoreCodec.h"

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
    return Router;
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

} // namespace parsleywing
