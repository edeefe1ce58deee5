#include "Operator/LogLine.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <cctype>

namespace parsleywing {

namespace {

/// The form of the time in a line; '0' stands for any digit.
constexpr std::string_view TimeForm = "0000-00-00T00:00:00.000";

bool isTime(std::string_view Text) {
  for (std::size_t I = 0; I < TimeForm.size(); ++I) {
    const bool Digit = std::isdigit(static_cast<unsigned char>(Text[I])) != 0;
    if (TimeForm[I] == '0' ? !Digit : Text[I] != TimeForm[I])
      return false;
  }
  return true;
}

} // namespace

bool hasLogWord(std::string_view Text, std::string_view Word) {
  for (std::size_t At = Text.find(Word); At != std::string_view::npos;
       At = Text.find(Word, At + 1)) {
    const std::size_t End = At + Word.size();
    const bool Begins = At == 0 || Text[At - 1] == ' ';
    if (Begins && (End == Text.size() || Text[End] == ' '))
      return true;
  }
  return false;
}

std::string logWord(std::string_view Text, std::string_view Start) {
  std::size_t At = Text.find(Start);
  while (At != std::string_view::npos && At > 0 && Text[At - 1] != ' ')
    At = Text.find(Start, At + 1);
  if (At == std::string_view::npos)
    return {};
  return std::string(Text.substr(At, Text.find(' ', At) - At));
}

std::string logValue(std::string_view Text, std::string_view Name) {
  const std::string Word = logWord(Text, std::string(Name) + "=");
  return Word.empty() ? Word : Word.substr(Name.size() + 1);
}

std::string_view logTimeOf(std::string_view Text) {
  for (std::size_t At = 0; At + TimeForm.size() <= Text.size(); ++At)
    if (isTime(Text.substr(At, TimeForm.size())))
      return Text.substr(At, TimeForm.size());
  return {};
}

std::string movedLogTime(const std::string &Time, Duration By) {
  constexpr const char *Form = "%Y-%m-%dT%H:%M:%S.%i";
  int Zone = 0;
  const Poco::DateTime Read = Poco::DateTimeParser::parse(Form, Time, Zone);
  const Poco::Timestamp Moved = Read.timestamp() + By.count();
  return Poco::DateTimeFormatter::format(Moved, Form);
}

} // namespace parsleywing
