#include "Operator/StateSources.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

void StateSources::add(const std::string &Name, StateSource Source) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const bool Added = this->Sources.emplace(Name, std::move(Source)).second;
  PARSLEYWING_INVARIANT(Added, "each part of the state has its own name");
}

Poco::JSON::Object::Ptr StateSources::collect() const {
  std::map<std::string, StateSource> Copy;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Copy = this->Sources;
  }
  Poco::JSON::Object::Ptr All =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const auto &[Name, Source] : Copy) {
    const Poco::JSON::Object::Ptr Part = Source();
    if (Part.isNull())
      All->set(Name, Poco::Dynamic::Var());
    else
      All->set(Name, Part);
  }
  return All;
}

} // namespace parsleywing
