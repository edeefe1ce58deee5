#include "Backend/OrderClient.h"

#include "Backend/ShortCall.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace parsleywing {

namespace {

constexpr const char *ModelsPath = "/v1/models";
constexpr const char *LoadPath = "/v1/load_lora_adapter";
constexpr const char *UnloadPath = "/v1/unload_lora_adapter";
constexpr int Ok = 200;
constexpr int Conflict = 409;
constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;

std::string bodyOf(const EngineOrder &Order) {
  Poco::JSON::Object Body;
  Body.set("lora_name", Order.Name);
  if (Order.Kind == OrderKind::LoadAdapter)
    Body.set("lora_path", Order.Path);
  std::ostringstream Out;
  Body.stringify(Out);
  return Out.str();
}

std::set<std::string> parseModelList(const std::string &Text) {
  Poco::JSON::Parser Parser;
  const auto Document = Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  const auto List = Document->getArray("data");
  if (!List)
    throw Poco::DataFormatException("no list of models");
  std::set<std::string> Names;
  for (std::size_t Index = 0; Index < List->size(); ++Index)
    Names.insert(List->getObject(static_cast<unsigned>(Index))
                     ->getValue<std::string>("id"));
  return Names;
}

OrderOutcome outcomeOf(const Error &Failure) {
  switch (Failure.Code) {
  case ErrorCode::Denied:
    return OrderOutcome::LeaseLost;
  case ErrorCode::Unreachable:
    return OrderOutcome::NotSent;
  default:
    return OrderOutcome::Unknown;
  }
}

} // namespace

Result<std::set<std::string>>
OrderClient::fetchLoadedModels(const std::string &Address, Duration Timeout) {
  ShortCall Call;
  Call.Address = Address;
  Call.Path = ModelsPath;
  Call.Timeout = Timeout;
  ++this->Counters.OrderCalls;
  const auto Response = runShortCall(Call);
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  if (Response->Status != Ok)
    return failure(ErrorCode::Refused, "the engine responded with status " +
                                           std::to_string(Response->Status));
  try {
    return parseModelList(Response->Body);
  } catch (const std::exception &Failure) { // Includes Poco's exceptions.
    return failure(ErrorCode::Malformed, Failure.what());
  }
}

OrderClient::Effect OrderClient::checkEffect(const EngineOrder &Order) {
  const auto LoadedModels =
      this->fetchLoadedModels(Order.Address, Order.CallTimeout);
  if (!LoadedModels)
    return Effect::Unknown;
  return isInEffect(Order, *LoadedModels) ? Effect::InPlace : Effect::Missing;
}

bool OrderClient::isInEffect(const EngineOrder &Order,
                             const std::set<std::string> &LoadedModels) {
  const bool ShouldBeLoaded = Order.Kind == OrderKind::LoadAdapter;
  return LoadedModels.contains(Order.Name) == ShouldBeLoaded;
}

/// An engine that ignores fencing numbers obeys the last order it receives. A
/// holder that was paused beyond the end of its lease must not send an order.
/// Therefore the permit is requested immediately before the first byte, after
/// reading the model list and connecting, both of which may take long. Reading
/// the list again afterwards shows whether another order came in between.
///
/// An engine that checks fencing numbers is always sent the order, even if its
/// effect is already in place: it then knows the number and refuses an older
/// order that is still in transit. It may refuse to load an adapter that is
/// already loaded; its model list resolves this.
OrderOutcome OrderClient::sendOrder(const EngineOrder &Order,
                                    const PermitProvider &GetPermit) {
  const bool Checked = Order.Fencing == FencingCheck::Checked;
  if (!Checked && this->checkEffect(Order) == Effect::InPlace)
    return OrderOutcome::AlreadyInEffect;
  const OrderOutcome Sent = this->postOrder(Order, GetPermit);
  const bool NeedsCheck = Sent == OrderOutcome::Unknown ||
                          Sent == OrderOutcome::Refused ||
                          (Sent == OrderOutcome::Done && !Checked);
  if (!NeedsCheck)
    return Sent;
  if (this->checkEffect(Order) == Effect::InPlace)
    return OrderOutcome::Done;
  return Sent == OrderOutcome::Refused ? Sent : OrderOutcome::Unknown;
}

OrderOutcome OrderClient::postOrder(const EngineOrder &Order,
                                    const PermitProvider &GetPermit) {
  ShortCall Call;
  Call.Address = Order.Address;
  Call.Method = "POST";
  Call.Path = Order.Kind == OrderKind::LoadAdapter ? LoadPath : UnloadPath;
  Call.Body = bodyOf(Order);
  Call.Timeout = Order.CallTimeout;
  // The fencing number comes with the permit, so that it cannot belong to
  // another lease.
  Call.SendPermission = [&]() -> std::optional<TimePoint> {
    const auto Permit = GetPermit();
    if (!Permit)
      return std::nullopt;
    Call.Headers = {{FencingHeader, std::to_string(Permit->Number)}};
    return Permit->ValidUntil;
  };
  ++this->Counters.OrderCalls;
  const auto Response = runShortCall(Call);
  if (!Response)
    return outcomeOf(Response.error());
  if (Response->Status == Ok)
    return OrderOutcome::Done;
  if (Response->Status == Conflict) {
    ++this->Counters.StaleOrders;
    return OrderOutcome::Stale;
  }
  const bool Refused = Response->Status >= FirstClientError &&
                       Response->Status < FirstServerError &&
                       isPublishedError(Response->Body);
  return Refused ? OrderOutcome::Refused : OrderOutcome::Unknown;
}

} // namespace parsleywing
