// The outside world of a small deployment, for the cases of this review: the
// platform's store, runners of one plain service, clients, and a platform that
// starts, kills and restarts router processes. Follows the users' PROTOCOL.md.
// Usage: World CASE ROUTER-PROGRAM RECORD-FILE TEMPORARY-FOLDER
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out.
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int CannotRun = 2;

/// Seconds since the start of the run.
class Record {
public:
  void open(const std::string &Path) { this->Out.open(Path); }
  double now() const {
    return std::chrono::duration<double>(Clock::now() - this->Start).count();
  }
  void write(const std::string &Text) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    std::array<char, 32> Time{};
    std::snprintf(Time.data(), Time.size(), "%8.3f ", this->now());
    this->Out << Time.data() << Text << std::endl;
  }

private:
  Clock::time_point Start = Clock::now();
  std::mutex Mutex;
  std::ofstream Out;
};

Record TheRecord;

/// Threads that end with the process.
void inBackground(std::function<void()> Body) {
  std::thread(std::move(Body)).detach();
}

std::string base64(std::string_view Text) {
  constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "abcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    std::uint32_t Bits = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Bits =
          Bits << 8U |
          (I + J < Text.size() ? static_cast<unsigned char>(Text[I + J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out += I + J > Text.size() ? '=' : Digits[Bits >> (18U - 6U * J) & 63U];
  }
  return Out;
}

// Sockets ------------------------------------------------------------------

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// Listens at a free port if `Port` is 0. Returns the socket, or -1.
int listenAt(const std::string &Ip, int &Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Yes = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      listen(Socket, 128) != 0) {
    close(Socket);
    return -1;
  }
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  return Socket;
}

int connectTo(const std::string &Ip, int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = addressOf(Ip, Port);
  const int Yes = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof(Yes));
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

bool sendAll(int Socket, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count =
        send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

// HTTP/1.1 -----------------------------------------------------------------

struct Message {
  /// The first line, split at spaces.
  std::vector<std::string> First;
  /// Names in lower case.
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    const auto Found = this->Fields.find(Name);
    return Found == this->Fields.end() ? std::string() : Found->second;
  }
};

/// Reads messages with a Content-Length, or none, from one channel.
class Channel {
public:
  explicit Channel(int S) : Socket(S) {}
  ~Channel() { close(this->Socket); }
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  bool read(Message &Into) {
    std::size_t End = 0;
    while ((End = this->Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!this->more())
        return false;
    std::istringstream Head(this->Buffer.substr(0, End + 2));
    this->Buffer.erase(0, End + 4);
    Into = {};
    std::string Line;
    std::getline(Head, Line);
    std::istringstream Words(Line);
    for (std::string Word; Words >> Word;)
      Into.First.push_back(Word);
    while (std::getline(Head, Line)) {
      const std::size_t Colon = Line.find(':');
      std::string Name = Line.substr(0, Colon);
      for (char &Each : Name)
        Each = static_cast<char>(std::tolower(Each));
      std::string Value = Line.substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(' '));
      Value.erase(Value.find_last_not_of(" \r") + 1);
      Into.Fields[Name] = Value;
    }
    const std::string Length = Into.field("content-length");
    const std::size_t Bytes =
        Length.empty() ? 0 : std::strtoul(Length.c_str(), nullptr, 10);
    while (this->Buffer.size() < Bytes)
      if (!this->more())
        return false;
    Into.Body = this->Buffer.substr(0, Bytes);
    this->Buffer.erase(0, Bytes);
    return true;
  }
  bool write(std::string_view Bytes) { return sendAll(this->Socket, Bytes); }
  int socketNumber() const { return this->Socket; }

private:
  bool more() {
    std::array<char, 16384> Bytes{};
    const ssize_t Count = recv(this->Socket, Bytes.data(), Bytes.size(), 0);
    if (Count <= 0)
      return false;
    this->Buffer.append(Bytes.data(), static_cast<std::size_t>(Count));
    return true;
  }

  int Socket;
  std::string Buffer;
};

using Handler = std::function<void(Channel &)>;

void serve(int Listener, const Handler &ServeChannel) {
  inBackground([Listener, ServeChannel] {
    while (true) {
      const int Accepted = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      const int Yes = 1;
      setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof(Yes));
      inBackground([Accepted, ServeChannel] {
        Channel Connection(Accepted);
        ServeChannel(Connection);
      });
    }
  });
}

// The platform's store -----------------------------------------------------

/// Linearizable but for reads with `allowStale`, which are answered by one of
/// several copies, each behind by its own time.
class Store {
public:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t CreatedRevision = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    Item New;
    bool Deleted = false;
    Clock::time_point At;
  };
  /// How old a stale read of this prefix and page is.
  using Lag =
      std::function<milliseconds(const std::string &Prefix, bool First)>;

  std::size_t PageItems = 500;
  Lag StaleLag = [](const std::string &, bool) { return milliseconds(100); };

  void start(const std::string &Ip) {
    this->Ip = Ip;
    serve(listenAt(Ip, this->Port), [this](Channel &Connection) {
      Message Request;
      while (Connection.read(Request))
        if (!Connection.write(this->answer(Request)))
          return;
    });
    inBackground([this] {
      while (true) {
        std::this_thread::sleep_for(milliseconds(50));
        this->expireLeases();
      }
    });
  }
  std::string address() const {
    return this->Ip + ":" + std::to_string(this->Port);
  }

  /// Returns the revision, which is the ack.
  std::int64_t put(const std::string &Key, const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->write(Key, base64(Value), 0);
  }
  std::int64_t remove(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->erase(Key);
  }

private:
  using Items = std::map<std::string, Item>;

  std::int64_t write(const std::string &Key, const std::string &Value,
                     std::int64_t Lease) {
    Item &Known = this->Current[Key];
    ++this->Revision;
    if (Known.CreatedRevision == 0)
      Known.CreatedRevision = this->Revision;
    Known.Value = Value;
    Known.Revision = this->Revision;
    Known.Lease = Lease;
    this->History.push_back({Key, Known, false, Clock::now()});
    this->Changed.notify_all();
    return this->Revision;
  }

  std::int64_t erase(const std::string &Key) {
    if (this->Current.erase(Key) == 0)
      return this->Revision;
    Item Gone;
    Gone.Revision = ++this->Revision;
    this->History.push_back({Key, Gone, true, Clock::now()});
    this->Changed.notify_all();
    return this->Revision;
  }

  void expireLeases() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (auto Each = this->Leases.begin(); Each != this->Leases.end();)
      if (Each->second.second > Clock::now())
        ++Each;
      else {
        this->eraseOf(Each->first);
        Each = this->Leases.erase(Each);
      }
  }

  void eraseOf(std::int64_t Lease) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Each] : this->Current)
      if (Each.Lease == Lease)
        Keys.push_back(Key);
    for (const std::string &Key : Keys)
      this->erase(Key);
  }

  /// The items as they were this long ago, and the revision of then.
  std::pair<Items, std::int64_t> before(milliseconds Age) const {
    const Clock::time_point At = Clock::now() - Age;
    std::pair<Items, std::int64_t> Then{{}, FirstRevision};
    for (const Change &Each : this->History) {
      if (Each.At > At)
        break;
      Then.second = Each.New.Revision;
      if (Each.Deleted)
        Then.first.erase(Each.Key);
      else
        Then.first[Each.Key] = Each.New;
    }
    return Then;
  }

  static std::string jsonOf(const std::string &Key, const Item &Each) {
    return "{\"key\":\"" + Key + "\",\"value\":\"" + Each.Value +
           "\",\"revision\":" + std::to_string(Each.Revision) +
           ",\"createdRev\":" + std::to_string(Each.CreatedRevision) +
           ",\"lease\":" + std::to_string(Each.Lease);
  }

  static std::map<std::string, std::string> queryOf(const std::string &Target) {
    std::map<std::string, std::string> Query;
    const std::size_t Mark = Target.find('?');
    if (Mark == std::string::npos)
      return Query;
    std::istringstream Parts(Target.substr(Mark + 1));
    for (std::string Part; std::getline(Parts, Part, '&');) {
      const std::size_t Equals = Part.find('=');
      std::string Value;
      const std::string Coded =
          Equals == std::string::npos ? "" : Part.substr(Equals + 1);
      for (std::size_t I = 0; I < Coded.size(); ++I)
        if (Coded[I] == '%' && I + 2 < Coded.size()) {
          Value += static_cast<char>(
              std::strtol(Coded.substr(I + 1, 2).c_str(), nullptr, 16));
          I += 2;
        } else
          Value += Coded[I];
      Query[Part.substr(0, Equals)] = Value;
    }
    return Query;
  }

  static std::string reply(int Status, const std::string &Body) {
    return "HTTP/1.1 " + std::to_string(Status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  std::string answer(const Message &Request) {
    if (Request.First.size() < 2)
      return reply(400, "{}");
    const std::string &Target = Request.First[1];
    const std::string Path = Target.substr(0, Target.find('?'));
    auto Query = queryOf(Target);
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (Path == "/parsleywing/kv-key")
      return this->readKey(Query);
    if (Path == "/parsleywing/kv-range")
      return this->readRange(Query);
    if (Path == "/parsleywing/kv-watch")
      return this->watch(Query, Lock);
    if (Path == "/parsleywing/kv-txn")
      return this->commit(Request.Body);
    if (Path == "/parsleywing/kv-lease") {
      Poco::JSON::Parser Parser;
      const auto Body =
          Parser.parse(Request.Body).extract<Poco::JSON::Object::Ptr>();
      const auto Ttl = Body->getValue<std::int64_t>("ttlMs");
      const std::int64_t Id = ++this->LastLease;
      this->Leases[Id] = {milliseconds(Ttl), Clock::now() + milliseconds(Ttl)};
      return reply(200, "{\"lease\":" + std::to_string(Id) +
                            ",\"ttlMs\":" + std::to_string(Ttl) + "}");
    }
    const std::int64_t Id =
        std::strtoll(Path.substr(Path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto Lease = this->Leases.find(Id);
    if (Lease == this->Leases.end())
      return reply(404, "{}");
    if (Path.find("/kv-keep/") != std::string::npos) {
      Lease->second.second = Clock::now() + Lease->second.first;
      return reply(200, "{\"ttlMs\":" +
                            std::to_string(Lease->second.first.count()) + "}");
    }
    this->Leases.erase(Lease);
    this->eraseOf(Id);
    return reply(200, "{}");
  }

  std::string readKey(std::map<std::string, std::string> &Query) {
    const bool Stale = Query["allowStale"] == "1";
    const auto Seen = this->before(Stale ? this->StaleLag(Query["key"], true)
                                         : milliseconds(0));
    const auto Found = Seen.first.find(Query["key"]);
    if (Found == Seen.first.end())
      return reply(404, "{}");
    return reply(200, jsonOf(Found->first, Found->second) +
                          ",\"storeRevision\":" + std::to_string(Seen.second) +
                          "}");
  }

  std::string readRange(std::map<std::string, std::string> &Query) {
    const bool Stale = Query["allowStale"] == "1";
    const std::string &Prefix = Query["prefix"];
    const std::string &After = Query["after"];
    const auto Seen = this->before(Stale ? this->StaleLag(Prefix, After.empty())
                                         : milliseconds(0));
    std::string Listed;
    std::size_t Count = 0;
    bool More = false;
    for (const auto &[Key, Each] : Seen.first) {
      if (Key.rfind(Prefix, 0) != 0 || (!After.empty() && Key <= After))
        continue;
      if (Count == this->PageItems) {
        More = true;
        break;
      }
      Listed += (Count++ == 0 ? "" : ",") + jsonOf(Key, Each) + "}";
    }
    TheRecord.write("store: range prefix=" + Prefix + " after=" + After +
                    " stale=" + (Stale ? "yes" : "no") +
                    " items=" + std::to_string(Count) +
                    " storeRevision=" + std::to_string(Seen.second) +
                    " newest=" + std::to_string(this->Revision));
    return reply(200, "{\"items\":[" + Listed +
                          "],\"morePages\":" + (More ? "true" : "false") +
                          ",\"storeRevision\":" + std::to_string(Seen.second) +
                          "}");
  }

  std::string watch(std::map<std::string, std::string> &Query,
                    std::unique_lock<std::mutex> &Lock) {
    const std::int64_t After =
        std::strtoll(Query["after"].c_str(), nullptr, 10);
    const milliseconds Wait(std::strtoll(Query["waitMs"].c_str(), nullptr, 10));
    this->Changed.wait_for(Lock, Wait, [&] { return this->Revision > After; });
    std::string Events;
    for (const Change &Each : this->History)
      if (Each.New.Revision > After && Each.Key.rfind(Query["prefix"], 0) == 0)
        Events +=
            (Events.empty() ? "" : ",") +
            (Each.Deleted
                 ? "{\"key\":\"" + Each.Key + "\",\"revision\":" +
                       std::to_string(Each.New.Revision) + ",\"deleted\":true}"
                 : jsonOf(Each.Key, Each.New) + "}");
    return reply(200, "{\"events\":[" + Events + "],\"storeRevision\":" +
                          std::to_string(this->Revision) + "}");
  }

  std::string commit(const std::string &Text) {
    Poco::JSON::Parser Parser;
    const auto Body = Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
    const auto Writes = Body->getArray("writes");
    for (unsigned I = 0; !Writes.isNull() && I < Writes->size(); ++I) {
      const auto Each = Writes->getObject(I);
      const auto Lease = Each->optValue<std::int64_t>("lease", 0);
      if (Lease != 0 && this->Leases.count(Lease) == 0)
        return reply(404, "{}");
    }
    for (unsigned I = 0; !Writes.isNull() && I < Writes->size(); ++I) {
      const auto Each = Writes->getObject(I);
      this->write(Each->getValue<std::string>("key"),
                  Each->getValue<std::string>("value"),
                  Each->optValue<std::int64_t>("lease", 0));
    }
    return reply(200, "{\"revision\":" + std::to_string(this->Revision) + "}");
  }

  static constexpr std::int64_t FirstRevision = 100;

  std::string Ip;
  int Port = 0;
  std::mutex Mutex;
  std::condition_variable Changed;
  Items Current;
  std::vector<Change> History;
  std::map<std::int64_t, std::pair<milliseconds, Clock::time_point>> Leases;
  std::int64_t Revision = FirstRevision;
  std::int64_t LastLease = 70000;
};

// Runners ------------------------------------------------------------------

/// One run or arrival of a request at a runner.
struct Arrival {
  double At = 0;
  std::string Request;
  std::string Runner;
};

/// A sound runner of a plain service. Works on each request for the time that
/// the request's path ends with, in milliseconds.
class Runner {
public:
  Runner(std::string I, std::string S, std::string Z, std::string A)
      : Id(std::move(I)), Service(std::move(S)), Zone(std::move(Z)),
        Ip(std::move(A)) {
    this->Listener = listenAt(this->Ip, this->Port);
    serve(this->Listener,
          [this](Channel &Connection) { this->serveChannel(Connection); });
  }

  std::string entry(const std::string &State) {
    return R"({"service":")" + this->Service + R"(","address":")" + this->Ip +
           ":" + std::to_string(this->Port) + R"(","zone":")" + this->Zone +
           R"(","version":"v1","slots":6,"state":")" + State +
           R"(","coldLeftMs":0,"seqNo":)" + std::to_string(++this->SeqNo) +
           R"(,"born":1765000000000})";
  }

  /// From now on the runner sends more bytes after this share of its answers,
  /// at the point where the next answer is expected.
  void addBytes(double Share) { this->Spoiled = Share; }

  /// Says from now on, in all answers, that it leaves.
  void leave() { this->Leaving = true; }

  /// The process ends, with all that it has in hand.
  void exit() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Exited = true;
    shutdown(this->Listener, SHUT_RDWR);
    close(this->Listener);
    for (const int Each : this->Open)
      shutdown(Each, SHUT_RDWR);
  }

  std::vector<Arrival> arrivals() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Arrivals;
  }

  const std::string Id;
  const std::string Service;
  const std::string Zone;

private:
  void serveChannel(Channel &Connection) {
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Open.push_back(Connection.socketNumber());
    }
    Message Request;
    std::string Extra;
    while (Connection.read(Request) &&
           this->serveRequest(Connection, Request, Extra))
      continue;
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    std::erase(this->Open, Connection.socketNumber());
  }

  static bool isDrawn(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Share;
  }

  /// Sets `Extra` to the bytes that are to follow this answer late.
  bool send(Channel &Connection, const std::string &Answer,
            std::string &Extra) {
    if (isDrawn(this->Spoiled))
      Extra = BareRefusal;
    return Connection.write(Answer);
  }

  bool serveRequest(Channel &Connection, const Message &Request,
                    std::string &Extra) {
    if (!Extra.empty()) {
      TheRecord.write("runner " + this->Id + ": sends more bytes: " +
                      Extra.substr(0, Extra.find('\r')));
      if (!Connection.write(std::exchange(Extra, {})))
        return false;
    }
    const std::string RequestId = Request.field("request-id");
    const std::string Expected = Request.field("expect-instance");
    const std::string Echo =
        RequestId.empty() ? "" : "Request-Id: " + RequestId + "\r\n";
    if (!Expected.empty() && Expected != this->Id)
      return Connection.write("HTTP/1.1 421 Misdirected Request\r\n" + Echo +
                              "Instance-Id: " + this->Id +
                              "\r\nContent-Length: 0\r\n\r\n");
    const std::string &Path = Request.First.at(1);
    const int WorkMs = std::atoi(Path.substr(Path.rfind('/') + 1).c_str());
    const int Running = ++this->Running;
    if (Running > Slots) {
      --this->Running;
      return this->send(Connection,
                        "HTTP/1.1 503 Service Unavailable\r\n" + Echo +
                            "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                        Extra);
    }
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Arrivals.push_back({TheRecord.now(), RequestId, this->Id});
    }
    TheRecord.write("runner " + this->Id + ": runs request=" + RequestId +
                    (this->Leaving ? " though it leaves" : ""));
    std::this_thread::sleep_for(milliseconds(WorkMs));
    --this->Running;
    const bool Leaves = this->Leaving;
    if (this->Exited)
      return false;
    const std::string Body = "record of " + RequestId;
    return this->send(
               Connection,
               "HTTP/1.1 200 OK\r\n" + Echo + "Response-Seal: seal." +
                   RequestId + "\r\nServer-Load: " + std::to_string(Running) +
                   ",0,6\r\nContent-Length: " + std::to_string(Body.size()) +
                   (Leaves ? "\r\nServer-Leaving: 1\r\nConnection: close"
                           : "\r\nKeep-Alive: timeout=10") +
                   "\r\n\r\n" + Body,
               Extra) &&
           !Leaves;
  }

  static constexpr int Slots = 6;
  /// A refusal as `fleetbench wire` prints it. It states no request.
  static constexpr const char *BareRefusal =
      "HTTP/1.1 503 Service Unavailable\r\n"
      "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  static inline thread_local std::mt19937 Random{std::random_device{}()};

  std::string Ip;
  int Port = 0;
  int Listener = -1;
  std::atomic<double> Spoiled{0};
  std::atomic<int> SeqNo{0};
  std::atomic<int> Running{0};
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Exited{false};
  std::mutex Mutex;
  std::vector<int> Open;
  std::vector<Arrival> Arrivals;
};

// Router processes ---------------------------------------------------------

class Router {
public:
  Router(std::string P, std::string F, std::string N, std::string Z,
         std::string A)
      : Program(std::move(P)), Folder(std::move(F)), Name(std::move(N)),
        Zone(std::move(Z)), Ip(std::move(A)) {}
  ~Router() { this->kill(SIGKILL); }
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  static constexpr int Callers = 0;
  static constexpr int Ready = 1;
  static constexpr int Peers = 2;
  static constexpr int Operators = 3;

  /// Writes the settings as the platform fills in deploy/router.ini.
  void configure(const std::string &StoreAddress, int FirstPort) {
    this->FirstPort = FirstPort;
    const auto At = [this](int Offset) {
      return this->Ip + ":" + std::to_string(this->FirstPort + Offset);
    };
    std::ofstream(this->settingsPath())
        << "[gateway]\nname = " << this->Name << "\nzone = " << this->Zone
        << "\ncallers = " << At(Callers) << "\nready = " << At(Ready)
        << "\ndrain-limit-s = 8\npeers = " << At(Peers)
        << "\ncores = 0.25\ndescriptors = 4100\nmemory-mb = 110\noperators = "
        << At(Operators) << "\n\n[store]\naddress = " << StoreAddress
        << "\n\n[bounds]\nrevocation-ms = 5000\nconfiguration-ms = 2000\n"
           "removal-ms = 2000\nretry-ratio = 0.2\nretry-slack = 52\n"
           "retry-window-s = 10\n\n[services]\nshare-slots = yes\n\n"
           "[placement]\nweigh-cached-prompts = no\nreread-interval-s = 7.1\n"
           "\n[log]\nlevel = info\ntarget = stdout\n";
  }

  void start() {
    TheRecord.write("platform: starts " + this->Name);
    this->Process = fork();
    if (this->Process != 0)
      return;
    // The process ends with this one, however this one ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log =
        open(this->logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    execl(this->Program.c_str(), this->Program.c_str(), "gateway", "--settings",
          this->settingsPath().c_str(), nullptr);
    _exit(127);
  }

  void kill(int Signal) {
    if (this->Process <= 0)
      return;
    TheRecord.write("platform: signal " + std::to_string(Signal) + " to " +
                    this->Name);
    ::kill(this->Process, Signal);
    if (Signal != SIGKILL && Signal != SIGTERM)
      return;
    waitpid(this->Process, nullptr, 0);
    this->Process = -1;
  }

  bool isReady() const {
    const int Socket = connectTo(this->Ip, this->FirstPort + Ready);
    if (Socket < 0)
      return false;
    Channel Connection(Socket);
    Message Answer;
    return Connection.write("GET /parsleywing/ready HTTP/1.1\r\nHost: " +
                            this->Ip + "\r\n\r\n") &&
           Connection.read(Answer) && Answer.First.size() > 1 &&
           Answer.First[1] == "200";
  }

  /// The relay that the router has named last in its log.
  std::string relay() const {
    std::ifstream Log(this->logPath());
    std::string Last;
    for (std::string Line; std::getline(Log, Line);)
      if (const std::size_t At = Line.find(" relay="); At != std::string::npos)
        Last = Line.substr(At + 7, Line.find(' ', At + 7) - At - 7);
    return Last;
  }

  std::string settingsPath() const {
    return this->Folder + "/" + this->Name + ".ini";
  }
  std::string logPath() const {
    return this->Folder + "/" + this->Name + ".txt";
  }
  int callersPort() const { return this->FirstPort + Callers; }

  const std::string Program;
  const std::string Folder;
  const std::string Name;
  const std::string Zone;
  const std::string Ip;

private:
  int FirstPort = 0;
  pid_t Process = -1;
};

// Clients ------------------------------------------------------------------

std::atomic<int> LastRequest{0};

/// Sends one request on a channel that it keeps, and records the answer.
class Client {
public:
  Client(std::string I, int P) : Ip(std::move(I)), Port(P) {}

  /// Returns the status, or 0 if the channel ended without an answer.
  int request(const std::string &Path, std::string &RequestId) {
    if (!this->Kept) {
      const int Socket = connectTo(this->Ip, this->Port);
      if (Socket < 0)
        return 0;
      this->Kept = std::make_unique<Channel>(Socket);
    }
    RequestId = "r" + std::to_string(++LastRequest);
    TheRecord.write("client: sends request=" + RequestId + " POST " + Path +
                    " to " + this->Ip);
    const std::string Body = "{\"batch\":7}";
    Message Answer;
    const bool Answered =
        this->Kept->write(
            "POST " + Path + " HTTP/1.1\r\nHost: hall.example\r\nRequest-Id: " +
            RequestId + "\r\nDeadline-Ms: 2500\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body) &&
        this->Kept->read(Answer) && Answer.First.size() > 1;
    if (!Answered || Answer.field("connection") == "close")
      this->Kept.reset();
    const int Status = Answered ? std::atoi(Answer.First[1].c_str()) : 0;
    TheRecord.write("client: request=" + RequestId + " answered " +
                    std::to_string(Status) +
                    (Answer.field("response-seal").empty() ? "" : " sealed"));
    return Status;
  }

private:
  std::string Ip;
  int Port;
  std::unique_ptr<Channel> Kept;
};

/// The first of four ports that are free at all addresses.
int freePorts(const std::vector<std::string> &Ips) {
  for (int First = 21000; First < 29000; First += 8) {
    bool Free = true;
    for (const std::string &Ip : Ips)
      for (int Offset = 0; Free && Offset < 4; ++Offset) {
        int Port = First + Offset;
        const int Socket = listenAt(Ip, Port);
        Free = Socket >= 0;
        if (Free)
          close(Socket);
      }
    if (Free)
      return First;
  }
  return 0;
}

bool waitFor(const std::function<bool()> &Condition, milliseconds Limit) {
  const Clock::time_point End = Clock::now() + Limit;
  while (!Condition()) {
    if (Clock::now() > End)
      return false;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

void sleepUntil(double Time) {
  while (TheRecord.now() < Time)
    std::this_thread::sleep_for(milliseconds(2));
}

/// The configuration: one unsafe public route to one plain service, and a
/// second service without a route.
constexpr const char *Configuration =
    R"({"version":7,"routes":[{"name":"cert-fetch","hostname":"hall.example",)"
    R"("prefix":"/cert/","kind":"unsafe","timeoutMs":2500,)"
    R"("targetLatencyMs":150,"priority":2,"service":"member-records",)"
    R"("maxAttempts":1,"public":true,"sticky":false,"resumable":false}],)"
    R"("services":[{"name":"member-records","healthPath":"/health",)"
    R"("maxConns":96,"protocol":"h1","tls":false},)"
    R"({"name":"parsley-advisors","healthPath":"/health",)"
    R"("maxConns":360,"protocol":"h1","tls":false}],"limits":)"
    R"({"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]})";

/// The zones of the site, and those of its six routers.
const std::array<std::string, 4> Zones{"arusha-hall-a", "arusha-hall-b",
                                       "moshi-hall", "tanga-hall"};
constexpr std::array<std::size_t, 6> RouterZones{0, 0, 1, 1, 2, 3};

constexpr double DrainBound = 2.0;
constexpr int WaveClients = 5;

/// The site's six routers and sixteen runners, and the store. Lives as long as
/// the process, since threads in the background use it; routers end with it.
class Deployment {
public:
  /// Returns false if it cannot be started.
  bool start(const std::string &Program, const std::string &Folder) {
    this->Platform.start("127.0.7.1");
    this->Platform.put("op/config", Configuration);
    for (std::size_t I = 0; I < AdvisorCount; ++I)
      this->addRunner("i-1" + std::to_string(100 + I), "parsley-advisors",
                      Zones.at(I % Zones.size()), "127.0.7.21");
    for (std::size_t I = 0; I < Zones.size(); ++I)
      this->addRunner("i-8a4" + std::to_string(I), "member-records",
                      Zones.at(I), "127.0.7.22");
    // Longer than the oldest copy of the store is behind.
    std::this_thread::sleep_for(milliseconds(2500));
    std::vector<std::string> Ips;
    Ips.reserve(RouterZones.size());
    for (std::size_t I = 0; I < RouterZones.size(); ++I)
      Ips.push_back("127.0.7." + std::to_string(11 + I));
    const int FirstPort = freePorts(Ips);
    if (FirstPort == 0)
      return false;
    for (std::size_t I = 0; I < Ips.size(); ++I) {
      const std::string &Zone = Zones.at(RouterZones.at(I));
      this->Routers.push_back(std::make_unique<Router>(
          Program, Folder, "front-" + Zone + "-" + std::to_string(I + 1), Zone,
          Ips.at(I)));
      this->Routers.back()->configure(this->Platform.address(), FirstPort);
      this->Routers.back()->start();
    }
    const auto AllReady = [this] {
      return std::all_of(this->Routers.begin(), this->Routers.end(),
                         [](const auto &Each) { return Each->isReady(); });
    };
    if (!waitFor(AllReady, std::chrono::seconds(10)))
      return false;
    std::this_thread::sleep_for(std::chrono::seconds(6));
    return true;
  }

  /// The runners of the service that requests go to, by zone.
  std::vector<Runner *> records() const {
    std::vector<Runner *> Found;
    for (const auto &Each : this->Runners)
      if (Each->Service == "member-records")
        Found.push_back(Each.get());
    return Found;
  }

  Store Platform;
  std::vector<std::unique_ptr<Runner>> Runners;
  std::vector<std::unique_ptr<Router>> Routers;

private:
  static constexpr std::size_t AdvisorCount = 12;

  void addRunner(const std::string &Id, const std::string &Service,
                 const std::string &Zone, const std::string &Ip) {
    this->Runners.push_back(std::make_unique<Runner>(Id, Service, Zone, Ip));
    this->Platform.put("servers/" + Id, this->Runners.back()->entry("ready"));
  }
};

/// DRAIN: the relay's process is killed and starts again while a runner leaves.
/// Returns the exit code.
int runRelayCase(const std::string &Program, const std::string &Folder,
                 bool Trouble) {
  Deployment &Site = *new Deployment;
  Site.Platform.StaleLag = [](const std::string &Prefix, bool) {
    return milliseconds(Prefix.rfind("servers/", 0) == 0 ? 100 : 2000);
  };
  if (!Site.start(Program, Folder))
    return CannotRun;
  const std::string RelayName = Site.Routers[0]->relay();
  std::size_t RelayIndex = 0;
  while (RelayIndex + 1 < Site.Routers.size() &&
         Site.Routers.at(RelayIndex)->Name != RelayName)
    ++RelayIndex;
  Router &Relay = *Site.Routers.at(RelayIndex);
  const Router &Watched = *Site.Routers.at(RelayIndex == 0 ? 1 : 0);
  TheRecord.write("relay=" + Relay.Name + " watched=" + Watched.Name);
  Runner *Leaving = nullptr;
  for (Runner *Each : Site.records())
    if (Each->Zone == Watched.Zone)
      Leaving = Each;
  std::vector<std::unique_ptr<Client>> Clients;
  Clients.reserve(WaveClients);
  for (int I = 0; I < WaveClients; ++I)
    Clients.push_back(
        std::make_unique<Client>(Watched.Ip, Watched.callersPort()));
  std::string Id;
  for (const auto &Each : Clients)
    Each->request("/cert/30", Id);
  std::this_thread::sleep_for(milliseconds(500));
  // The runner announces that it leaves beside the restart.
  if (Trouble)
    Relay.kill(SIGKILL);
  std::this_thread::sleep_for(milliseconds(50));
  const std::int64_t AckRevision =
      Site.Platform.put("servers/" + Leaving->Id, Leaving->entry("draining"));
  const double AckedAt = TheRecord.now();
  Leaving->leave();
  TheRecord.write("store: ack of draining " + Leaving->Id +
                  " revision=" + std::to_string(AckRevision));
  std::this_thread::sleep_for(milliseconds(250));
  if (Trouble)
    Relay.start();
  const double WaveAt = AckedAt + DrainBound + 0.5;
  sleepUntil(WaveAt);
  if (!Watched.isReady())
    return CannotRun;
  std::vector<int> Statuses(WaveClients, -1);
  std::vector<std::string> Ids(WaveClients);
  std::vector<std::thread> Wave;
  for (std::size_t I = 0; I < Clients.size(); ++I)
    Wave.emplace_back(
        [&, I] { Statuses[I] = Clients[I]->request("/cert/400", Ids[I]); });
  // The runner ends some time behind its bound, as it had announced.
  sleepUntil(WaveAt + 0.3);
  TheRecord.write("runner " + Leaving->Id + ": exits");
  Leaving->exit();
  Site.Platform.remove("servers/" + Leaving->Id);
  for (std::thread &Each : Wave)
    Each.join();
  int Late = 0;
  int Lost = 0;
  for (const Arrival &Each : Leaving->arrivals()) {
    if (Each.At <= AckedAt + DrainBound)
      continue;
    ++Late;
    for (std::size_t I = 0; I < Ids.size(); ++I)
      if (Ids[I] == Each.Request && Statuses[I] != 200)
        ++Lost;
  }
  TheRecord.write("result: requests that reached " + Leaving->Id +
                  " later than drainMs after the ack: " + std::to_string(Late) +
                  ", of these lost with its exit: " + std::to_string(Lost));
  std::cout << "late=" << Late << " lost=" << Lost << std::endl;
  return Late > 0 ? 1 : 0;
}

constexpr int SteadyClients = 24;
constexpr int Windows = 4;
constexpr double SpoiledShare = 0.03;

/// TWICE and REFUSED: runners send more bytes after some of their answers.
/// Returns the exit code.
int runMoreBytesCase(const std::string &Program, const std::string &Folder,
                     bool Trouble) {
  Deployment &Site = *new Deployment;
  if (!Site.start(Program, Folder))
    return CannotRun;
  std::atomic<bool> Over{false};
  std::mutex Mutex;
  std::set<std::string> Refused;
  std::vector<std::thread> Clients;
  Clients.reserve(SteadyClients);
  for (int I = 0; I < SteadyClients; ++I)
    Clients.emplace_back([&, I] {
      const Router &To =
          *Site.Routers.at(static_cast<std::size_t>(I) % Site.Routers.size());
      Client Sender(To.Ip, To.callersPort());
      std::this_thread::sleep_for(milliseconds(31 * I));
      std::string Id;
      while (!Over) {
        const int Status = Sender.request("/cert/30", Id);
        if (Status == 503) {
          const std::lock_guard<std::mutex> Lock(Mutex);
          Refused.insert(Id);
        }
        // Together some 18.4 a second, as on the sheet of the site.
        std::this_thread::sleep_for(milliseconds(1270));
      }
    });
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const std::vector<Runner *> Records = Site.records();
  for (int Window = 0; Window < Windows; ++Window) {
    for (Runner *Each : Records)
      Each->addBytes(Trouble ? SpoiledShare : 0);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    for (Runner *Each : Records)
      Each->addBytes(0);
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  Over = true;
  for (std::thread &Each : Clients)
    Each.join();
  std::map<std::string, int> Runs;
  for (Runner *Each : Records)
    for (const Arrival &One : Each->arrivals())
      ++Runs[One.Request];
  int Twice = 0;
  int RefusedAndRun = 0;
  for (const auto &[Request, Count] : Runs) {
    Twice += Count > 1 ? 1 : 0;
    RefusedAndRun += Refused.count(Request) > 0 ? 1 : 0;
    if (Count > 1 || Refused.count(Request) > 0)
      TheRecord.write("result: request=" + Request + " ran " +
                      std::to_string(Count) + " times" +
                      (Refused.count(Request) > 0 ? ", answered 503" : ""));
  }
  TheRecord.write("result: " + std::to_string(Runs.size()) + " ran, " +
                  std::to_string(Twice) + " of them more than once, " +
                  std::to_string(RefusedAndRun) + " were answered 503");
  std::cout << "ran=" << Runs.size() << " twice=" << Twice
            << " refused-and-run=" << RefusedAndRun << std::endl;
  return Twice + RefusedAndRun > 0 ? 1 : 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 5)
    return CannotRun;
  signal(SIGPIPE, SIG_IGN);
  const std::string Case = Arguments[1];
  const std::string Folder = Arguments[4];
  const char *TroubleText = std::getenv("TROUBLE");
  const bool Trouble =
      TroubleText == nullptr || std::string_view(TroubleText) != "0";
  TheRecord.open(Arguments[3]);
  int Result = CannotRun;
  if (Case == "relay")
    Result = runRelayCase(Arguments[2], Folder, Trouble);
  else if (Case == "more-bytes")
    Result = runMoreBytesCase(Arguments[2], Folder, Trouble);
  TheRecord.write("exit code " + std::to_string(Result));
  std::cout.flush();
  _exit(Result);
}
