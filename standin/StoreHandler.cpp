#include "standin/StoreHandler.h"

#include "Platform/StoreCodec.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>
#include <algorithm>
#include <map>

namespace parsleywing::standin {

using internal::fromBase64;
using internal::int64Field;
using internal::toBase64;
using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int TooManyCalls = 429;
constexpr int Unavailable = 503;
constexpr std::chrono::milliseconds WatchStep(20);

const std::map<std::string, StoreCall> &paths() {
  static const std::map<std::string, StoreCall> Paths{
      {"/v3/kv/range", StoreCall::Range},
      {"/v3/kv/put", StoreCall::Put},
      {"/v3/kv/txn", StoreCall::Transaction},
      {"/v3/lease/grant", StoreCall::LeaseGrant},
      {"/v3/lease/keepalive", StoreCall::LeaseKeepAlive},
      {"/v3/lease/revoke", StoreCall::LeaseRevoke},
      {"/v3/watch", StoreCall::Watch}};
  return Paths;
}

bool isWrite(StoreCall Kind) {
  return Kind == StoreCall::Put || Kind == StoreCall::Transaction ||
         Kind == StoreCall::LeaseGrant;
}

std::string textOf(const Object &Message, const std::string &Name) {
  return Message.has(Name) ? fromBase64(Message.getValue<std::string>(Name))
                           : std::string();
}

Object::Ptr entryJson(const StoreEntry &Entry, bool KeyOnly) {
  Object::Ptr Message = new Object;
  Message->set("key", toBase64(Entry.Key));
  Message->set("create_revision", std::to_string(Entry.CreateRevision));
  Message->set("mod_revision", std::to_string(Entry.ModRevision));
  Message->set("version", std::to_string(Entry.Version));
  if (!KeyOnly)
    Message->set("value", toBase64(Entry.Value));
  if (Entry.Lease != 0)
    Message->set("lease", std::to_string(Entry.Lease));
  return Message;
}

void setHeader(Object &Answer, Revision At) {
  Object::Ptr Header = new Object;
  Header->set("revision", std::to_string(At));
  Answer.set("header", Header);
}

void setEntries(Object &Answer, const StoreRange &Found, bool KeysOnly) {
  Array::Ptr Entries = new Array;
  for (const StoreEntry &Entry : Found.Entries)
    Entries->add(entryJson(Entry, KeysOnly));
  Answer.set("kvs", Entries);
  Answer.set("count", std::to_string(Found.Entries.size()));
}

StoreCompare compareOf(const Object &Message) {
  const auto Target = Message.getValue<std::string>("target");
  const std::string Key = textOf(Message, "key");
  if (Target == "CREATE")
    return keyCreateRevisionIs(Key, int64Field(Message, "create_revision"));
  if (Target == "MOD")
    return keyModRevisionIs(Key, int64Field(Message, "mod_revision"));
  return keyValueIs(Key, textOf(Message, "value"));
}

StoreOperation stepOf(const Object &Message) {
  if (const Object::Ptr Put = Message.getObject("request_put"))
    return putKey(textOf(*Put, "key"), textOf(*Put, "value"),
                  int64Field(*Put, "lease"));
  if (const Object::Ptr Delete = Message.getObject("request_delete_range"))
    return deleteKey(textOf(*Delete, "key"));
  return readKey(textOf(*Message.getObject("request_range"), "key"));
}

template <typename Item, typename Read>
std::vector<Item> listOf(const Object &Message, const std::string &Name,
                         Read One) {
  std::vector<Item> All;
  const Array::Ptr List = Message.getArray(Name);
  for (unsigned Index = 0; List && Index < List->size(); ++Index)
    All.push_back(One(*List->getObject(Index)));
  return All;
}

/// A deletion names the key and its own revision only.
Object::Ptr deletedJson(const StoreEntry &Entry) {
  Object::Ptr Message = new Object;
  Message->set("key", toBase64(Entry.Key));
  Message->set("mod_revision", std::to_string(Entry.ModRevision));
  return Message;
}

Object::Ptr changeJson(const StoreChange &Change) {
  Object::Ptr Message = new Object;
  if (Change.Deleted)
    Message->set("type", "DELETE");
  Message->set("kv", Change.Deleted ? deletedJson(Change.Entry)
                                    : entryJson(Change.Entry, false));
  return Message;
}

void sendJson(HTTPServerResponse &Response, int Status, const Object &Answer) {
  Response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(Status));
  Response.setContentType("application/json");
  const std::string Text = internal::stringify(Answer);
  Response.setContentLength(static_cast<std::streamsize>(Text.size()));
  Response.send() << Text << std::flush;
}

void closeConnection(HTTPServerRequest &Request, HTTPServerResponse &Response) {
  Response.setKeepAlive(false);
  auto &Connected = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
  try {
    Connected.socket().shutdown();
  } catch (const Poco::Exception &) {
    // The other side closed first.
  }
}

void assign(const Object &Body, const char *Name, bool &Field) {
  if (Body.has(Name))
    Field = Body.getValue<bool>(Name);
}

void assign(const Object &Body, const char *Name, int &Field) {
  if (Body.has(Name))
    Field = Body.getValue<int>(Name);
}

void readFaults(const Object &Body, StoreFaults &Faults) {
  assign(Body, "stall", Faults.Stall);
  assign(Body, "silent", Faults.Silent);
  assign(Body, "silentExisting", Faults.SilentExisting);
  assign(Body, "refuse", Faults.Refuse);
  assign(Body, "stale", Faults.Stale);
  assign(Body, "watchReorder", Faults.WatchReorder);
  assign(Body, "loseReplies", Faults.LoseReplies);
  assign(Body, "loseRequests", Faults.LoseRequests);
  assign(Body, "lateWrites", Faults.LateWrites);
  assign(Body, "lateMs", Faults.LateMs);
  assign(Body, "lagMs", Faults.LagMs);
  assign(Body, "awayMs", Faults.AwayMs);
  assign(Body, "watchDelayMs", Faults.WatchDelayMs);
  assign(Body, "watchDrop", Faults.WatchDrop);
  assign(Body, "vmLagMs", Faults.VmLagMs);
  assign(Body, "callsPerSecond", Faults.CallsPerSecond);
}

bool takeOne(int &Count) {
  if (Count <= 0)
    return false;
  --Count;
  return true;
}

} // namespace

bool StoreHandler::isSilent(const std::string &Peer) const {
  return this->Store.Faults.Silent ||
         this->Store.SilentConnections.count(Peer) > 0;
}

bool StoreHandler::overRate() {
  const int Limit = this->Store.Faults.CallsPerSecond;
  if (Limit == 0)
    return false;
  const TimePoint Now = this->Store.Time.now();
  const std::chrono::duration<double> Passed = Now - this->Store.RateFilled;
  this->Store.RateFilled = Now;
  this->Store.RateTokens =
      std::min<double>(Limit, this->Store.RateTokens + Passed.count() * Limit);
  if (this->Store.RateTokens < 1)
    return true;
  this->Store.RateTokens -= 1;
  return false;
}

void StoreHandler::holdWhile(Lock &Held,
                             const std::function<bool()> &Condition) {
  this->Store.Changed.wait(
      Held, [&] { return this->Store.Stopping || !Condition(); });
}

void StoreHandler::handleRequest(HTTPServerRequest &Request,
                                 HTTPServerResponse &Response) {
  try {
    const auto Place = paths().find(Request.getURI());
    if (Place == paths().end())
      this->serveControl(Request, Response);
    else
      this->serveCall(Place->second, Request, Response);
  } catch (const Poco::Exception &) {
    Response.setKeepAlive(false);
  }
}

void StoreHandler::serveCall(StoreCall Kind, HTTPServerRequest &Request,
                             HTTPServerResponse &Response) {
  const std::string Peer = Request.clientAddress().toString();
  std::string Text;
  Poco::StreamCopier::copyToString(Request.stream(), Text);
  const auto Body = internal::parseMessage(Text);
  StoreStandIn &S = this->Store;
  Lock Held(S.Mutex);
  S.Connections.insert(Peer);
  ++S.Counts[static_cast<std::size_t>(Kind)];
  if (this->isSilent(Peer)) {
    this->holdWhile(Held, [&] { return this->isSilent(Peer); });
    Held.unlock();
    return closeConnection(Request, Response);
  }
  const bool Limited = this->overRate();
  if (S.Faults.Refuse || Limited || !Body) {
    Held.unlock();
    return sendJson(Response, Limited ? TooManyCalls : Unavailable, Object());
  }
  if (Kind == StoreCall::Watch) {
    Held.unlock();
    return this->serveWatch(**Body, Request, Response);
  }
  if (isWrite(Kind) && takeOne(S.Faults.LoseRequests)) {
    Held.unlock();
    return closeConnection(Request, Response);
  }
  if (isWrite(Kind) && takeOne(S.Faults.LateWrites))
    S.Changed.wait_for(Held, std::chrono::milliseconds(S.Faults.LateMs),
                       [&] { return S.Stopping; });
  S.advance(S.Time.now());
  Object Answer;
  const int Status = this->perform(Kind, **Body, Answer);
  S.Changed.notify_all();
  const bool Lose = isWrite(Kind) && takeOne(S.Faults.LoseReplies);
  if (!Lose && S.Faults.LagMs > 0)
    S.Changed.wait_for(Held, std::chrono::milliseconds(S.Faults.LagMs),
                       [&] { return S.Stopping; });
  this->holdWhile(Held, [&] { return S.Faults.Stall; });
  Held.unlock();
  if (Lose)
    return closeConnection(Request, Response);
  sendJson(Response, Status, Answer);
}

int StoreHandler::perform(StoreCall Kind, const Object &Body, Object &Answer) {
  StoreData &Data = this->Store.Data;
  const bool Stale = this->Store.Faults.Stale;
  if (Kind == StoreCall::Range) {
    const StoreRange Found =
        Data.range(textOf(Body, "key"), textOf(Body, "range_end"), Stale);
    setHeader(Answer, Found.ReadRevision);
    setEntries(Answer, Found, Body.optValue("keys_only", false));
    return Ok;
  }
  if (Kind == StoreCall::Put) {
    const StoreOperation Step = putKey(
        textOf(Body, "key"), textOf(Body, "value"), int64Field(Body, "lease"));
    if (Step.Lease != 0 && !Data.knowsLease(Step.Lease))
      return NotFound;
    setHeader(Answer, Data.put(Step));
    return Ok;
  }
  if (Kind != StoreCall::Transaction)
    return this->performLease(Kind, Body, Answer);
  StoreTransaction Transaction;
  Transaction.Conditions = listOf<StoreCompare>(Body, "compare", compareOf);
  Transaction.Then = listOf<StoreOperation>(Body, "success", stepOf);
  Transaction.Else = listOf<StoreOperation>(Body, "failure", stepOf);
  for (const StoreOperation &Step : Transaction.Then)
    if (Step.Lease != 0 && !Data.knowsLease(Step.Lease))
      return NotFound;
  const TransactionOutcome Outcome = Data.commit(Transaction, Stale);
  setHeader(Answer, Outcome.CommitRevision);
  if (Outcome.Succeeded)
    Answer.set("succeeded", true);
  Array::Ptr Responses = new Array;
  for (const StoreRange &Read : Outcome.Reads) {
    Object::Ptr Range = new Object;
    setEntries(*Range, Read, false);
    Object::Ptr Response = new Object;
    Response->set("response_range", Range);
    Responses->add(Response);
  }
  Answer.set("responses", Responses);
  return Ok;
}

int StoreHandler::performLease(StoreCall Kind, const Object &Body,
                               Object &Answer) {
  StoreData &Data = this->Store.Data;
  const TimePoint Now = this->Store.Time.now();
  if (Kind == StoreCall::LeaseGrant) {
    const std::chrono::seconds Life(int64Field(Body, "TTL"));
    const LeaseId Granted = Data.grant(Life, int64Field(Body, "ID"), Now);
    if (Granted == 0)
      return BadRequest;
    Answer.set("ID", std::to_string(Granted));
    Answer.set("TTL", std::to_string(Life.count()));
    return Ok;
  }
  const LeaseId Lease = int64Field(Body, "ID");
  if (Kind == StoreCall::LeaseRevoke)
    return Data.revoke(Lease) ? Ok : NotFound;
  Object::Ptr Inner = new Object;
  Inner->set("ID", std::to_string(Lease));
  const std::chrono::seconds Left = Data.keepAlive(Lease, Now);
  if (Left.count() > 0)
    Inner->set("TTL", std::to_string(Left.count()));
  Answer.set("result", Inner);
  return Ok;
}

void StoreHandler::serveWatch(const Object &Body, HTTPServerRequest &Request,
                              HTTPServerResponse &Response) {
  const Object::Ptr Wanted = Body.getObject("create_request");
  const std::string Key = textOf(*Wanted, "key");
  std::string End = textOf(*Wanted, "range_end");
  if (End.empty())
    End = Key + '\0';
  const std::string Peer = Request.clientAddress().toString();
  StoreStandIn &S = this->Store;
  Lock Held(S.Mutex);
  Revision Next = int64Field(*Wanted, "start_revision");
  if (Next == 0)
    Next = S.Data.revision() + 1;
  std::size_t Seen = 0;
  ++S.Waiting;
  Held.unlock();
  Response.setChunkedTransferEncoding(true);
  Response.setContentType("application/json");
  std::ostream &Out = Response.send();
  Out << "{\"result\":{\"created\":true}}\n" << std::flush;
  auto &Connected = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
  Held.lock();
  while (!S.Stopping && Out.good()) {
    S.Changed.wait_for(Held, WatchStep);
    S.advance(S.Time.now());
    if (this->isSilent(Peer))
      continue;
    std::vector<StoreChange> Batch;
    for (; Seen < S.Data.changes().size(); ++Seen) {
      const StoreChange &Change = S.Data.changes()[Seen];
      if (Change.Entry.ModRevision < Next || Change.Entry.Key < Key ||
          Change.Entry.Key >= End || takeOne(S.Faults.WatchDrop))
        continue;
      Batch.push_back(Change);
    }
    if (S.Faults.WatchReorder)
      std::reverse(Batch.begin(), Batch.end());
    if (!Batch.empty() && S.Faults.WatchDelayMs > 0)
      S.Changed.wait_for(Held, std::chrono::milliseconds(S.Faults.WatchDelayMs),
                         [&] { return S.Stopping; });
    const Revision At = S.Data.revision();
    Held.unlock();
    if (!Batch.empty()) {
      Array::Ptr Events = new Array;
      for (const StoreChange &Change : Batch)
        Events->add(changeJson(Change));
      Object::Ptr Inner = new Object;
      setHeader(*Inner, At);
      Inner->set("events", Events);
      Object Line;
      Line.set("result", Inner);
      Out << internal::stringify(Line) << '\n' << std::flush;
    }
    const bool Left = Connected.socket().poll(Poco::Timespan(0),
                                              Poco::Net::Socket::SELECT_READ);
    Held.lock();
    if (Left)
      break;
  }
  --S.Waiting;
  Response.setKeepAlive(false);
}

void StoreHandler::serveControl(HTTPServerRequest &Request,
                                HTTPServerResponse &Response) {
  const std::string &Path = Request.getURI();
  Object Answer;
  if (Path == "/standin/counts") {
    for (const auto &[Kind, Name] : StoreCallNames)
      Answer.set(std::string(Name), this->Store.calls(Kind));
    Answer.set("waiting-watches", this->Store.watches());
    return sendJson(Response, Ok, Answer);
  }
  std::string Text;
  Poco::StreamCopier::copyToString(Request.stream(), Text);
  const auto Body = internal::parseMessage(Text);
  if (!Body)
    return sendJson(Response, NotFound, Answer);
  if (Path == "/standin/vms") {
    this->Store.setVm((*Body)->getValue<std::string>("name"),
                      (*Body)->optValue("state", std::string()));
    return sendJson(Response, Ok, Answer);
  }
  if (Path != "/standin/faults")
    return sendJson(Response, NotFound, Answer);
  sendJson(Response, Ok, Answer);
  this->Store.changeFaults(
      [&](StoreFaults &Faults) { readFaults(**Body, Faults); });
}

} // namespace parsleywing::standin
