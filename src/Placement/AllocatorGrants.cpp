#include "Placement/Allocator.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Requests of one account that are looked at for a server with room: the first
/// may be meant for a server that is full.
constexpr int LookAhead = 6;

/// How long the server that a waiting request is meant for is not looked for
/// anew. Placing costs some microseconds a server, and every end of a request
/// makes the queue be looked through.
constexpr Duration PlacementLife = std::chrono::milliseconds(40);

/// Requests that an engine runs at once are stated as its slots; the last few
/// are left for what other allocators or routers without one send.
constexpr double SlotPart = 0.92;

/// A refused caller is told to come back when what waits now is likely to be
/// served, within these bounds.
constexpr std::uint32_t LeastReturnMs = 250;
constexpr std::uint32_t MostReturnMs = 1000;

/// A generated token counts as two read ones in what an account has had: so
/// the operators count their capacity.
constexpr double OutputWeight = 2;

/// An account that is this far behind another that waits too, in seconds of one
/// engine's reading, is no longer held back for a server that keeps its
/// prompts: requests about few prompts would get no more than the few engines
/// that keep them, while others are served by all.
constexpr double BehindSeconds = 8;

double costOf(const ServerAsk &Ask) {
  return Ask.PromptTokens + OutputWeight * Ask.OutputTokens;
}

/// The life of a grant to a server that warms up, from the moment at which its
/// router first asked here. That was before the ask arrived, so the grant ends
/// in time without a common clock.
std::uint32_t sendWithin(Duration SinceArrival) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceArrival +
                                                            WarmUpGrantLife)
          .count());
}

/// The part of a prompt's shared tokens that an engine has to read after all.
constexpr double SharedReadPart = 0.1;

/// What the request is for an engine, in tokens. Shared parts are kept there or
/// fetched as a rule.
double workOf(const ServerAsk &Ask) {
  double Shared = 0;
  for (std::size_t I = 0; I + 1 < Ask.Parts.size(); ++I)
    Shared += Ask.Parts[I].Tokens;
  const double Read = Ask.PromptTokens - (1 - SharedReadPart) * Shared;
  return std::max(Read, 0.0) + OutputWeight * Ask.OutputTokens;
}

} // namespace

double Allocator::orderOf(const WaitingAsk &Asked) const {
  return this->Choices.SmallestFirst ? workOf(Asked.Ask)
                                     : static_cast<double>(Asked.Number);
}

bool Allocator::anyRoom(std::uint64_t Service, TimePoint Now) const {
  return this->Servers.any(Service, Now, [this](std::uint64_t Server) {
    return this->hasRoom(Server, 0);
  });
}

bool Allocator::hasSlot(std::uint64_t Server) const {
  const GatewayServer *Listed = this->Servers.find(Server);
  if (Listed == nullptr)
    return false;
  const double Slots = Listed->Slots * SlotPart;
  return this->Servers.running(Server) + 1 <= std::max(Slots, 1.0);
}

ServerRoom Allocator::roomOf(std::uint64_t Service, TimePoint Now) const {
  ServerRoom Room;
  for (const auto &[Server, Group] : this->ServiceOf) {
    if (Group != Service)
      continue;
    if (!this->Servers.usableIfGranted(Server, Now))
      ++Room.Unsound;
    else if (!this->Servers.usable(Server, Now))
      ++Room.WarmingUp;
    else if (!this->hasSlot(Server))
      ++Room.SlotsTaken;
    else if (!this->hasRoom(Server, 0))
      ++Room.PromptsWait;
    else
      ++Room.Free;
  }
  return Room;
}

bool Allocator::hasRoom(std::uint64_t Server, std::uint32_t Unread) const {
  const auto Service = this->ServiceOf.find(Server);
  if (Service == this->ServiceOf.end() || !this->hasSlot(Server))
    return false;
  const std::uint64_t Ahead = this->Servers.unread(Server);
  return Ahead == 0 ||
         Ahead + Unread / 2 <= this->limitsOf(Service->second).RoomTokens;
}

void Allocator::dispatch(TimePoint Now) {
  for (const bool Late : {false, true})
    for (const auto &[Service, Count] : std::map(this->WaitingFor))
      while (this->anyRoom(Service, Now) && this->grantOne(Service, Now, Late))
        continue;
}

/// Grants to the account that has had least, of those for which there is a
/// server with room.
bool Allocator::grantOne(std::uint64_t Service, TimePoint Now, bool Late) {
  std::vector<std::pair<double, AccountKey>> Order;
  const auto First = this->Accounts.lower_bound({Service, 0});
  for (auto Each = First;
       Each != this->Accounts.end() && Each->first.first == Service; ++Each)
    if (!Each->second.Queue.empty())
      Order.emplace_back(Each->second.Position, Each->first);
  std::sort(Order.begin(), Order.end());
  for (const auto &[Position, Key] : Order) {
    const bool Behind = this->isBehind(Key, Order.back().first);
    int Looked = 0;
    for (const auto &[Work, Id] : this->Accounts.at(Key).Queue) {
      WaitingAsk &Asked = this->Waiting.at(Id);
      if (Asked.Late != Late)
        continue;
      if (++Looked > LookAhead)
        break;
      // Placed a moment ago, and the server that it is meant for is still full.
      const bool Known = Asked.MeantTokens > 0 && !Behind &&
                         Now - Asked.MeantAt < PlacementLife &&
                         !this->hasRoom(Asked.Meant, Asked.MeantTokens);
      if (Known)
        continue;
      if (this->tryGrant(Asked, Now, false) ||
          (Behind && this->tryGrant(Asked, Now, true)))
        return true;
    }
  }
  return false;
}

bool Allocator::isBehind(const AccountKey &Key, double MostPosition) const {
  const double PerSecond = this->limitsOf(Key.first).ReadPerMs * 1000;
  return this->Choices.BehindTakesAny &&
         MostPosition - this->Accounts.at(Key).Position >
             PerSecond * BehindSeconds;
}

bool Allocator::tryGrant(WaitingAsk &Asked, TimePoint Now, bool AnyServer) {
  // Its own tokens must not speak against the server that it is meant for.
  this->meanFor(Asked, 0, 0);
  PlacementQuestion Question;
  Question.Service = Asked.Ask.Service;
  Question.Zone = Asked.Ask.Zone;
  Question.Parts = &Asked.Ask.Parts;
  Question.PromptTokens = Asked.Ask.PromptTokens;
  Question.OutputTokens = Asked.Ask.OutputTokens;
  const AllocationLimits Limit = this->limitsOf(Asked.Ask.Service);
  Question.ReadPerSecond = Limit.ReadPerMs * 1000;
  Question.Fetch = Limit.Fetch;
  Question.Weights = this->Choices.Weights;
  Question.Excluded = &Asked.Excluded;
  Question.Now = Now;
  Question.SpreadBy = Asked.Ask.SpreadBy;
  if (AnyServer || Question.SpreadBy)
    Question.HasRoom = [this](std::uint64_t Server, std::uint32_t Unread) {
      return this->hasRoom(Server, Unread);
    };
  const auto Choice = this->Servers.place(Question);
  if (!Choice)
    return false;
  if (!this->hasRoom(Choice->Server, Choice->UnreadTokens)) {
    this->meanFor(Asked, Choice->Server, Choice->UnreadTokens);
    Asked.MeantAt = Now;
    return false;
  }
  this->grant(Asked, *Choice, Now);
  return true;
}

void Allocator::grant(const WaitingAsk &Asked, const ServerChoice &Choice,
                      TimePoint Now) {
  const ServerAsk &Ask = Asked.Ask;
  const SendWork Work{Choice.UnreadTokens, Ask.OutputTokens,
                      this->Servers.startOf(Choice.Server)};
  std::uint32_t SendWithinMs = 0;
  if (this->Servers.isWarmingUp(Choice.Server, Now))
    SendWithinMs = sendWithin(Now - Asked.Arrived);
  this->Servers.noteSent(Choice.Server, Work, Ask.Parts, Now);
  this->Open[Ask.Id] = {Choice.Server, Choice.Source, Work,
                        Now,           Ask.Parts,     SendWithinMs};
  AccountState &Account = this->Accounts[{Ask.Service, Ask.Account}];
  Account.Position += costOf(Ask);
  Account.vain(Asked.CameLate).noteServed(this->orderOf(Asked));
  this->Answers.emplace_back(
      ServerGranted{Ask.Id, Choice.Server, Choice.UnreadTokens, Choice.Backlog,
                    Work.ServerStartedMs, Choice.Source, SendWithinMs});
  this->removeWaiting(AskId(Ask.Id));
}

void Allocator::refuse(const ServerAsk &Ask) {
  double Queued = 0;
  for (const auto &[Id, Each] : this->Waiting)
    if (Each.Ask.Service == Ask.Service)
      Queued += Each.MeantTokens;
  const std::uint32_t Engines =
      std::max(this->Servers.countOf(Ask.Service), 1U);
  const double Drain = Queued / Engines / this->limitsOf(Ask.Service).ReadPerMs;
  const auto After = static_cast<std::uint32_t>(
      std::clamp<double>(Drain, LeastReturnMs, MostReturnMs));
  this->Answers.emplace_back(ServerRefused{Ask.Id, After, Ask.Service});
}

void Allocator::meanFor(WaitingAsk &Asked, std::uint64_t Server,
                        std::uint32_t Tokens) {
  if (Asked.MeantTokens > 0)
    this->Servers.addQueued(Asked.Meant,
                            -static_cast<std::int64_t>(Asked.MeantTokens));
  Asked.Meant = Server;
  Asked.MeantTokens = Tokens;
  if (Tokens > 0)
    this->Servers.addQueued(Server, Tokens);
}

} // namespace parsleywing
