#include "Http/EventSplitter.h"

#include "Http/HttpHead.h"

namespace parsleywing {

namespace {

constexpr std::string_view IdField = "id:";

/// The length of the first complete event, or 0. An event ends with an empty
/// line; lines end with LF or CRLF. `LineStart` is where a line begins of which
/// nothing was searched yet; it is set to the begin of the last line.
std::size_t completeEventLength(std::string_view Text, std::size_t &LineStart) {
  while (true) {
    const std::size_t End = Text.find('\n', LineStart);
    if (End == std::string_view::npos)
      return 0;
    std::string_view Line = Text.substr(LineStart, End - LineStart);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.empty() && LineStart > 0)
      return End + 1;
    LineStart = End + 1;
  }
}

/// Whether a line of the event is a field other than its identity.
bool hasContent(std::string_view Event) {
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    const std::string_view Line = trimSpaces(Event.substr(0, End));
    if (!Line.empty() && !Line.starts_with(':') && !Line.starts_with(IdField))
      return true;
    if (End == std::string_view::npos)
      break;
    Event.remove_prefix(End + 1);
  }
  return false;
}

std::optional<std::uint64_t> eventIdOf(std::string_view Event) {
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.starts_with(IdField))
      return parseDecimal(trimSpaces(Line.substr(IdField.size())));
    if (End == std::string_view::npos)
      break;
    Event.remove_prefix(End + 1);
  }
  return std::nullopt;
}

} // namespace

std::vector<StreamEvent> EventSplitter::add(std::string_view Payload) {
  this->Pending.append(Payload);
  std::vector<StreamEvent> Events;
  std::string_view Remaining = this->Pending;
  while (const std::size_t Length =
             completeEventLength(Remaining, this->ScannedLines)) {
    const std::string_view Text = Remaining.substr(0, Length);
    Events.push_back({std::string(Text), eventIdOf(Text), hasContent(Text)});
    Remaining.remove_prefix(Length);
    this->ScannedLines = 0;
  }
  this->Pending.erase(0, this->Pending.size() - Remaining.size());
  return Events;
}

} // namespace parsleywing
