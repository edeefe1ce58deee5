#include "Operator/RequestStory.h"

#include "Operator/LogLine.h"

#include <algorithm>

namespace parsleywing {

namespace {

constexpr std::string_view AllocationPrefix = "ask=";

} // namespace

RequestStory::RequestStory(std::string RequestId, Duration A)
    : RequestField("request=" + std::move(RequestId)), Around(A) {}

void RequestStory::look(std::string_view Text) {
  if (!hasLogField(Text, this->RequestField))
    return;
  const std::string Time(logTimeOf(Text));
  if (Time.empty())
    return;
  if (this->FirstTime.empty() || Time < this->FirstTime)
    this->FirstTime = Time;
  this->LastTime = std::max(this->LastTime, Time);
  if (std::string Allocation = logField(Text, AllocationPrefix);
      !Allocation.empty())
    this->AllocationFields.insert(std::move(Allocation));
}

bool RequestStory::begin() {
  if (this->FirstTime.empty())
    return false;
  this->FirstTime = shiftedLogTime(this->FirstTime, -this->Around);
  this->LastTime = shiftedLogTime(this->LastTime, this->Around);
  return true;
}

bool RequestStory::names(std::string_view Text) const {
  return hasLogField(Text, this->RequestField) ||
         std::any_of(this->AllocationFields.begin(),
                     this->AllocationFields.end(),
                     [Text](const auto &Allocation) {
                       return hasLogField(Text, Allocation);
                     });
}

/// Whether the line is about the router itself. Lines of other requests are not
/// collected.
bool RequestStory::isRouterLine(std::string_view Text) const {
  return logField(Text, "request=").empty() &&
         logField(Text, AllocationPrefix).empty();
}

void RequestStory::gather(const std::string &Source, std::string_view Text) {
  const std::string_view Time = logTimeOf(Text);
  if (Time.empty() || Time < this->FirstTime || Time > this->LastTime)
    return;
  const bool NamesRequest = this->names(Text);
  if (!NamesRequest && !this->isRouterLine(Text))
    return;
  if (NamesRequest)
    this->NamingSources.insert(Source);
  this->Collected.push_back({Source, std::string(Text), std::string(Time),
                             this->Collected.size(), NamesRequest});
}

std::vector<RequestStory::Line> RequestStory::lines() const {
  std::vector<Line> Story;
  for (const Line &Each : this->Collected)
    if (this->NamingSources.contains(Each.Source))
      Story.push_back(Each);
  std::sort(Story.begin(), Story.end(),
            [](const Line &Left, const Line &Right) {
              return std::tie(Left.Time, Left.Place) <
                     std::tie(Right.Time, Right.Place);
            });
  return Story;
}

} // namespace parsleywing
