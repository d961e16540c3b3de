#ifndef FILBERTSTAIR_CORE_NAMES_H_
#define FILBERTSTAIR_CORE_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace filbertstair::core {

// Maps each value of an enum to its name.
template <typename E, std::size_t N>
using NameTable = std::array<std::pair<E, std::string_view>, N>;

// Name table of the enum `E`. Each enum specializes it next to its definition, as
// `template <> inline constexpr NameTable<E, N> kNames<E>`.
template <typename E>
inline constexpr int kNames = 0;

// Returns the name of `value`, or "?" if the table does not list it.
template <typename E>
constexpr auto Name(E value) -> std::string_view {
  for (const auto& [candidate, name] : kNames<E>) {
    if (candidate == value) return name;
  }
  return "?";
}

// Returns the enum value with the given name, or nothing if there is none.
template <typename E>
constexpr auto ParseName(std::string_view name) -> std::optional<E> {
  for (const auto& [value, candidate] : kNames<E>) {
    if (candidate == name) return value;
  }
  return std::nullopt;
}

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_NAMES_H_
