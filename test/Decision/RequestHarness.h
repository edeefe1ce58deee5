#ifndef PARSLEYWING_TEST_DECISION_REQUESTHARNESS_H
#define PARSLEYWING_TEST_DECISION_REQUESTHARNESS_H

#include "Decision/Request/RequestTable.h"

#include <optional>

namespace parsleywing::test {

/// Drives a request table with simulated time, and keeps the actions of the
/// last event.
class RequestHarness {
public:
  /// The table has run long enough to have earned its floor of retries.
  explicit RequestHarness(const RequestSettings &S = {}) : Table(S) {
    this->Table.handle(this->Now, Tick{});
    this->Now += std::chrono::minutes(1);
  }

  const RequestActions &send(const RequestEvent &Event) {
    this->Actions = this->Table.handle(this->Now, Event);
    return this->Actions;
  }

  const RequestActions &tickAfter(Duration Step) {
    this->Now += Step;
    return this->send(Tick{});
  }

  /// The first action of this type from the last event.
  template <typename ActionType> std::optional<ActionType> action() const {
    for (const RequestAction &Emitted : this->Actions)
      if (const auto *Found = std::get_if<ActionType>(&Emitted))
        return *Found;
    return std::nullopt;
  }

  template <typename ActionType> std::size_t countActions() const {
    std::size_t Count = 0;
    for (const RequestAction &Emitted : this->Actions)
      Count += std::holds_alternative<ActionType>(Emitted) ? 1 : 0;
    return Count;
  }

  /// Whether the last event sent this final response to a caller.
  bool finishedWith(RequestOutcome Outcome, ResponseReason Reason) const {
    const auto Response = this->action<FinishRequest>();
    return Response && Response->Outcome == Outcome &&
           Response->Reason == Reason;
  }

  RequestDescription makeRequest(std::uint64_t Number, bool Repeatable = true,
                                 const std::string &Key = "") const;

  /// Moves a request to its first attempt, at server 1.
  void admit(const RequestDescription &Description);

  /// Same as `admit`, but the attempt is sent and reports so many tokens.
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

/// A view of this router (1) followed by others.
View viewOf(std::initializer_list<std::uint64_t> Others);

} // namespace parsleywing::test

#endif
