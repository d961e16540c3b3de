#ifndef FILBERTSTAIR_CORE_HEX_H_
#define FILBERTSTAIR_CORE_HEX_H_

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <limits>
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

// Formats the first `max_count` numbers in hexadecimal, separated by commas, and how many are left
// out, as in "1,a,+3".
inline auto FormatHexList(const std::vector<std::uint64_t>& numbers,
                          std::size_t max_count = std::numeric_limits<std::size_t>::max())
    -> std::string {
  std::string text;
  for (std::size_t i = 0; i < std::min(numbers.size(), max_count); ++i) {
    if (i > 0) text += ',';
    text += FormatHex(numbers[i]);
  }
  if (numbers.size() > max_count) text += ",+" + std::to_string(numbers.size() - max_count);
  return text;
}

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_HEX_H_
