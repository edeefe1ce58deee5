#include "Operator/PeerFaultOrder.h"

#include <Poco/JSON/Parser.h>

namespace parsleywing {

namespace {

constexpr unsigned MaxLossPercent = 100;
constexpr unsigned MaxDelayMilliseconds = 60'000;

unsigned numberUpTo(const Poco::Dynamic::Var &Value, unsigned Max) {
  const auto Number = Value.convert<unsigned>();
  if (Number > Max)
    throw Poco::RangeException("above " + std::to_string(Max));
  return Number;
}

PeerFaultOrder readFields(const Poco::JSON::Object &Body) {
  PeerFaultOrder Order;
  for (const auto &[Key, Value] : Body) {
    if (Key == "cutFrom") {
      for (const auto &Name : *Value.extract<Poco::JSON::Array::Ptr>())
        Order.CutFrom.push_back(Name.extract<std::string>());
    } else if (Key == "lossPercent") {
      Order.LossPercent = numberUpTo(Value, MaxLossPercent);
    } else if (Key == "delayMs") {
      Order.Delay =
          std::chrono::milliseconds(numberUpTo(Value, MaxDelayMilliseconds));
    } else {
      throw Poco::NotFoundException(Key);
    }
  }
  return Order;
}

} // namespace

Result<PeerFaultOrder> readPeerFaultOrder(const std::string &Text) {
  try {
    return readFields(
        *Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>());
  } catch (const Poco::Exception &Failure) {
    return failure(ErrorCode::InvalidInput,
                   "invalid peer fault order: " + Failure.displayText());
  }
}

} // namespace parsleywing
