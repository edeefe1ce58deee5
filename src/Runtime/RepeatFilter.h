#ifndef PARSLEYWING_RUNTIME_REPEATFILTER_H
#define PARSLEYWING_RUNTIME_REPEATFILTER_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace parsleywing {

/// Suppresses repeated log lines. Otherwise a fault that affects every request
/// would write the same line thousands of times per second, hide other lines
/// and slow down the traffic. Not thread safe.
class RepeatFilter {
public:
  /// Maximum number of identical lines that pass in one window.
  static constexpr std::uint32_t MaxLinesPerWindow = 5;
  static constexpr Duration Window = std::chrono::seconds(10);

  /// Returns the line to write, or nothing if it is suppressed. The first line
  /// of a new window also states how many identical lines were suppressed in
  /// the previous window.
  std::optional<std::string> admit(TimePoint Now, const std::string &Line);

private:
  struct RepeatState {
    TimePoint WindowStart;
    std::uint32_t WrittenCount = 0;
    std::uint64_t SuppressedCount = 0;
  };

  /// Removes lines whose window has ended, which bounds the table's size.
  void removeExpired(TimePoint Now);

  std::unordered_map<std::string, RepeatState> Lines;
};

} // namespace parsleywing

#endif
