#ifndef PARSLEYWING_OPERATOR_STATESOURCES_H
#define PARSLEYWING_OPERATOR_STATESOURCES_H

#include <Poco/JSON/Object.h>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace parsleywing {

/// Returns one component's state. Called from an operator's thread. A source
/// that needs the control thread wraps its call in `ControlLoop::ask` and
/// returns null if that thread does not run it in time.
using StateSource = std::function<Poco::JSON::Object::Ptr()>;

/// The sources of the state dump, by component name.
class StateSources {
public:
  /// Adds a source. A duplicate name violates an invariant.
  void add(const std::string &Name, StateSource Source);

  /// Collects all components into one object, with null for a component that
  /// does not respond.
  Poco::JSON::Object::Ptr collect() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, StateSource> Sources;
};

} // namespace parsleywing

#endif
