#include "Operator/RequestStory.h"

#include "Operator/LogLine.h"

#include <algorithm>

namespace parsleywing {

namespace {

constexpr std::string_view AskWord = "ask=";

} // namespace

RequestStory::RequestStory(std::string RequestId, Duration A)
    : Wanted("request=" + std::move(RequestId)), Around(A) {}

void RequestStory::look(std::string_view Text) {
  if (!hasLogWord(Text, this->Wanted))
    return;
  const std::string Time(logTimeOf(Text));
  if (Time.empty())
    return;
  if (this->First.empty() || Time < this->First)
    this->First = Time;
  this->Last = std::max(this->Last, Time);
  if (std::string Ask = logWord(Text, AskWord); !Ask.empty())
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
  return hasLogWord(Text, this->Wanted) ||
         std::any_of(this->Asks.begin(), this->Asks.end(),
                     [Text](const auto &Ask) { return hasLogWord(Text, Ask); });
}

/// Lines of other requests are no part of the story.
bool RequestStory::isOwnLine(std::string_view Text) const {
  return logWord(Text, "request=").empty() && logWord(Text, AskWord).empty();
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
