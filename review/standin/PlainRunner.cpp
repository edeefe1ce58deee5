#include "PlainRunner.h"

#include <utility>

namespace review {

PlainRunner::PlainRunner(RunnerEntry E, const std::string &Ip,
                         std::chrono::milliseconds WorkTime, Record &R)
    : Entry(std::move(E)), Work(WorkTime), Log(R),
      Listener(Ip, figures::RunnerPort,
               [this](Connection &Peer) { this->serve(Peer); }) {}

std::vector<Arrival> PlainRunner::arrivals() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Arrived;
}

void PlainRunner::exit() { this->Listener.stop(); }

void PlainRunner::serve(Connection &Peer) {
  constexpr int Ok = 200;
  constexpr int Misdirected = 421;
  for (Message Request; Peer.receive(Request);) {
    const std::string Id = Request.field("request-id");
    const std::string Expected = Request.field("expect-instance");
    if (!Expected.empty() && Expected != this->Entry.Id) {
      Peer.send(
          response(Misdirected, "Instance-Id: " + this->Entry.Id + "\r\n", ""));
      continue;
    }
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Arrived.push_back({Id, Clock::now()});
    }
    this->Log.line("runner " + this->Entry.Id + " runs " + Id);
    std::this_thread::sleep_for(this->Work);
    std::string Fields = "Request-Id: " + Id;
    Fields.append("\r\nResponse-Seal: seal.").append(Id).append("\r\n");
    const bool Sent = Peer.send(response(Ok, Fields, "done " + Id));
    this->Log.line("runner " + this->Entry.Id +
                   (Sent ? " has answered " : " could not answer ") + Id);
    if (!Sent)
      return;
  }
}

} // namespace review
