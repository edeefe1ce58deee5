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

} // namespace

Result<std::set<std::string>>
OrderClient::checkReport(const std::string &Address, Duration Limit) {
  ShortCall Call;
  Call.Address = Address;
  Call.Path = ModelsPath;
  Call.Limit = Limit;
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

OrderClient::Effect OrderClient::effectOf(const EngineOrder &Order) {
  const auto Report = this->checkReport(Order.Address, Order.Limit);
  if (!Report)
    return Effect::Unseen;
  const bool Loaded = Report->contains(Order.Name);
  const bool Wanted = Order.Kind == OrderKind::LoadAdapter;
  return Loaded == Wanted ? Effect::InPlace : Effect::Missing;
}

/// An engine that ignores the number obeys whoever speaks last. A holder that
/// was paused past its lease must not speak then, so its lease is asked for
/// after the check of the report, which may itself take long, and right before
/// the send. The report afterwards shows whether somebody else's order came
/// between.
OrderOutcome OrderClient::give(const EngineOrder &Order,
                               const std::function<bool()> &HoldsLease) {
  const bool Checked = Order.Fencing == FencingCheck::Checked;
  if (!Checked && this->effectOf(Order) == Effect::InPlace)
    return OrderOutcome::AlreadyInEffect;
  if (!HoldsLease())
    return OrderOutcome::LeaseLost;
  const OrderOutcome Sent = this->send(Order);
  const bool Settled =
      Sent != OrderOutcome::Unknown && (Checked || Sent != OrderOutcome::Done);
  if (Settled)
    return Sent;
  return this->effectOf(Order) == Effect::InPlace ? OrderOutcome::Done
                                                  : OrderOutcome::Unknown;
}

OrderOutcome OrderClient::send(const EngineOrder &Order) {
  ShortCall Call;
  Call.Address = Order.Address;
  Call.Method = "POST";
  Call.Path = Order.Kind == OrderKind::LoadAdapter ? LoadPath : UnloadPath;
  Call.Body = bodyOf(Order);
  Call.Headers = {{FencingHeader, std::to_string(Order.FencingNumber)}};
  Call.Limit = Order.Limit;
  ++this->Counters.OrderCalls;
  const auto Answer = runShortCall(Call);
  if (!Answer)
    return Answer.error().Code == ErrorCode::Unreachable
               ? OrderOutcome::NotSent
               : OrderOutcome::Unknown;
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
