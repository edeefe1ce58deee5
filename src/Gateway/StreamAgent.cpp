#include "Gateway/StreamAgent.h"

#include "Runtime/Overloaded.h"

#include <utility>
#include <variant>

namespace parsleywing {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration HousekeepingInterval = std::chrono::seconds(1);

Counter &lookupCounter(Metrics &M, const char *Answer) {
  return M.counter({"stream_lookups_total",
                    "Lookups of the software that began a stream, by the "
                    "answer.",
                    "answer=\"" + std::string(Answer) + "\""});
}

} // namespace

StreamAgent::StreamAgent(EventLoop &L, RouterMessenger &R, std::uint64_t P,
                         Metrics &M)
    : Loop(L), Routers(R), RouterProcess(P), Directory(R.self()),
      Bindings(M.counter(
          {"streams_bound_total",
           "Streams that were bound to the software of their first event.",
           ""})),
      FoundOwn(lookupCounter(M, "own")),
      FoundByOthers(lookupCounter(M, "other-router")),
      NotFound(lookupCounter(M, "unknown")),
      FoundDisputed(lookupCounter(M, "disputed")) {
  M.callback(
      MetricKind::Gauge,
      {"stream_records", "Streams whose software this router remembers.", ""},
      [this] { return static_cast<double>(this->records().size()); });
  M.callback(
      MetricKind::Counter,
      {"stream_records_dropped_total",
       "Records that were dropped for want of room.", ""},
      [this] { return static_cast<double>(this->records().droppedCount()); });
}

void StreamAgent::housekeeping() {
  this->Directory.tick(this->Loop.clock().now());
  this->update();
  this->Loop.after(HousekeepingInterval, [this] { this->housekeeping(); });
}

void StreamAgent::setRouters(const RouterList &Listed) {
  this->Directory.setRouters(Listed);
  this->update();
}

void StreamAgent::leave() {
  this->Directory.leave(this->Loop.clock().now());
  this->update();
}

void StreamAgent::bind(StreamKey Key, SoftwareId Software, Duration Lifetime) {
  this->Bindings.add();
  this->Directory.bind(Key, Software, Lifetime, this->Loop.clock().now());
  this->update();
}

CorrelationId StreamAgent::find(StreamKey Key, Callback OnFound) {
  const CorrelationId Id{this->RouterProcess, ++this->LastNumber};
  this->Callbacks[Id] = std::move(OnFound);
  this->Directory.find(Id, Key, this->Loop.clock().now());
  this->update();
  return Id;
}

void StreamAgent::cancel(const CorrelationId &Id) {
  this->Callbacks.erase(Id);
  this->Directory.cancel(Id);
}

void StreamAgent::onMessage(const RouterMessage &Message,
                            const Poco::Net::SocketAddress &From) {
  const TimePoint Now = this->Loop.clock().now();
  std::visit(
      Overloaded{
          [&](const StreamsBound &M) { this->Directory.onBound(M, Now); },
          [&](const StreamQuery &M) {
            this->Routers.send(From, this->Directory.answerTo(M, Now));
          },
          [&](const StreamAnswer &M) { this->Directory.onAnswer(M, Now); },
          [&](const StreamSyncRequest &M) {
            for (StreamsBound &Each : this->Directory.repliesTo(M, Now))
              this->Routers.send(From, std::move(Each));
          },
          [](const auto &) {},
      },
      Message);
  this->update();
}

void StreamAgent::update() {
  for (StreamDirectory::Outgoing &Each : this->Directory.takeOutgoing())
    this->Routers.send(Each.Router, std::move(Each.Message));
  for (const StreamDirectory::Finished &Each : this->Directory.takeFinished()) {
    const auto Found = this->Callbacks.find(Each.Id);
    if (Found == this->Callbacks.end())
      continue;
    switch (Each.Origin.Result) {
    case StreamLookupResult::Known:
      (Each.Origin.IsOwn ? this->FoundOwn : this->FoundByOthers).add();
      break;
    case StreamLookupResult::Disputed:
      this->FoundDisputed.add();
      break;
    case StreamLookupResult::Unknown:
      this->NotFound.add();
    }
    const Callback OnFound = std::move(Found->second);
    this->Callbacks.erase(Found);
    OnFound(Each.Origin);
  }
  this->scheduleTick();
}

void StreamAgent::scheduleTick() {
  if (this->TickScheduled || !this->Directory.isBusy())
    return;
  this->TickScheduled = true;
  this->Loop.after(TickInterval, [this] {
    this->TickScheduled = false;
    this->Directory.tick(this->Loop.clock().now());
    this->update();
  });
}

} // namespace parsleywing
