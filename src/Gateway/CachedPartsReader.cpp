#include "Gateway/CachedPartsReader.h"

#include "Http/HttpStatus.h"
#include "Runtime/Log.h"

#include <utility>

namespace parsleywing {

namespace {

/// An engine responds within one step, some 30 ms, plus the network delay. A
/// later response is outdated by what the allocator has sent to the engine
/// meanwhile.
constexpr Duration ResponseTimeout = std::chrono::milliseconds(500);

/// Max size of a response, some 100,000 parts.
constexpr std::size_t MaxResponseBytes = 4U << 20U;

/// The pause between two queries, so that callers are served in between.
constexpr Duration QueryPause = std::chrono::milliseconds(5);

/// Max idle time of a pooled connection that is used for a query.
constexpr Duration MaxIdle = std::chrono::seconds(4);

} // namespace

CachedPartsReader::CachedPartsReader(EventLoop &L, const WireFormat &F,
                                     UpstreamPool &P, Metrics &M)
    : Loop(L), Format(F), Pool(P),
      Queries(M.counter({"kept_parts_asked_total",
                         "Engines that were asked what they keep.", ""})),
      FailedQueries(
          M.counter({"kept_parts_failures_total",
                     "Such questions without a usable answer.", ""})) {}

void CachedPartsReader::query(const GatewayServer &Server) {
  if (!this->PendingIds.insert(Server.Id).second)
    return;
  this->Pending.push_back(Server);
  if (this->PendingIds.size() == 1)
    this->queryNext();
}

void CachedPartsReader::queryNext() {
  if (this->Pending.empty())
    return;
  const GatewayServer &Server = this->Pending.front();
  this->Queries.add();
  this->Status = 0;
  this->Body.clear();
  this->Connection = this->Pool.acquire(Server.Id, MaxIdle);
  if (this->Connection == nullptr)
    this->Connection =
        UpstreamConnection::connect(this->Loop, this->Format, Server.Address);
  if (this->Connection == nullptr) {
    this->finishQuery("unreachable: no connection attempt could be started");
    return;
  }
  UpstreamListener Listener;
  Listener.HeadReceived = [this](const HttpHead &Head,
                                 const ServerResponseFields &Fields) {
    this->Status = Head.Status;
    if (Fields.Pause && this->OnPause)
      this->OnPause(this->Pending.front(), *Fields.Pause);
  };
  Listener.PayloadReceived = [this](std::string_view Bytes) {
    if (this->Body.size() + Bytes.size() <= MaxResponseBytes)
      this->Body.append(Bytes);
    else
      this->Status = 0;
  };
  Listener.Ended = [this](UpstreamEnd End) { this->onResponseEnd(End); };
  const HttpHead Request =
      this->Format.BuildCachedPartsRequest(Server.Address.toString());
  this->Timer = this->Loop.after(ResponseTimeout, [this] {
    this->Timer = 0;
    std::exchange(this->Connection, nullptr)->close();
    this->finishQuery("silent: no complete response in time");
  });
  this->Connection->send(writeRequestHead(Request), Request.Method, "",
                         std::move(Listener));
}

void CachedPartsReader::onResponseEnd(UpstreamEnd End) {
  const auto EndedConnection = std::exchange(this->Connection, nullptr);
  if (End != UpstreamEnd::Complete) {
    this->finishQuery(
        "broken: the connection ended early or the response is malformed");
    return;
  }
  const GatewayServer &Server = this->Pending.front();
  this->Pool.release(Server.Id, EndedConnection);
  if (this->Status != HttpOk) {
    this->finishQuery(
        "refused: the status is not 200, or the response is too large");
    return;
  }
  const auto Parts = this->Format.ParseCachedParts(this->Body);
  if (!Parts) {
    this->finishQuery("unreadable: the response body cannot be parsed");
    return;
  }
  this->OnParts(Server, *Parts);
  this->finishQuery(nullptr);
}

void CachedPartsReader::finishQuery(const char *Reason) {
  this->Loop.cancel(this->Timer);
  this->Timer = 0;
  const GatewayServer Server = std::move(this->Pending.front());
  this->Pending.pop_front();
  this->PendingIds.erase(Server.Id);
  if (Reason != nullptr) {
    this->FailedQueries.add();
    log(LogPart::Backend, LogLevel::Info,
        "server=" + Server.Id + " does not tell what it keeps: " + Reason);
  }
  this->Loop.after(QueryPause, [this] {
    if (this->Connection == nullptr)
      this->queryNext();
  });
}

} // namespace parsleywing
