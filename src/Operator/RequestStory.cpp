#include "Operator/RequestStory.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <algorithm>
#include <cctype>

namespace parsleywing {

namespace {

/// The form of the time in a line; '0' stands for any digit.
constexpr std::string_view TimeForm = "0000-00-00T00:00:00.000";

constexpr std::string_view AskWord = "ask=";

bool isTime(std::string_view Text) {
  for (std::size_t I = 0; I < TimeForm.size(); ++I) {
    const bool Digit = std::isdigit(static_cast<unsigned char>(Text[I])) != 0;
    if (TimeForm[I] == '0' ? !Digit : Text[I] != TimeForm[I])
      return false;
  }
  return true;
}

/// Whether a whole word of the line is this one.
bool hasWord(std::string_view Text, std::string_view Word) {
  for (std::size_t At = Text.find(Word); At != std::string_view::npos;
       At = Text.find(Word, At + 1)) {
    const std::size_t End = At + Word.size();
    const bool Begins = At == 0 || Text[At - 1] == ' ';
    if (Begins && (End == Text.size() || Text[End] == ' '))
      return true;
  }
  return false;
}

/// The word that begins so; empty where there is none.
std::string wordThatBegins(std::string_view Text, std::string_view Start) {
  std::size_t At = Text.find(Start);
  while (At != std::string_view::npos && At > 0 && Text[At - 1] != ' ')
    At = Text.find(Start, At + 1);
  if (At == std::string_view::npos)
    return {};
  return std::string(Text.substr(At, Text.find(' ', At) - At));
}

} // namespace

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

RequestStory::RequestStory(std::string RequestId, Duration A)
    : Wanted("request=" + std::move(RequestId)), Around(A) {}

void RequestStory::look(std::string_view Text) {
  if (!hasWord(Text, this->Wanted))
    return;
  const std::string Time(logTimeOf(Text));
  if (Time.empty())
    return;
  if (this->First.empty() || Time < this->First)
    this->First = Time;
  this->Last = std::max(this->Last, Time);
  if (std::string Ask = wordThatBegins(Text, AskWord); !Ask.empty())
    this->Asks.insert(std::move(Ask));
}

bool RequestStory::begin() {
  if (this->First.empty())
    return false;
  this->First = movedLogTime(this->First, -this->Around);
  this->Last = movedLogTime(this->Last, this->Around);
  return true;
}

bool RequestStory::names(std::string_view Text) const {
  return hasWord(Text, this->Wanted) ||
         std::any_of(this->Asks.begin(), this->Asks.end(),
                     [Text](const auto &Ask) { return hasWord(Text, Ask); });
}

/// Lines of other requests are no part of the story.
bool RequestStory::isOwnLine(std::string_view Text) const {
  return wordThatBegins(Text, "request=").empty() &&
         wordThatBegins(Text, AskWord).empty();
}

void RequestStory::gather(const std::string &Source, std::string_view Text) {
  const std::string_view Time = logTimeOf(Text);
  if (Time.empty() || Time < this->First || Time > this->Last)
    return;
  const bool Naming = this->names(Text);
  if (!Naming && !this->isOwnLine(Text))
    return;
  if (Naming)
    this->Named.insert(Source);
  this->Found.push_back({Source, std::string(Text), std::string(Time),
                         this->Found.size(), Naming});
}

std::vector<RequestStory::Line> RequestStory::lines() const {
  std::vector<Line> Story;
  for (const Line &Each : this->Found)
    if (this->Named.contains(Each.Source))
      Story.push_back(Each);
  std::sort(Story.begin(), Story.end(),
            [](const Line &Left, const Line &Right) {
              return std::tie(Left.Time, Left.Place) <
                     std::tie(Right.Time, Right.Place);
            });
  return Story;
}

} // namespace parsleywing
