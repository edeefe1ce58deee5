#include "Backend/EventStreamReader.h"

#include <string_view>

namespace parsleywing {

namespace {

/// The value after the field's name and one optional space, if this line is of
/// that field.
std::optional<std::string_view> fieldValue(std::string_view Line,
                                           std::string_view Field) {
  if (!Line.starts_with(Field) || Line.size() <= Field.size() ||
      Line[Field.size()] != ':')
    return std::nullopt;
  Line.remove_prefix(Field.size() + 1);
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  return Line;
}

} // namespace

std::optional<StreamEvent> EventStreamReader::next() {
  StreamEvent Event;
  std::string Line;
  while (std::getline(this->In, Line)) {
    if (Line.ends_with('\r'))
      Line.pop_back();
    if (Line.empty()) {
      if (!Event.Data.empty())
        return Event;
      Event = {};
      continue;
    }
    if (auto Name = fieldValue(Line, "event"))
      Event.Name = *Name;
    else if (auto Data = fieldValue(Line, "data"))
      Event.Data +=
          Event.Data.empty() ? std::string(*Data) : "\n" + std::string(*Data);
  }
  return std::nullopt;
}

} // namespace parsleywing
