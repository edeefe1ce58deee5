#ifndef PARSLEYWING_TEST_DECISION_REQUESTHARNESS_H
#define PARSLEYWING_TEST_DECISION_REQUESTHARNESS_H

#include "Decision/Request/RequestTable.h"

#include <optional>

namespace parsleywing::test {

/// Drives one table of requests by hand, with a paused time, and keeps what it
/// asked for last.
class RequestHarness {
public:
  explicit RequestHarness(const RequestSettings &S = {}) : Table(S) {}

  const RequestActions &send(const RequestEvent &Event) {
    this->Actions = this->Table.handle(this->Now, Event);
    return this->Actions;
  }

  const RequestActions &tickAfter(Duration Step) {
    this->Now += Step;
    return this->send(Tick{});
  }

  /// The first action of this type that the last event caused.
  template <typename ActionType> std::optional<ActionType> action() const {
    for (const RequestAction &Action : this->Actions)
      if (const auto *Found = std::get_if<ActionType>(&Action))
        return *Found;
    return std::nullopt;
  }

  template <typename ActionType> std::size_t countActions() const {
    std::size_t Count = 0;
    for (const RequestAction &Action : this->Actions)
      Count += std::holds_alternative<ActionType>(Action) ? 1 : 0;
    return Count;
  }

  /// True where the last event gave a caller this final answer.
  bool finishedWith(RequestOutcome Outcome, ResponseReason Reason) const {
    const auto Answer = this->action<FinishRequest>();
    return Answer && Answer->Outcome == Outcome && Answer->Reason == Reason;
  }

  RequestDescription makeRequest(std::uint64_t Number, bool Repeatable = true,
                                 const std::string &Key = "") const;

  /// Brings a request to its first attempt at server 1.
  void admit(const RequestDescription &Description);

  /// The same, sent and with so many tokens reported.
  void stream(const RequestDescription &Description, std::uint64_t Tokens);

  RequestTable Table;
  TimePoint Now;

private:
  RequestActions Actions;
};

inline constexpr ServerId Server1{1};
inline constexpr ServerId Server2{2};
inline constexpr AccountId Account1{1};
inline constexpr AccountId Account2{2};

/// A view of this router (1) and others after it.
View viewOf(std::initializer_list<std::uint64_t> Others);

} // namespace parsleywing::test

#endif
