#include "Gateway/CachedPartsReader.h"

#include "Http/HttpStatus.h"
#include "Runtime/Log.h"

#include <utility>

namespace parsleywing {

namespace {

/// An engine tells within a step, some 30 ms, and the way. What comes later
/// than this is overtaken by what the allocator has sent there meanwhile.
constexpr Duration AnswerLimit = std::chrono::milliseconds(500);

/// An answer that is longer is not read: 100,000 parts.
constexpr std::size_t MaxAnswerBytes = 4U << 20U;

/// The pause between two engines, so that callers are served between.
constexpr Duration Pause = std::chrono::milliseconds(5);

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
    this->finishQuery("unreachable");
    return;
  }
  UpstreamListener Listener;
  Listener.HeadReceived = [this](const HttpHead &Head,
                                 const ServerResponseFields &) {
    this->Status = Head.Status;
  };
  Listener.PayloadReceived = [this](std::string_view Bytes) {
    if (this->Body.size() + Bytes.size() <= MaxAnswerBytes)
      this->Body.append(Bytes);
    else
      this->Status = 0;
  };
  Listener.Ended = [this](UpstreamEnd How) { this->onResponseEnd(How); };
  const HttpHead Question =
      this->Format.BuildCachedPartsRequest(Server.Address.toString());
  this->Timer = this->Loop.after(AnswerLimit, [this] {
    this->Timer = 0;
    std::exchange(this->Connection, nullptr)->close();
    this->finishQuery("silent");
  });
  this->Connection->send(writeRequestHead(Question), Question.Method, "",
                         std::move(Listener));
}

void CachedPartsReader::onResponseEnd(UpstreamEnd How) {
  const auto Ended = std::exchange(this->Connection, nullptr);
  if (How != UpstreamEnd::Complete) {
    this->finishQuery("broken");
    return;
  }
  const GatewayServer &Server = this->Pending.front();
  this->Pool.release(Server.Id, Ended);
  if (this->Status != HttpOk) {
    this->finishQuery("refused");
    return;
  }
  const auto Read = this->Format.ParseCachedParts(this->Body);
  if (!Read) {
    this->finishQuery("unreadable");
    return;
  }
  this->OnParts(Server, *Read);
  this->finishQuery(nullptr);
}

/// `Problem` is null where the engine has told.
void CachedPartsReader::finishQuery(const char *Problem) {
  this->Loop.cancel(this->Timer);
  this->Timer = 0;
  const GatewayServer Server = std::move(this->Pending.front());
  this->Pending.pop_front();
  this->PendingIds.erase(Server.Id);
  if (Problem != nullptr) {
    this->FailedQueries.add();
    log(LogPart::Backend, LogLevel::Info,
        "server=" + Server.Id + " does not tell what it keeps: " + Problem);
  }
  this->Loop.after(Pause, [this] {
    if (this->Connection == nullptr)
      this->queryNext();
  });
}

} // namespace parsleywing
