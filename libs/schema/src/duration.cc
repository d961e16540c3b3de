#include "filbertstair/schema/duration.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

namespace filbertstair::schema {
namespace {

constexpr std::array<std::pair<std::string_view, std::int64_t>, 5> kUnits{{
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

}  // namespace

auto ParseDuration(std::string_view text) -> std::optional<core::Duration> {
  std::int64_t count = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, count);
  if (error != std::errc() || count < 0) return std::nullopt;
  const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
  for (const auto& [unit, microseconds] : kUnits) {
    if (suffix != unit) continue;
    if (count > std::numeric_limits<std::int64_t>::max() / microseconds) return std::nullopt;
    return core::Duration(count * microseconds);
  }
  return std::nullopt;
}

auto FormatDuration(core::Duration duration) -> std::string {
  if (duration.count() == 0) return "0s";
  for (const auto& [unit, microseconds] : kUnits) {
    if (duration.count() % microseconds == 0) {
      return std::to_string(duration.count() / microseconds) + std::string(unit);
    }
  }
  return {};
}

}  // namespace filbertstair::schema
