#ifndef FILBERTSTAIR_CORE_HEX_H_
#define FILBERTSTAIR_CORE_HEX_H_

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace filbertstair::core {

// Formats the number in hexadecimal, without a prefix or leading zeros.
inline auto FormatHex(std::uint64_t number) -> std::string {
  constexpr int base = 16;
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), number, base).ptr;
  return {digits.begin(), end};
}

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_HEX_H_
