#ifndef PARSLEYWING_RUNTIME_REPEATFILTER_H
#define PARSLEYWING_RUNTIME_REPEATFILTER_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace parsleywing {

/// Holds back log lines that repeat. A fault that strikes every request would
/// otherwise write the same line thousands of times a second, hide the others
/// and slow the traffic down. Not thread safe.
class RepeatFilter {
public:
  /// At most this many equal lines pass in one window.
  static constexpr std::uint32_t MaxLinesPerWindow = 5;
  static constexpr Duration Window = std::chrono::seconds(10);

  /// The line to write, or nothing. The first line of a new window says how
  /// many equal ones were held back in the window before.
  std::optional<std::string> admit(TimePoint Now, const std::string &Line);

private:
  struct Repeats {
    TimePoint Start;
    std::uint32_t Written = 0;
    std::uint64_t HeldBack = 0;
  };

  /// Forgets lines whose window is over, so that the table stays small.
  void removeExpired(TimePoint Now);

  std::unordered_map<std::string, Repeats> Lines;
};

} // namespace parsleywing

#endif
