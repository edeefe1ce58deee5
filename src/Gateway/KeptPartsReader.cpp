#include "Gateway/KeptPartsReader.h"

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

KeptPartsReader::KeptPartsReader(EventLoop &L, const WireFormat &F,
                                 UpstreamPool &P, Metrics &M)
    : Loop(L), Format(F), Pool(P),
      Asked(M.counter({"kept_parts_asked_total",
                       "Engines that were asked what they keep.", ""})),
      Failed(M.counter({"kept_parts_failures_total",
                        "Such questions without a usable answer.", ""})) {}

void KeptPartsReader::ask(const GatewayServer &Server) {
  if (!this->Listed.insert(Server.Id).second)
    return;
  this->Waiting.push_back(Server);
  if (this->Listed.size() == 1)
    this->askNext();
}

void KeptPartsReader::askNext() {
  if (this->Waiting.empty())
    return;
  const GatewayServer &Server = this->Waiting.front();
  this->Asked.add();
  this->Status = 0;
  this->Body.clear();
  this->Connection = this->Pool.take(Server.Id, MaxIdle);
  if (this->Connection == nullptr)
    this->Connection =
        UpstreamConnection::connect(this->Loop, this->Format, Server.Address);
  if (this->Connection == nullptr) {
    this->finish("unreachable");
    return;
  }
  UpstreamListener Listener;
  Listener.Head = [this](const HttpHead &Head, const ServerHead &) {
    this->Status = Head.Status;
  };
  Listener.Payload = [this](std::string_view Bytes) {
    if (this->Body.size() + Bytes.size() <= MaxAnswerBytes)
      this->Body.append(Bytes);
    else
      this->Status = 0;
  };
  Listener.Ended = [this](UpstreamEnd How) { this->onEnd(How); };
  const HttpHead Question =
      this->Format.KeptPartsQuestion(Server.Address.toString());
  this->Timer = this->Loop.after(AnswerLimit, [this] {
    this->Timer = 0;
    std::exchange(this->Connection, nullptr)->close();
    this->finish("silent");
  });
  this->Connection->send(writeRequestHead(Question), Question.Method, "",
                         std::move(Listener));
}

void KeptPartsReader::onEnd(UpstreamEnd How) {
  const auto Ended = std::exchange(this->Connection, nullptr);
  if (How != UpstreamEnd::Complete) {
    this->finish("broken");
    return;
  }
  const GatewayServer &Server = this->Waiting.front();
  this->Pool.put(Server.Id, Ended);
  if (this->Status != HttpOk) {
    this->finish("refused");
    return;
  }
  const auto Read = this->Format.ReadKeptParts(this->Body);
  if (!Read) {
    this->finish("unreadable");
    return;
  }
  this->Tell(Server, *Read);
  this->finish(nullptr);
}

/// `Problem` is null where the engine has told.
void KeptPartsReader::finish(const char *Problem) {
  this->Loop.cancel(this->Timer);
  this->Timer = 0;
  const GatewayServer Server = std::move(this->Waiting.front());
  this->Waiting.pop_front();
  this->Listed.erase(Server.Id);
  if (Problem != nullptr) {
    this->Failed.add();
    log(LogPart::Backend, LogLevel::Info,
        "server=" + Server.Id + " does not tell what it keeps: " + Problem);
  }
  this->Loop.after(Pause, [this] {
    if (this->Connection == nullptr)
      this->askNext();
  });
}

} // namespace parsleywing
