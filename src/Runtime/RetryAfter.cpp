#include "Runtime/RetryAfter.h"

#include <algorithm>
#include <charconv>

namespace parsleywing {

std::optional<Duration> parseRetryAfter(std::string_view Text) {
  constexpr std::string_view Spaces = " \t";
  const std::size_t First = Text.find_first_not_of(Spaces);
  if (First == std::string_view::npos)
    return std::nullopt;
  Text = Text.substr(First, Text.find_last_not_of(Spaces) - First + 1);
  if (Text.find_first_not_of("0123456789.") != std::string_view::npos)
    return std::nullopt;
  double Seconds = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed =
      std::from_chars(Text.data(), End, Seconds, std::chars_format::fixed);
  const bool TooLarge = Parsed.ec == std::errc::result_out_of_range;
  if (Parsed.ptr != End || (Parsed.ec != std::errc() && !TooLarge))
    return std::nullopt;
  const double MaxSeconds =
      std::chrono::duration<double>(MaxRetryAfter).count();
  if (!TooLarge && Seconds <= 0)
    return std::nullopt;
  const std::chrono::duration<double> Delay(
      TooLarge ? MaxSeconds : std::min(Seconds, MaxSeconds));
  return std::chrono::duration_cast<Duration>(Delay);
}

} // namespace parsleywing
