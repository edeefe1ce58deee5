#include "Http/EventSplitter.h"
#include "Soak/SoakFleet.h"

#include <map>

namespace parsleywing::test {

namespace {

/// How often a caller asks for the rest of a stream.
constexpr int MaxTakeUps = 2;

std::string dataOf(const std::string &Event) {
  const std::string Start = "data: ";
  const std::size_t Begin = Event.find(Start) + Start.size();
  return Event.substr(Begin, Event.find('\n', Begin) - Begin);
}

} // namespace

void addEvents(const std::string &Body, CallerStream &Stream) {
  EventSplitter Splitter;
  for (const StreamEvent &Each : Splitter.add(Body)) {
    const int Id = static_cast<int>(Each.Id.value_or(0));
    const std::string Data = dataOf(Each.Text);
    const std::size_t Space = Data.find(' ');
    Stream.InOrder = Stream.InOrder && Id == Stream.LastId + 1 &&
                     Data.substr(0, Space) == Stream.Attempts.back();
    Stream.LastId = Id;
    Stream.Versions.push_back(Data.substr(Space + 1));
  }
}

/// The processes of one server differ in their versions, and so do servers: as
/// in releases that follow each other.
std::string SoakFleet::versionOf(std::size_t Server) const {
  const auto Starts =
      static_cast<std::size_t>(this->ServerLinks.at(Server).Starts);
  return "v" + std::to_string((Server + Starts) % 2);
}

void SoakFleet::takeUp(std::mt19937_64 &Random,
                       std::vector<KeepAliveConnection> &Connections,
                       CallerStream Begun, const std::string &Path,
                       const std::string &Fields) {
  bool Complete = false;
  for (int Try = 0; Try < MaxTakeUps && !Complete; ++Try) {
    const auto Number = ++this->LastRequest;
    const std::string Id = "t" + std::to_string(Number);
    // Callers of earlier releases do not name the first attempt.
    const bool Named = Number % 4 != 0;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->TakeUps.insert(Id);
    }
    const CallerResult Rest = this->callRouter(
        Random, Connections, Id, Path,
        Fields + "Last-Event-Id: " + std::to_string(Begun.LastId) +
            (Named ? "\r\nResumes: " + Begun.Attempts.front() : "") + "\r\n");
    Begun.Attempts.push_back(Id);
    if (Rest.Status == 200)
      addEvents(Rest.Body, Begun);
    Complete = Rest.Status == 200 && Rest.isComplete();
  }
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->TakenUpStreams.push_back(std::move(Begun));
}

/// A stream holds events of one version and each of them once, whatever the
/// routers did in between; an attempt that was refused has not run.
void SoakFleet::checkStreams(std::vector<std::string> &Violations) {
  for (const CallerStream &Each : this->TakenUpStreams) {
    std::string Description = "stream of";
    for (const std::string &Id : Each.Attempts)
      Description += " " + Id + " (status " +
                     std::to_string(this->Results[Id].Status) + ")" +
                     this->logOf(Id, this->Results[Id]);
    const std::set<std::string> Versions(Each.Versions.begin(),
                                         Each.Versions.end());
    if (Versions.size() > 1)
      Violations.push_back("events of two versions: " + Description);
    if (!Each.InOrder)
      Violations.push_back("events lost or doubled: " + Description);
  }
  for (const std::string &Id : this->TakeUps)
    if (this->Results[Id].Status == 503 && !this->Runs[Id].empty())
      Violations.push_back("taken up, reported as not run, but ran: " + Id);
}

std::string SoakFleet::takeUpSummary() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::map<std::string, int> Outcomes;
  for (const std::string &Id : this->TakeUps) {
    const CallerResult &Result = this->Results[Id];
    const std::string Log = this->logOf(Id, Result);
    const std::size_t At = Log.find(" refused=");
    const std::string Reason = At == std::string::npos
                                   ? ""
                                   : Log.substr(At, Log.find(' ', At + 1) - At);
    ++Outcomes["status " + std::to_string(Result.Status) + Reason];
  }
  std::string Text = "; requests for the rest of a stream:";
  for (const auto &[Outcome, Count] : Outcomes)
    Text += " " + std::to_string(Count) + " x " + Outcome + ",";
  return Text;
}

} // namespace parsleywing::test
