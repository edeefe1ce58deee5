#include "Runtime/RepeatFilter.h"

namespace parsleywing {

namespace {

constexpr std::size_t MaxRemembered = 1024;

} // namespace

std::optional<std::string> RepeatFilter::admit(TimePoint Now,
                                               const std::string &Line) {
  if (this->Lines.size() >= MaxRemembered)
    this->removeExpired(Now);
  Repeats &Seen = this->Lines.try_emplace(Line, Repeats{Now}).first->second;
  std::string Suffix;
  if (Now - Seen.Start >= Window) {
    if (Seen.HeldBack > 0)
      Suffix = " (" + std::to_string(Seen.HeldBack) + " equal lines held back)";
    Seen = Repeats{Now};
  }
  if (Seen.Written >= MaxLinesPerWindow) {
    ++Seen.HeldBack;
    return std::nullopt;
  }
  ++Seen.Written;
  return Line + Suffix;
}

void RepeatFilter::removeExpired(TimePoint Now) {
  std::erase_if(this->Lines, [Now](const auto &Each) {
    return Now - Each.second.Start >= Window;
  });
  // Where all are recent, the lines differ and none repeats often.
  if (this->Lines.size() >= MaxRemembered)
    this->Lines.clear();
}

} // namespace parsleywing
