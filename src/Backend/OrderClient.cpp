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

std::set<std::string> namesIn(const std::string &Text) {
  Poco::JSON::Parser Parser;
  const auto Whole = Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  const auto List = Whole->getArray("data");
  if (!List)
    throw Poco::DataFormatException("no list of models");
  std::set<std::string> Names;
  for (std::size_t Place = 0; Place < List->size(); ++Place)
    Names.insert(List->getObject(static_cast<unsigned>(Place))
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
OrderClient::fetchLoadedModels(const std::string &Address, Duration Limit) {
  ShortCall Call;
  Call.Address = Address;
  Call.Path = ModelsPath;
  Call.Timeout = Limit;
  ++this->Counters.OrderCalls;
  const auto Answer = runShortCall(Call);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->Status != Ok)
    return failure(ErrorCode::Refused,
                   "the engine answered " + std::to_string(Answer->Status));
  try {
    return namesIn(Answer->Body);
  } catch (const std::exception &Wrong) { // Poco's exceptions included.
    return failure(ErrorCode::Malformed, Wrong.what());
  }
}

OrderClient::Effect OrderClient::checkEffect(const EngineOrder &Order) {
  const auto Report = this->fetchLoadedModels(Order.Address, Order.CallTimeout);
  if (!Report)
    return Effect::Unknown;
  return isInEffect(Order, *Report) ? Effect::InPlace : Effect::Missing;
}

bool OrderClient::isInEffect(const EngineOrder &Order,
                             const std::set<std::string> &Report) {
  const bool Wanted = Order.Kind == OrderKind::LoadAdapter;
  return Report.contains(Order.Name) == Wanted;
}

/// An engine that ignores the number obeys whoever speaks last. A holder that
/// was paused past its lease must not speak then, so its lease is asked for
/// after the check of the report and the making of the connection, which may
/// themselves take long, and right before the first byte. The report afterwards
/// shows whether somebody else's order came between. An engine that checks the
/// number is always sent the order, also where its effect is in place: it then
/// knows the number and refuses an older order that is still on its way. It may
/// refuse to load what it has loaded, which its report settles.
OrderOutcome OrderClient::sendOrder(const EngineOrder &Order,
                                    const PermitProvider &Lease) {
  const bool Checked = Order.Fencing == FencingCheck::Checked;
  if (!Checked && this->checkEffect(Order) == Effect::InPlace)
    return OrderOutcome::AlreadyInEffect;
  const OrderOutcome Sent = this->postOrder(Order, Lease);
  const bool Unsettled = Sent == OrderOutcome::Unknown ||
                         Sent == OrderOutcome::Refused ||
                         (Sent == OrderOutcome::Done && !Checked);
  if (!Unsettled)
    return Sent;
  if (this->checkEffect(Order) == Effect::InPlace)
    return OrderOutcome::Done;
  return Sent == OrderOutcome::Refused ? Sent : OrderOutcome::Unknown;
}

OrderOutcome OrderClient::postOrder(const EngineOrder &Order,
                                    const PermitProvider &Lease) {
  ShortCall Call;
  Call.Address = Order.Address;
  Call.Method = "POST";
  Call.Path = Order.Kind == OrderKind::LoadAdapter ? LoadPath : UnloadPath;
  Call.Body = bodyOf(Order);
  Call.Timeout = Order.CallTimeout;
  // The number is part of the leave, so that it cannot be another lease's.
  Call.SendPermission = [&]() -> std::optional<TimePoint> {
    const auto Use = Lease();
    if (!Use)
      return std::nullopt;
    Call.Headers = {{FencingHeader, std::to_string(Use->Number)}};
    return Use->ValidUntil;
  };
  ++this->Counters.OrderCalls;
  const auto Answer = runShortCall(Call);
  if (!Answer)
    return outcomeOf(Answer.error());
  if (Answer->Status == Ok)
    return OrderOutcome::Done;
  if (Answer->Status == Conflict) {
    ++this->Counters.StaleOrders;
    return OrderOutcome::Stale;
  }
  const bool Refused = Answer->Status >= FirstClientError &&
                       Answer->Status < FirstServerError &&
                       isPublishedError(Answer->Body);
  return Refused ? OrderOutcome::Refused : OrderOutcome::Unknown;
}

} // namespace parsleywing
