#include "Store.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <cstdlib>
#include <iterator>
#include <sstream>

namespace review {

namespace {

using Query = std::map<std::string, std::string>;

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Gone = 410;
constexpr std::chrono::seconds HistoryLength{20};

std::string valueOf(const Query &Parameters, const std::string &Name) {
  const auto Found = Parameters.find(Name);
  return Found == Parameters.end() ? std::string() : Found->second;
}

std::int64_t numberOf(const std::string &Text) {
  return std::strtoll(Text.c_str(), nullptr, 10);
}

std::string toBase64(const std::string &Bytes) {
  std::ostringstream Text;
  Poco::Base64Encoder Encoder(Text);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Bytes;
  Encoder.close();
  return Text.str();
}

std::string fromBase64(const std::string &Text) {
  std::istringstream In(Text);
  Poco::Base64Decoder Decoder(In);
  return {std::istreambuf_iterator<char>(Decoder), {}};
}

std::string json(int Status, const std::string &Body) {
  return response(Status, "Content-Type: application/json\r\n", Body);
}

} // namespace

Store::Store(const std::string &Address, int Port)
    : Listener(Address, Port, [this](Connection &Peer) { this->serve(Peer); }) {
}

void Store::serve(Connection &Peer) {
  for (Message Request; Peer.receive(Request);)
    if (!Peer.send(this->answer(Request)))
      return;
}

std::string Store::answer(const Message &Request) {
  const std::string Target = Request.target();
  const std::string Path = Target.substr(0, Target.find('?'));
  const Query Parameters = queryOf(Target);
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const bool Stale = valueOf(Parameters, "allowStale") == "1";
    ++this->Calls[Path.substr(0, Path.rfind('/') == 0 ? Path.size()
                                                      : std::string::npos) +
                  (Stale ? " stale" : "")];
    this->expireLeases();
  }
  if (Path == "/parsleywing/kv-key")
    return this->readKey(Parameters);
  if (Path == "/parsleywing/kv-range")
    return this->readRange(Parameters);
  if (Path == "/parsleywing/kv-watch")
    return this->watch(Parameters);
  if (Path == "/parsleywing/kv-txn")
    return this->commit(Request.Body);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (Path == "/parsleywing/kv-lease") {
    const auto Body = Poco::JSON::Parser()
                          .parse(Request.Body)
                          .extract<Poco::JSON::Object::Ptr>();
    const std::chrono::milliseconds Ttl(Body->getValue<std::int64_t>("ttlMs"));
    this->Leases[++this->LastLease] = {Ttl, Clock::now() + Ttl};
    return json(Ok, "{\"lease\":" + std::to_string(this->LastLease) +
                        ",\"ttlMs\":" + std::to_string(Ttl.count()) + "}");
  }
  const auto Found =
      this->Leases.find(numberOf(Path.substr(Path.rfind('/') + 1)));
  if (Found == this->Leases.end())
    return json(NotFound, "{}");
  if (Path.starts_with("/parsleywing/kv-keep/")) {
    Found->second.EndsAt = Clock::now() + Found->second.Ttl;
    return json(Ok, "{\"ttlMs\":" + std::to_string(Found->second.Ttl.count()) +
                        "}");
  }
  Found->second.EndsAt = Clock::time_point::min();
  this->expireLeases();
  return json(Ok, "{}");
}

std::string Store::textOf(const std::string &Key, const Item &Known) {
  return "{\"key\":\"" + Key + "\",\"value\":\"" + toBase64(Known.Value) +
         "\",\"revision\":" + std::to_string(Known.Revision) +
         ",\"createdRev\":" + std::to_string(Known.Created) +
         ",\"lease\":" + std::to_string(Known.Lease);
}

Store::Items Store::itemsBehind(std::chrono::milliseconds Lag,
                                std::int64_t &AtRevision) {
  Items Then = this->Current;
  AtRevision = this->Revision;
  const auto Moment = Clock::now() - Lag;
  std::set<std::string> Later;
  for (auto Each = this->History.rbegin();
       Each != this->History.rend() && Each->At > Moment; ++Each) {
    Later.insert(Each->Key);
    AtRevision = Each->Revision - 1;
  }
  for (const std::string &Key : Later)
    Then.erase(Key);
  for (const Change &Each : this->History) {
    if (Each.At > Moment)
      break;
    if (!Later.contains(Each.Key))
      continue;
    if (Each.Written != nullptr)
      Then[Each.Key] = Each.Written;
    else
      Then.erase(Each.Key);
  }
  return Then;
}

std::string Store::readKey(const Query &Parameters) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const bool Stale = valueOf(Parameters, "allowStale") == "1";
  std::int64_t AtRevision = 0;
  const Items Read = this->itemsBehind(
      std::chrono::milliseconds(Stale ? this->FirstPageLagMs.load() : 0),
      AtRevision);
  const std::string Key = valueOf(Parameters, "key");
  const auto Found = Read.find(Key);
  if (Found == Read.end())
    return json(NotFound, "{}");
  return json(Ok, textOf(Key, *Found->second) +
                      ",\"storeRevision\":" + std::to_string(AtRevision) + "}");
}

std::string Store::readRange(const Query &Parameters) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const std::string Prefix = valueOf(Parameters, "prefix");
  const std::string After = valueOf(Parameters, "after");
  const bool Stale = valueOf(Parameters, "allowStale") == "1";
  int LagMs = 0;
  if (Stale)
    LagMs = After.empty() ? this->FirstPageLagMs : this->FurtherPagesLagMs;
  std::int64_t AtRevision = 0;
  const Items Read =
      this->itemsBehind(std::chrono::milliseconds(LagMs), AtRevision);
  std::string Body = "{\"items\":[";
  std::size_t Count = 0;
  bool More = false;
  for (auto Each = Read.lower_bound(Prefix);
       Each != Read.end() && Each->first.starts_with(Prefix); ++Each) {
    if (!After.empty() && Each->first <= After)
      continue;
    More = Count == MaxPageItems;
    if (More)
      break;
    Body +=
        (Count++ == 0 ? "" : ",") + textOf(Each->first, *Each->second) + "}";
  }
  return json(Ok, Body + "],\"morePages\":" + (More ? "true" : "false") +
                      ",\"storeRevision\":" + std::to_string(AtRevision) + "}");
}

std::string Store::watch(const Query &Parameters) {
  const std::string Prefix = valueOf(Parameters, "prefix");
  const std::int64_t After = numberOf(valueOf(Parameters, "after"));
  const auto Deadline =
      Clock::now() +
      std::chrono::milliseconds(numberOf(valueOf(Parameters, "waitMs")));
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (true) {
    if (After < this->OldestKnown)
      return json(Gone, "{}");
    std::string Events;
    for (const Change &Each : this->History) {
      if (Each.Revision <= After || !Each.Key.starts_with(Prefix))
        continue;
      Events += Events.empty() ? "" : ",";
      if (Each.Written != nullptr)
        Events += textOf(Each.Key, *Each.Written) + "}";
      else
        Events += "{\"key\":\"" + Each.Key +
                  "\",\"revision\":" + std::to_string(Each.Revision) +
                  ",\"deleted\":true}";
    }
    if (!Events.empty() || Clock::now() >= Deadline)
      return json(Ok, "{\"events\":[" + Events + "],\"storeRevision\":" +
                          std::to_string(this->Revision) + "}");
    this->Changed.wait_until(Lock, Deadline);
  }
}

std::string Store::commit(const std::string &Body) {
  const auto Wanted =
      Poco::JSON::Parser().parse(Body).extract<Poco::JSON::Object::Ptr>();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Writes = Wanted->getArray("writes");
  for (unsigned I = 0; Writes && I < Writes->size(); ++I) {
    const auto Each = Writes->getObject(I);
    const auto LeaseId = Each->optValue<std::int64_t>("lease", 0);
    if (LeaseId != 0 && !this->Leases.contains(LeaseId))
      return json(NotFound, "{}");
    this->write(Each->getValue<std::string>("key"),
                fromBase64(Each->getValue<std::string>("value")), LeaseId);
  }
  const auto Removed = Wanted->getArray("remove");
  for (unsigned I = 0; Removed && I < Removed->size(); ++I)
    this->erase(Removed->getElement<std::string>(I));
  return json(Ok, "{\"revision\":" + std::to_string(this->Revision) + "}");
}

std::int64_t Store::write(const std::string &Key, const std::string &Value,
                          std::int64_t LeaseId) {
  const auto Found = this->Current.find(Key);
  auto New = std::make_shared<Item>();
  New->Value = Value;
  New->Revision = ++this->Revision;
  New->Created =
      Found == this->Current.end() ? New->Revision : Found->second->Created;
  New->Lease = LeaseId;
  this->Current[Key] = New;
  this->History.push_back({Key, New, New->Revision, Clock::now()});
  while (this->History.front().At < Clock::now() - HistoryLength) {
    this->OldestKnown = this->History.front().Revision;
    this->History.pop_front();
  }
  this->Changed.notify_all();
  return New->Revision;
}

std::int64_t Store::erase(const std::string &Key) {
  if (this->Current.erase(Key) == 0)
    return this->Revision;
  this->History.push_back({Key, nullptr, ++this->Revision, Clock::now()});
  this->Changed.notify_all();
  return this->Revision;
}

void Store::expireLeases() {
  std::vector<std::string> Ended;
  std::erase_if(this->Leases, [&](const auto &Each) {
    if (Each.second.EndsAt > Clock::now())
      return false;
    for (const auto &[Key, Known] : this->Current)
      if (Known->Lease == Each.first)
        Ended.push_back(Key);
    return true;
  });
  for (const std::string &Key : Ended)
    this->erase(Key);
}

std::int64_t Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->write(Key, Value, 0);
}

std::int64_t Store::remove(const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->erase(Key);
}

std::map<std::string, int> Store::calls() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Calls;
}

} // namespace review
