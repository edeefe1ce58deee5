#include "Overload/HeadroomPeers.h"
#include "Overload/HeadroomTable.h"
#include "Overload/RedirectPolicy.h"
#include "Placement/AdmissionShare.h"

#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <random>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr int Routers = 60;
constexpr int Accounts = 30;
/// The part of a latency objective of 500 ms that the engine leaves: the time
/// from the first attempt until a router has worked off the request.
constexpr Duration Objective = 250ms;
constexpr double Cost = HeadroomTable::RequestSeconds;
constexpr double RefusalCost = 15e-6;

struct Plan {
  /// Accounts at six times their usual load, whose callers all reach router 0.
  int Floods = 1;
  /// Their callers reach all routers instead.
  bool Even = false;
  int Dying = 0;
  Duration ReportAge = 0ms;
};

struct Outcome {
  int Served = 0;
  /// Requests of the other accounts whose first attempt reached router 0.
  int Beside = 0;
  int BesideServed = 0;

  double besidePart() const {
    return double(this->BesideServed) / this->Beside;
  }
};

struct Router {
  double Cores = 1;
  double Backlog = 0;
  double Spare = 0;
  TimePoint DiesAt = TimePoint::max();
  AdmissionShare Shares;
  HeadroomTable Table;
  HeadroomPeers Peers{1};
  std::deque<double> SpareBefore;

  Duration lag() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(this->Backlog / this->Cores));
  }
};

struct Attempt {
  std::uint64_t Account = 0;
  TimePoint FirstAt{};
  int First = 0;
  bool IsRetry = false;
};

/// Routers that work off what they admit, in steps of 1 ms, and callers that
/// retry once at another router.
class Fleet {
public:
  explicit Fleet(const Plan &P) : Given(P), All(Routers) {
    for (int Index = 0; Index < Routers; ++Index) {
      Router &Each = this->All[Index];
      Each.Cores = Index % 5 == 0   ? 0.09
                   : Index % 5 < 3  ? 0.12
                   : Index % 10 < 8 ? 0.25
                                    : 0.5;
      Each.Peers = HeadroomPeers(Index);
      if (Index > 0 && Index <= this->Given.Dying)
        Each.DiesAt = TimePoint{2s + Index * 100ms};
    }
    for (int Index = 0; Index < Routers; ++Index) {
      std::vector<HeadroomPeer> Others;
      for (int Other = 0; Other < Routers; ++Other)
        if (Other != Index)
          Others.push_back({std::to_string(Other), this->All[Other].Cores,
                            Other % 3 == Index % 3});
      this->All[Index].Peers.setPeers(Others);
    }
  }

  Outcome run() {
    for (this->Now = TimePoint{1ms}; this->Now < TimePoint{7s};
         this->Now += 1ms) {
      for (int Index = 0; Index < Routers; ++Index)
        this->work(Index);
      this->arrive();
      for (; !this->Due.empty() && this->Due.begin()->first <= this->Now;
           this->Due.erase(this->Due.begin()))
        this->attempt(this->Due.begin()->second, this->anyRouter());
    }
    return this->Result;
  }

private:
  /// Callers stop to choose a dead router 1 s after its death.
  int anyRouter() {
    std::uniform_int_distribution<int> Index(0, Routers - 1);
    int Chosen = Index(this->Random);
    while (this->All[Chosen].DiesAt < this->Now - 1s)
      Chosen = Index(this->Random);
    return Chosen;
  }

  void work(int Index) {
    Router &Self = this->All[Index];
    const double Worked = std::min(Self.Backlog, Self.Cores * 1e-3);
    Self.Backlog -= Worked;
    Self.Spare += (Self.Cores - Worked * 1e3 - Self.Spare) / 1000;
    Self.SpareBefore.push_back(Self.lag() > 10ms ? 0 : Self.Spare);
    if (Self.SpareBefore.size() > 1001)
      Self.SpareBefore.pop_front();
    const bool AsksNow = (this->Now.time_since_epoch() / 1ms) % 250 == Index;
    if (!AsksNow || Self.lag() <= RedirectPolicy::QueryLag)
      return;
    for (const HeadroomPeer &Each : Self.Peers.choose(6)) {
      const Router &Asked = this->All[std::stoi(Each.Name)];
      Self.Table.recordQuery(Each.Name, ++this->Number, true, this->Now);
      const std::size_t Age = this->Given.ReportAge / 1ms + 1;
      const std::size_t Size = Asked.SpareBefore.size();
      if (Asked.DiesAt > this->Now && Size >= Age)
        Self.Table.recordReport(this->Number, Asked.SpareBefore[Size - Age]);
    }
  }

  void arrive() {
    for (int Account = 0; Account < Accounts; ++Account) {
      const bool Floods = Account<this->Given.Floods &&this->Now> TimePoint{2s};
      std::poisson_distribution<int> Count((Account < 3 ? 0.15 : 0.09) *
                                           (Floods ? 6 : 1));
      for (int Left = Count(this->Random); Left > 0; --Left) {
        const int At = Floods && !this->Given.Even ? 0 : this->anyRouter();
        if (At == 0 && !Floods && this->Now > TimePoint{2s})
          ++this->Result.Beside;
        this->attempt({std::uint64_t(Account), this->Now, At, false}, At);
      }
    }
  }

  void retry(Attempt Next, Duration Delay) {
    if (Next.IsRetry)
      return;
    Next.IsRetry = true;
    this->Due.emplace(this->Now + Delay, Next);
  }

  void attempt(const Attempt &A, int At) {
    Router &Self = this->All[At];
    if (Self.DiesAt < this->Now)
      return this->retry(A, 5ms);
    const Duration Lag = Self.lag();
    const bool CanRedirect = !A.IsRetry && Lag > RedirectPolicy::QueryLag &&
                             Self.Table.hasRoom(this->Now);
    Self.Shares.recordAsked(A.Account, this->Now);
    const bool IsAdmitted = Self.Shares.mayAdmit(
        A.Account, RedirectPolicy::relativeLag(Lag, CanRedirect), this->Now);
    switch (RedirectPolicy::stepFor(IsAdmitted, CanRedirect)) {
    case AdmissionStep::Admit:
      Self.Shares.recordAdmitted(A.Account, this->Now);
      Self.Backlog += Cost;
      return this->serve(A, this->Now + Self.lag(), Self);
    case AdmissionStep::Redirect:
      Self.Table.recordRedirect();
      Self.Backlog += RefusalCost;
      return this->retry(A, RedirectPolicy::RetryAfter + 3ms);
    case AdmissionStep::Refuse:
      Self.Backlog += RefusalCost;
      return this->retry(A, 400ms);
    }
  }

  /// Counts requests of the flood's time.
  void serve(const Attempt &A, TimePoint At, const Router &By) {
    const bool InTime = At - A.FirstAt <= Objective && By.DiesAt > At;
    if (!InTime || A.FirstAt <= TimePoint{2s})
      return;
    ++this->Result.Served;
    if (A.First == 0 && A.Account >= std::uint64_t(this->Given.Floods))
      ++this->Result.BesideServed;
  }

  Plan Given;
  std::vector<Router> All;
  TimePoint Now{};
  std::mt19937_64 Random{11};
  std::uint64_t Number = 0;
  std::multimap<TimePoint, Attempt> Due;
  Outcome Result;
};

void expectOffloaded(Plan Given) {
  const Outcome Found = Fleet(Given).run();
  Given.Even = true;
  const int Even = Fleet(Given).run().Served;
  cr_log_info("served %d of %d, beside %.3f of %d", Found.Served, Even,
              Found.besidePart(), Found.Beside);
  cr_expect_geq(Found.Served, Even * 0.9, "%d of %d", Found.Served, Even);
  cr_expect_geq(Found.besidePart(), 0.95, "%f of %d", Found.besidePart(),
                Found.Beside);
}

} // namespace

// Each guards against a small router that refuses what others have time for,
// and against callers of other accounts there that suffer from it.

Test(RedirectFleet, oneAccountFloodsASmallRouter) { expectOffloaded({}); }

Test(RedirectFleet, aTenthOfTheRoutersDies) {
  expectOffloaded({.Dying = Routers / 10});
}

Test(RedirectFleet, reportsAreASecondOld) {
  expectOffloaded({.ReportAge = 1s});
}

Test(RedirectFleet, threeAccountsFloodASmallRouter) {
  expectOffloaded({.Floods = 3});
}
