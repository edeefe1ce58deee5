#ifndef PARSLEYWING_OPERATOR_REQUESTSTORY_H
#define PARSLEYWING_OPERATOR_REQUESTSTORY_H

#include "Runtime/Clock.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// Finds in the logs of all routers what happened to one request, in order: its
/// own lines, those of the allocators that it was asked for at, and what the
/// routers said of themselves meanwhile. All lines are looked at twice, since a
/// line that names an ask may stand before the one that tells whose it is.
///
/// Makes no calls; whoever reads the logs hands the lines over.
class RequestStory {
public:
  /// A line with the log that it stands in.
  struct Line {
    std::string Source;
    std::string Text;
    /// The time at its start, as text that sorts like the time.
    std::string Time;
    /// Its place among all lines: lines of one time keep their order.
    std::size_t Place = 0;
    /// Whether it names the request, or is only from the same time.
    bool Named = false;
  };

  /// `Around`: how long before the first and after the last line that names the
  /// request the routers' own lines belong to the story.
  RequestStory(std::string RequestId, Duration Around);

  /// The first look at each line of every log.
  void look(std::string_view Text);

  /// Ends the first look. False where no line names the request.
  bool begin();

  /// The second look, at the same lines.
  void gather(const std::string &Source, std::string_view Text);

  /// The story, by time.
  std::vector<Line> lines() const;

private:
  bool names(std::string_view Text) const;
  bool isOwnLine(std::string_view Text) const;

  std::string Wanted;
  Duration Around;
  /// Asks of the request at allocators, as `ask=...` words.
  std::set<std::string> Asks;
  std::string First;
  std::string Last;
  /// Sources with a line that names the request.
  std::set<std::string> Named;
  std::vector<Line> Found;
};

} // namespace parsleywing

#endif
