#ifndef PARSLEYWING_REVIEW_STANDIN_CALLERFARM_H
#define PARSLEYWING_REVIEW_STANDIN_CALLERFARM_H

#include "Fleet.h"

#include <array>

namespace review {

/// A kind of request, and the callers that ask for it: each waits for its
/// answer, then for a time, and asks again on the same connection.
struct CallerKind {
  const char *Name;
  int Callers;
  std::chrono::milliseconds Pause;
  int Events;
  int SharedTokens;
  int PromptTokens;
};

/// A request whose connection ended without a complete answer.
struct CutRequest {
  std::string Id;
  std::string Router;
  bool OnKeptConnection = false;
  /// A part of the answer had come.
  bool AnswerBegun = false;
};

/// Callers of streams, all on one thread. They honour `Retry-After` and
/// `Connection: close`.
class CallerFarm {
public:
  static constexpr std::size_t MaxRouters = 8;

  CallerFarm(std::vector<std::unique_ptr<Router>> &R, Record &L);
  ~CallerFarm();
  CallerFarm(const CallerFarm &) = delete;
  CallerFarm &operator=(const CallerFarm &) = delete;

  void start(const std::vector<CallerKind> &Kinds);
  void stop();
  /// The platform's choice: new connections of callers of a lost router go to
  /// the next one.
  void lose(std::size_t Index) { this->Lost.at(Index) = true; }
  std::vector<CutRequest> cut();

  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};
  std::atomic<int> Refused{0};

private:
  enum class State { Waiting, Connecting, Reading };
  struct Caller {
    int Number = 0;
    CallerKind Kind{};
    State Now = State::Waiting;
    Clock::time_point NextAt;
    int Descriptor = -1;
    std::string Router;
    std::string RequestId;
    std::string Input;
    int Answers = 0;
    Clock::time_point LastReceivedAt;
  };

  void run();
  std::size_t routerOf(int Number) const;
  void connect(Caller &Each);
  void ask(Caller &Each);
  void receive(Caller &Each);
  void finish(Caller &Each);
  /// Closes the connection; the caller asks again on a new one.
  static void leave(Caller &Each, std::chrono::milliseconds Pause);

  std::vector<std::unique_ptr<Router>> &Routers;
  Record &Log;
  std::vector<Caller> Callers;
  std::mutex Mutex;
  std::vector<CutRequest> Cut;
  std::array<std::atomic<bool>, MaxRouters> Lost{};
  std::atomic<bool> Stopping{false};
  std::thread Worker;
};

} // namespace review

#endif
