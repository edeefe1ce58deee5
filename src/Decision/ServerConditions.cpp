#include "Decision/ServerConditions.h"

namespace parsleywing {

std::optional<ServerConditionChanged>
ServerConditions::take(TimePoint Now, const ServerConditionChanged &Word) {
  Known &Server = this->Servers[Word.Server];
  const ServerCondition Before = Server.inForce();
  if (Word.For > Duration::zero()) {
    Server.Passing = Word.Condition;
    Server.Until = Now + Word.For;
  } else {
    // Younger than any word of an attempt before it.
    Server.Lasting = Word.Condition;
    Server.Passing = ServerCondition::Usable;
  }
  if (Server.inForce() == Before)
    return std::nullopt;
  return ServerConditionChanged{Word.Server, Server.inForce()};
}

std::vector<ServerConditionChanged> ServerConditions::expire(TimePoint Now) {
  std::vector<ServerConditionChanged> Changed;
  for (auto &[Id, Server] : this->Servers) {
    if (Server.Passing == ServerCondition::Usable || Now < Server.Until)
      continue;
    const ServerCondition Before = Server.inForce();
    Server.Passing = ServerCondition::Usable;
    if (Server.inForce() != Before)
      Changed.push_back({Id, Server.inForce()});
  }
  return Changed;
}

} // namespace parsleywing
