#include "PlainCallers.h"

namespace review {

using std::chrono::milliseconds;

const char *const PlainConfiguration = R"({"version":7,"routes":[{"name":"r-1",
"hostname":"ficu95.example","prefix":"/puxa403/","kind":"unsafe",
"timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"member-records",
"maxAttempts":1,"public":true,"sticky":false,"resumable":false}],"services":[
{"name":"member-records","healthPath":"/health","maxConns":96,"protocol":"h1",
"tls":false},{"name":"archive","healthPath":"/health","maxConns":96,
"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

void PlainCallers::start(const Router &Entry, int Count) {
  for (int I = 0; I < Count; ++I)
    this->Threads.emplace_back([this, &Entry] { this->run(Entry); });
}

void PlainCallers::stop() {
  this->Stopping = true;
  for (std::thread &Each : this->Threads)
    Each.join();
}

std::map<std::string, Outcome> PlainCallers::outcomes() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Outcomes;
}

void PlainCallers::run(const Router &Entry) {
  while (!this->Stopping) {
    Connection Way(Connection::connectTo(Entry.Address, figures::CallerPort));
    Way.setTimeout(milliseconds(2500));
    while (Way.isOpen() && !this->Stopping)
      if (!this->ask(Entry, Way))
        break;
    std::this_thread::sleep_for(milliseconds(40));
  }
}

bool PlainCallers::ask(const Router &Entry, Connection &Way) {
  const std::string Id = requestId();
  Outcome Result{Entry.Name, Clock::now(), 0};
  this->Log.line("client sends " + Id + " to " + Entry.Name);
  Message Answer;
  const bool Answered =
      Way.send("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
               "Request-Id: " +
               Id + "\r\nDeadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nwork") &&
      Way.receive(Answer);
  Result.Status = Answered ? Answer.status() : 0;
  this->Log.line("client gets " + std::to_string(Result.Status) + " for " + Id);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Outcomes[Id] = Result;
  return Answered && Answer.field("connection") != "close";
}

LateArrivals countLate(PlainRunner &Runner,
                       const std::map<std::string, Outcome> &Outcomes,
                       Clock::time_point RemovedAt, Record &Log,
                       const std::string &Restarted,
                       Clock::time_point InTouchFrom) {
  constexpr int Ok = 200;
  const auto Bound = RemovedAt + figures::DrainMs;
  LateArrivals Late;
  for (const Arrival &Each : Runner.arrivals()) {
    const auto Found = Outcomes.find(Each.RequestId);
    if (Found == Outcomes.end() || Each.At < Bound ||
        Found->second.SentAt < Bound)
      continue;
    if (Found->second.Router == Restarted && Found->second.SentAt < InTouchFrom)
      continue;
    ++Late.Count;
    Late.Lost += Found->second.Status == Ok ? 0 : 1;
    Log.line("late at the runner: " + Each.RequestId + " from " +
             Found->second.Router + ", client got " +
             std::to_string(Found->second.Status));
  }
  return Late;
}

} // namespace review
