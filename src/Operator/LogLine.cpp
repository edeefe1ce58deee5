#include "Operator/LogLine.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <cctype>

namespace parsleywing {

namespace {

/// The pattern of the time in a line; '0' stands for any digit.
constexpr std::string_view TimePattern = "0000-00-00T00:00:00.000";

bool isTime(std::string_view Text) {
  for (std::size_t I = 0; I < TimePattern.size(); ++I) {
    const bool Digit = std::isdigit(static_cast<unsigned char>(Text[I])) != 0;
    if (TimePattern[I] == '0' ? !Digit : Text[I] != TimePattern[I])
      return false;
  }
  return true;
}

} // namespace

bool hasLogField(std::string_view Text, std::string_view Field) {
  for (std::size_t Position = Text.find(Field);
       Position != std::string_view::npos;
       Position = Text.find(Field, Position + 1)) {
    const std::size_t End = Position + Field.size();
    const bool AtFieldStart = Position == 0 || Text[Position - 1] == ' ';
    if (AtFieldStart && (End == Text.size() || Text[End] == ' '))
      return true;
  }
  return false;
}

std::string logField(std::string_view Text, std::string_view Prefix) {
  std::size_t Position = Text.find(Prefix);
  while (Position != std::string_view::npos && Position > 0 &&
         Text[Position - 1] != ' ')
    Position = Text.find(Prefix, Position + 1);
  if (Position == std::string_view::npos)
    return {};
  return std::string(
      Text.substr(Position, Text.find(' ', Position) - Position));
}

std::string logValue(std::string_view Text, std::string_view Name) {
  const std::string Field = logField(Text, std::string(Name) + "=");
  return Field.empty() ? Field : Field.substr(Name.size() + 1);
}

std::string_view logTimeOf(std::string_view Text) {
  for (std::size_t Position = 0; Position + TimePattern.size() <= Text.size();
       ++Position)
    if (isTime(Text.substr(Position, TimePattern.size())))
      return Text.substr(Position, TimePattern.size());
  return {};
}

std::string shiftedLogTime(const std::string &Time, Duration By) {
  constexpr const char *Format = "%Y-%m-%dT%H:%M:%S.%i";
  int Zone = 0;
  const Poco::DateTime Parsed = Poco::DateTimeParser::parse(Format, Time, Zone);
  const Poco::Timestamp Shifted = Parsed.timestamp() + By.count();
  return Poco::DateTimeFormatter::format(Shifted, Format);
}

} // namespace parsleywing
