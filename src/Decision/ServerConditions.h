#ifndef PARSLEYWING_DECISION_SERVERCONDITIONS_H
#define PARSLEYWING_DECISION_SERVERCONDITIONS_H

#include "Decision/Events.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleywing {

/// Joins what different sources say of a server. The load reports and the
/// platform give lasting words, each in force until the next. An attempt that
/// met a server which fails or leaves gives a word for a time: most routers do
/// not poll the server and would never hear that it is usable again. After that
/// time requests try the server again; the cost of a wrong try is one attempt
/// that did not run.
class ServerConditions {
public:
  /// Takes a word. Gives the condition to act upon where it has changed.
  std::optional<ServerConditionChanged>
  take(TimePoint Now, const ServerConditionChanged &Word);

  /// The servers whose condition changes since a word's time is over.
  std::vector<ServerConditionChanged> expire(TimePoint Now);

private:
  struct Known {
    ServerCondition Lasting = ServerCondition::Usable;
    ServerCondition Passing = ServerCondition::Usable;
    TimePoint Until;

    /// The worse of the two, and what lasts first.
    ServerCondition inForce() const {
      return this->Lasting != ServerCondition::Usable ? this->Lasting
                                                      : this->Passing;
    }
  };

  std::map<ServerId, Known> Servers;
};

} // namespace parsleywing

#endif
