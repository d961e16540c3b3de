#ifndef FILBERTSTAIR_CORE_NAMES_H_
#define FILBERTSTAIR_CORE_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace filbertstair::core {

// Table that maps each value of an enum to its name. Specialised next to each enum as
// `inline constexpr NameTable<E, N> names<E>`.
template <typename E, std::size_t N>
using NameTable = std::array<std::pair<E, std::string_view>, N>;

template <typename E>
inline constexpr int kNames = 0;

// Returns the name of `value`, or "?" for a value outside the enum.
template <typename E>
constexpr auto Name(E value) -> std::string_view {
  for (const auto& [candidate, name] : kNames<E>) {
    if (candidate == value) return name;
  }
  return "?";
}

// Returns the value called `name`, or nothing if the enum has no such name.
template <typename E>
constexpr auto ParseName(std::string_view name) -> std::optional<E> {
  for (const auto& [value, candidate] : kNames<E>) {
    if (candidate == name) return value;
  }
  return std::nullopt;
}

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_NAMES_H_
