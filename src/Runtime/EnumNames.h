#ifndef PARSLEYWING_RUNTIME_ENUMNAMES_H
#define PARSLEYWING_RUNTIME_ENUMNAMES_H

#include "Runtime/Invariant.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace parsleywing {

/// Table of an enumeration's values and their printed names, used to convert in
/// both directions.
template <typename Enum, std::size_t Count>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Count>;

/// Returns the name of a value. The table must contain every value.
template <typename Enum, std::size_t Count>
constexpr std::string_view nameOf(const EnumNames<Enum, Count> &Names,
                                  Enum Value) {
  for (const auto &[Candidate, Name] : Names)
    if (Candidate == Value)
      return Name;
  PARSLEYWING_INVARIANT(false, "the table of names contains every value");
  return {};
}

/// Returns the value with this name, or nothing if there is none.
template <typename Enum, std::size_t Count>
constexpr std::optional<Enum> valueOf(const EnumNames<Enum, Count> &Names,
                                      std::string_view WantedName) {
  for (const auto &[Value, Name] : Names)
    if (Name == WantedName)
      return Value;
  return std::nullopt;
}

} // namespace parsleywing

#endif
