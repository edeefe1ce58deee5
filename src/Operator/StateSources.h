#ifndef PARSLEYWING_OPERATOR_STATESOURCES_H
#define PARSLEYWING_OPERATOR_STATESOURCES_H

#include <Poco/JSON/Object.h>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace parsleywing {

/// Gives one part of the process's state. Called from an operator's thread; a
/// part of the control thread wraps its call in `ControlLoop::ask` and gives
/// null where the thread does not answer in time.
using StateSource = std::function<Poco::JSON::Object::Ptr()>;

/// The parts of the state dump by name.
class StateSources {
public:
  /// Adds a part. A name given twice is a broken invariant.
  void add(const std::string &Name, StateSource Source);

  /// All parts as one object; null for a part that does not answer.
  Poco::JSON::Object::Ptr collect() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, StateSource> Sources;
};

} // namespace parsleywing

#endif
