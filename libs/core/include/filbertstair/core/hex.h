#ifndef FILBERTSTAIR_CORE_HEX_H_
#define FILBERTSTAIR_CORE_HEX_H_

#include <array>
#include <charconv>
#include <cstdint>
#include <string>
#include <vector>

namespace filbertstair::core {

// Formats the number in hexadecimal, without a prefix or leading zeros.
inline auto FormatHex(std::uint64_t number) -> std::string {
  constexpr int base = 16;
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), number, base).ptr;
  return {digits.begin(), end};
}

// Formats the numbers in hexadecimal, separated by commas.
inline auto FormatHexList(const std::vector<std::uint64_t>& numbers) -> std::string {
  std::string text;
  for (const auto number : numbers) {
    if (!text.empty()) text += ',';
    text += FormatHex(number);
  }
  return text;
}

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_HEX_H_
