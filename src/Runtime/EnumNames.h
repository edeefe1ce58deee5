#ifndef PARSLEYWING_RUNTIME_ENUMNAMES_H
#define PARSLEYWING_RUNTIME_ENUMNAMES_H

#include "Runtime/Invariant.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace parsleywing {

/// The printed name of each value of an enumeration, in one table that serves
/// both directions.
template <typename Enum, std::size_t Count>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Count>;

/// Finds the name of a value. The table must hold every value.
template <typename Enum, std::size_t Count>
constexpr std::string_view nameOf(const EnumNames<Enum, Count> &Names,
                                  Enum Value) {
  for (const auto &[Known, Name] : Names)
    if (Known == Value)
      return Name;
  PARSLEYWING_INVARIANT(false, "the table of names holds every value");
  return {};
}

/// Finds the value with this name, or nothing where no value has it.
template <typename Enum, std::size_t Count>
constexpr std::optional<Enum> valueOf(const EnumNames<Enum, Count> &Names,
                                      std::string_view Wanted) {
  for (const auto &[Value, Name] : Names)
    if (Name == Wanted)
      return Value;
  return std::nullopt;
}

} // namespace parsleywing

#endif
