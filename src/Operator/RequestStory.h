#ifndef PARSLEYWING_OPERATOR_REQUESTSTORY_H
#define PARSLEYWING_OPERATOR_REQUESTSTORY_H

#include "Runtime/Clock.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// Collects from the logs of all routers what happened to one request, in
/// order: the lines of the request, the lines of the allocators that received
/// its allocation requests, and what the routers logged about themselves at the
/// same time. All lines are scanned twice, since a line with a correlation ID
/// may precede the line that maps the ID to the request.
///
/// Performs no I/O; the caller reads the logs and passes the lines.
class RequestStory {
public:
  /// A line and the log that contains it.
  struct Line {
    std::string Source;
    std::string Text;
    /// The time of the line, as text that sorts chronologically.
    std::string Time;
    /// The index among all collected lines: lines with equal times keep their
    /// order.
    std::size_t Place = 0;
    /// Whether the line names the request; otherwise it is only from the same
    /// time.
    bool Named = false;
  };

  /// `Around` is how long before the first and after the last line that names
  /// the request the routers' own lines are included.
  RequestStory(std::string RequestId, Duration Around);

  /// First pass: scans a line of any log for the request.
  void look(std::string_view Text);

  /// Ends the first pass. Returns false if no line names the request.
  bool begin();

  /// Second pass, over the same lines: collects the lines that belong to the
  /// request.
  void gather(const std::string &Source, std::string_view Text);

  /// Returns the collected lines of the logs that name the request, in
  /// chronological order.
  std::vector<Line> lines() const;

private:
  bool names(std::string_view Text) const;
  bool isRouterLine(std::string_view Text) const;

  std::string RequestField;
  Duration Around;
  /// The correlation IDs of the request's allocation requests, as `ask=...`
  /// fields.
  std::set<std::string> AllocationFields;
  std::string FirstTime;
  std::string LastTime;
  /// The logs with a line that names the request.
  std::set<std::string> NamingSources;
  std::vector<Line> Collected;
};

} // namespace parsleywing

#endif
