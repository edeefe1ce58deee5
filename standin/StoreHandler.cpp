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
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr std::chrono::milliseconds WatchPollInterval(20);

const std::map<std::string, StoreCall> &callPaths() {
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

std::string decodedField(const Object &Message, const std::string &Name) {
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

void setHeader(Object &Reply, Revision Current) {
  Object::Ptr Header = new Object;
  Header->set("revision", std::to_string(Current));
  Reply.set("header", Header);
}

void setEntries(Object &Reply, const StoreRange &Found, bool KeysOnly) {
  Array::Ptr Entries = new Array;
  for (const StoreEntry &Entry : Found.Entries)
    Entries->add(entryJson(Entry, KeysOnly));
  Reply.set("kvs", Entries);
  Reply.set("count", std::to_string(Found.Entries.size()));
}

StoreCompare parseCompare(const Object &Message) {
  const auto Target = Message.getValue<std::string>("target");
  const std::string Key = decodedField(Message, "key");
  if (Target == "CREATE")
    return keyCreateRevisionIs(Key, int64Field(Message, "create_revision"));
  if (Target == "MOD")
    return keyModRevisionIs(Key, int64Field(Message, "mod_revision"));
  return keyValueIs(Key, decodedField(Message, "value"));
}

StoreOperation parseOperation(const Object &Message) {
  if (const Object::Ptr Put = Message.getObject("request_put"))
    return putKey(decodedField(*Put, "key"), decodedField(*Put, "value"),
                  int64Field(*Put, "lease"));
  if (const Object::Ptr Delete = Message.getObject("request_delete_range"))
    return deleteKey(decodedField(*Delete, "key"));
  return readKey(decodedField(*Message.getObject("request_range"), "key"));
}

template <typename Item, typename Read>
std::vector<Item> parseList(const Object &Message, const std::string &Name,
                            Read ParseItem) {
  std::vector<Item> All;
  const Array::Ptr List = Message.getArray(Name);
  for (unsigned Index = 0; List && Index < List->size(); ++Index)
    All.push_back(ParseItem(*List->getObject(Index)));
  return All;
}

/// An event of a deleted key has only the key and the revision of the deletion.
Object::Ptr deletedEntryJson(const StoreEntry &Entry) {
  Object::Ptr Message = new Object;
  Message->set("key", toBase64(Entry.Key));
  Message->set("mod_revision", std::to_string(Entry.ModRevision));
  return Message;
}

Object::Ptr changeJson(const StoreChange &Change) {
  Object::Ptr Message = new Object;
  if (Change.Deleted)
    Message->set("type", "DELETE");
  Message->set("kv", Change.Deleted ? deletedEntryJson(Change.Entry)
                                    : entryJson(Change.Entry, false));
  return Message;
}

void sendJson(HTTPServerResponse &Response, int Status, const Object &Reply) {
  Response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(Status));
  Response.setContentType("application/json");
  const std::string Text = internal::stringify(Reply);
  Response.setContentLength(static_cast<std::streamsize>(Text.size()));
  Response.send() << Text << std::flush;
}

void closeConnection(HTTPServerRequest &Request, HTTPServerResponse &Response) {
  Response.setKeepAlive(false);
  auto &RequestImpl = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
  try {
    RequestImpl.socket().shutdown();
  } catch (const Poco::Exception &) {
    // The peer has already closed the connection.
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

bool consumeOne(int &Count) {
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

bool StoreHandler::isOverRateLimit() {
  const int Limit = this->Store.Faults.CallsPerSecond;
  if (Limit == 0)
    return false;
  const TimePoint Now = this->Store.Time.now();
  const std::chrono::duration<double> Elapsed =
      Now - this->Store.RateRefilledAt;
  this->Store.RateRefilledAt = Now;
  this->Store.RateTokens =
      std::min<double>(Limit, this->Store.RateTokens + Elapsed.count() * Limit);
  if (this->Store.RateTokens < 1)
    return true;
  this->Store.RateTokens -= 1;
  return false;
}

void StoreHandler::waitWhile(Lock &Guard,
                             const std::function<bool()> &Condition) {
  this->Store.Changed.wait(
      Guard, [&] { return this->Store.Stopping || !Condition(); });
}

void StoreHandler::handleRequest(HTTPServerRequest &Request,
                                 HTTPServerResponse &Response) {
  try {
    const auto Found = callPaths().find(Request.getURI());
    if (Found == callPaths().end())
      this->serveControl(Request, Response);
    else
      this->serveCall(Found->second, Request, Response);
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
  Lock Guard(S.Mutex);
  S.Connections.insert(Peer);
  ++S.CallCounts[static_cast<std::size_t>(Kind)];
  if (this->isSilent(Peer)) {
    this->waitWhile(Guard, [&] { return this->isSilent(Peer); });
    Guard.unlock();
    return closeConnection(Request, Response);
  }
  const bool RateLimited = this->isOverRateLimit();
  if (S.Faults.Refuse || RateLimited || !Body) {
    Guard.unlock();
    return sendJson(Response, RateLimited ? TooManyRequests : Unavailable,
                    Object());
  }
  if (Kind == StoreCall::Watch) {
    Guard.unlock();
    return this->serveWatch(**Body, Request, Response);
  }
  if (isWrite(Kind) && consumeOne(S.Faults.LoseRequests)) {
    Guard.unlock();
    return closeConnection(Request, Response);
  }
  if (isWrite(Kind) && consumeOne(S.Faults.LateWrites))
    S.Changed.wait_for(Guard, std::chrono::milliseconds(S.Faults.LateMs),
                       [&] { return S.Stopping; });
  S.advance(S.Time.now());
  Object Reply;
  const int Status = this->perform(Kind, **Body, Reply);
  S.Changed.notify_all();
  const bool LoseReply = isWrite(Kind) && consumeOne(S.Faults.LoseReplies);
  if (!LoseReply && S.Faults.LagMs > 0)
    S.Changed.wait_for(Guard, std::chrono::milliseconds(S.Faults.LagMs),
                       [&] { return S.Stopping; });
  this->waitWhile(Guard, [&] { return S.Faults.Stall; });
  Guard.unlock();
  if (LoseReply)
    return closeConnection(Request, Response);
  sendJson(Response, Status, Reply);
}

int StoreHandler::perform(StoreCall Kind, const Object &Body, Object &Reply) {
  StoreData &Data = this->Store.Data;
  const bool Stale = this->Store.Faults.Stale;
  if (Kind == StoreCall::Range) {
    const StoreRange Found = Data.range(decodedField(Body, "key"),
                                        decodedField(Body, "range_end"), Stale);
    setHeader(Reply, Found.ReadRevision);
    setEntries(Reply, Found, Body.optValue("keys_only", false));
    return Ok;
  }
  if (Kind == StoreCall::Put) {
    const StoreOperation Operation =
        putKey(decodedField(Body, "key"), decodedField(Body, "value"),
               int64Field(Body, "lease"));
    if (Operation.Lease != 0 && !Data.hasLease(Operation.Lease))
      return NotFound;
    setHeader(Reply, Data.put(Operation));
    return Ok;
  }
  if (Kind != StoreCall::Transaction)
    return this->performLease(Kind, Body, Reply);
  StoreTransaction Transaction;
  Transaction.Conditions =
      parseList<StoreCompare>(Body, "compare", parseCompare);
  Transaction.Then = parseList<StoreOperation>(Body, "success", parseOperation);
  Transaction.Else = parseList<StoreOperation>(Body, "failure", parseOperation);
  for (const StoreOperation &Operation : Transaction.Then)
    if (Operation.Lease != 0 && !Data.hasLease(Operation.Lease))
      return NotFound;
  const TransactionOutcome Outcome = Data.commit(Transaction, Stale);
  setHeader(Reply, Outcome.CommitRevision);
  if (Outcome.Succeeded)
    Reply.set("succeeded", true);
  Array::Ptr Responses = new Array;
  for (const StoreRange &Read : Outcome.Reads) {
    Object::Ptr Range = new Object;
    setEntries(*Range, Read, false);
    Object::Ptr Response = new Object;
    Response->set("response_range", Range);
    Responses->add(Response);
  }
  Reply.set("responses", Responses);
  return Ok;
}

int StoreHandler::performLease(StoreCall Kind, const Object &Body,
                               Object &Reply) {
  StoreData &Data = this->Store.Data;
  const TimePoint Now = this->Store.Time.now();
  if (Kind == StoreCall::LeaseGrant) {
    const std::chrono::seconds Ttl(int64Field(Body, "TTL"));
    const LeaseId Granted = Data.grant(Ttl, int64Field(Body, "ID"), Now);
    if (Granted == 0)
      return BadRequest;
    Reply.set("ID", std::to_string(Granted));
    Reply.set("TTL", std::to_string(Ttl.count()));
    return Ok;
  }
  const LeaseId Lease = int64Field(Body, "ID");
  if (Kind == StoreCall::LeaseRevoke)
    return Data.revoke(Lease) ? Ok : NotFound;
  Object::Ptr Result = new Object;
  Result->set("ID", std::to_string(Lease));
  const std::chrono::seconds Remaining = Data.keepAlive(Lease, Now);
  if (Remaining.count() > 0)
    Result->set("TTL", std::to_string(Remaining.count()));
  Reply.set("result", Result);
  return Ok;
}

void StoreHandler::serveWatch(const Object &Body, HTTPServerRequest &Request,
                              HTTPServerResponse &Response) {
  const Object::Ptr CreateRequest = Body.getObject("create_request");
  const std::string Key = decodedField(*CreateRequest, "key");
  std::string End = decodedField(*CreateRequest, "range_end");
  if (End.empty())
    End = Key + '\0';
  const std::string Peer = Request.clientAddress().toString();
  StoreStandIn &S = this->Store;
  Lock Guard(S.Mutex);
  Revision StartRevision = int64Field(*CreateRequest, "start_revision");
  if (StartRevision == 0)
    StartRevision = S.Data.revision() + 1;
  std::size_t NextChange = 0;
  ++S.WaitingWatches;
  Guard.unlock();
  Response.setChunkedTransferEncoding(true);
  Response.setContentType("application/json");
  std::ostream &Out = Response.send();
  Out << "{\"result\":{\"created\":true}}\n" << std::flush;
  auto &RequestImpl = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
  Guard.lock();
  while (!S.Stopping && Out.good()) {
    S.Changed.wait_for(Guard, WatchPollInterval);
    S.advance(S.Time.now());
    if (this->isSilent(Peer))
      continue;
    std::vector<StoreChange> Batch;
    for (; NextChange < S.Data.changes().size(); ++NextChange) {
      const StoreChange &Change = S.Data.changes()[NextChange];
      if (Change.Entry.ModRevision < StartRevision || Change.Entry.Key < Key ||
          Change.Entry.Key >= End || consumeOne(S.Faults.WatchDrop))
        continue;
      Batch.push_back(Change);
    }
    if (S.Faults.WatchReorder)
      std::reverse(Batch.begin(), Batch.end());
    if (!Batch.empty() && S.Faults.WatchDelayMs > 0)
      S.Changed.wait_for(Guard,
                         std::chrono::milliseconds(S.Faults.WatchDelayMs),
                         [&] { return S.Stopping; });
    const Revision Current = S.Data.revision();
    Guard.unlock();
    if (!Batch.empty()) {
      Array::Ptr Events = new Array;
      for (const StoreChange &Change : Batch)
        Events->add(changeJson(Change));
      Object::Ptr Result = new Object;
      setHeader(*Result, Current);
      Result->set("events", Events);
      Object Line;
      Line.set("result", Result);
      Out << internal::stringify(Line) << '\n' << std::flush;
    }
    const bool Disconnected = RequestImpl.socket().poll(
        Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    Guard.lock();
    if (Disconnected)
      break;
  }
  --S.WaitingWatches;
  Response.setKeepAlive(false);
}

void StoreHandler::serveControl(HTTPServerRequest &Request,
                                HTTPServerResponse &Response) {
  const std::string &Path = Request.getURI();
  Object Reply;
  if (Path == "/standin/counts") {
    for (const auto &[Kind, Name] : StoreCallNames)
      Reply.set(std::string(Name), this->Store.calls(Kind));
    Reply.set("waiting-watches", this->Store.watches());
    return sendJson(Response, Ok, Reply);
  }
  std::string Text;
  Poco::StreamCopier::copyToString(Request.stream(), Text);
  const auto Body = internal::parseMessage(Text);
  if (!Body)
    return sendJson(Response, NotFound, Reply);
  if (Path == "/standin/vms") {
    this->Store.setVm((*Body)->getValue<std::string>("name"),
                      (*Body)->optValue("state", std::string()));
    return sendJson(Response, Ok, Reply);
  }
  if (Path != "/standin/faults")
    return sendJson(Response, NotFound, Reply);
  sendJson(Response, Ok, Reply);
  this->Store.changeFaults(
      [&](StoreFaults &Faults) { readFaults(**Body, Faults); });
}

} // namespace parsleywing::standin
