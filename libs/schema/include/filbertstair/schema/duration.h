#ifndef FILBERTSTAIR_SCHEMA_DURATION_H_
#define FILBERTSTAIR_SCHEMA_DURATION_H_

#include <optional>
#include <string>
#include <string_view>

#include "filbertstair/core/types.h"

namespace filbertstair::schema {

// Parses a non-negative whole number followed by one of the units us, ms, s, m and h, for example
// "30s". Returns nullopt for any other text and for values above 292,000 years.
auto ParseDuration(std::string_view text) -> std::optional<core::Duration>;

// Formats a duration in the largest unit that represents it exactly, for example "90s".
auto FormatDuration(core::Duration duration) -> std::string;

}  // namespace filbertstair::schema

#endif  // FILBERTSTAIR_SCHEMA_DURATION_H_
