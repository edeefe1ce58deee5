#include "Runtime/RepeatFilter.h"

namespace parsleywing {

namespace {

constexpr std::size_t MaxTrackedLines = 1024;

} // namespace

std::optional<std::string> RepeatFilter::admit(TimePoint Now,
                                               const std::string &Line) {
  if (this->Lines.size() >= MaxTrackedLines)
    this->removeExpired(Now);
  RepeatState &State =
      this->Lines.try_emplace(Line, RepeatState{Now}).first->second;
  std::string Suffix;
  if (Now - State.WindowStart >= Window) {
    if (State.SuppressedCount > 0)
      Suffix = " (" + std::to_string(State.SuppressedCount) +
               " equal lines held back)";
    State = RepeatState{Now};
  }
  if (State.WrittenCount >= MaxLinesPerWindow) {
    ++State.SuppressedCount;
    return std::nullopt;
  }
  ++State.WrittenCount;
  return Line + Suffix;
}

void RepeatFilter::removeExpired(TimePoint Now) {
  std::erase_if(this->Lines, [Now](const auto &Each) {
    return Now - Each.second.WindowStart >= Window;
  });
  // If all entries are recent, the lines differ and none repeats often, so all
  // of them can be dropped.
  if (this->Lines.size() >= MaxTrackedLines)
    this->Lines.clear();
}

} // namespace parsleywing
