#include "Backend/EventStreamReader.h"

#include <optional>
#include <string_view>

namespace parsleywing {

namespace {

/// Returns the value of a field without the optional space after the colon, or
/// nullopt if the line does not contain this field.
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

ReadStatus EventStreamReader::next(ServerSentEvent &Event) {
  Event.Name.clear();
  Event.Data.clear();
  std::size_t Size = 0;
  while (true) {
    const ReadStatus Status = this->readLine();
    if (Status != ReadStatus::Event)
      return Status;
    Size += this->Line.size();
    if (Size > this->MaxEventBytes)
      return ReadStatus::TooLarge;
    if (!this->Line.empty()) {
      this->parseField(Event);
      continue;
    }
    if (!Event.Data.empty())
      return ReadStatus::Event;
    Event.Name.clear();
    Size = 0;
  }
}

ReadStatus EventStreamReader::readLine() {
  constexpr auto EndOfFile = std::char_traits<char>::eof();
  this->Line.clear();
  while (true) {
    const int Next = this->In.sbumpc();
    if (Next == EndOfFile)
      return ReadStatus::End;
    if (Next == '\n')
      break;
    if (this->Line.size() >= this->MaxEventBytes)
      return ReadStatus::TooLarge;
    this->Line.push_back(static_cast<char>(Next));
  }
  if (this->Line.ends_with('\r'))
    this->Line.pop_back();
  return ReadStatus::Event;
}

void EventStreamReader::parseField(ServerSentEvent &Event) const {
  if (const auto Name = fieldValue(this->Line, "event")) {
    Event.Name = *Name;
    return;
  }
  const auto Data = fieldValue(this->Line, "data");
  if (!Data)
    return;
  if (!Event.Data.empty())
    Event.Data.push_back('\n');
  Event.Data += *Data;
}

} // namespace parsleywing
