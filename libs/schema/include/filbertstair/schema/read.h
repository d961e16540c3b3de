#ifndef FILBERTSTAIR_SCHEMA_READ_H_
#define FILBERTSTAIR_SCHEMA_READ_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"
#include "filbertstair/schema/problem.h"
#include "filbertstair/schema/value.h"

namespace filbertstair::schema {

// A value to read, with the path of its field and the report that receives its problems.
struct Cursor {
  ProblemReport& report;
  const Value& value;
  std::string path;
};

// A field of a map: its name, whether it is required, and the function that reads its value.
struct FieldRule {
  std::string_view name;
  bool required = false;
  std::function<void(const Cursor&)> read;
};

// A constraint on a string. `allowed` describes the accepted strings in problems.
struct TextRule {
  std::string_view allowed;
  bool (*accepts)(std::string_view text);
};

// Adds a problem at the cursor's line and field path.
auto RejectValue(const Cursor& cursor, std::string_view found, std::string allowed) -> void;

// Reads a map by calling the rule of each field. Adds problems for unknown, duplicate and missing
// required fields, and if the value is not a map.
auto ReadMap(const Cursor& cursor, const std::vector<FieldRule>& rules) -> void;

// Calls `read` for each item of a list, with the item's index in its path. Adds a problem if the
// value is not a list.
auto ReadList(const Cursor& cursor, const std::function<void(const Cursor&)>& read) -> void;

// The functions below leave `out` unchanged, add a problem and return false if the value has the
// wrong type or is not accepted. `min` and `max` are inclusive.
auto ReadText(const Cursor& cursor, const TextRule& rule, std::string& out) -> bool;
auto ReadInteger(const Cursor& cursor, std::uint64_t min, std::uint64_t max, std::uint64_t& out)
    -> bool;
auto ReadNumber(const Cursor& cursor, double min, double max, double& out) -> bool;
auto ReadDuration(const Cursor& cursor, core::Duration min, core::Duration max, core::Duration& out)
    -> bool;

// Like the overload above, for 32-bit values.
auto ReadInteger(const Cursor& cursor, std::uint32_t min, std::uint32_t max, std::uint32_t& out)
    -> bool;

namespace detail {

auto ReadName(const Cursor& cursor, const std::vector<std::string_view>& names, std::string& out)
    -> bool;

}  // namespace detail

// Reads an enumerator by its name in core::kNames. Leaves `out` unchanged, adds a problem and
// returns false if the value is no such name.
template <typename E>
auto ReadEnum(const Cursor& cursor, E& out) -> bool {
  std::vector<std::string_view> names;
  for (const auto& [value, name] : core::kNames<E>) names.push_back(name);
  std::string text;
  if (!detail::ReadName(cursor, names, text)) return false;
  out = *core::ParseName<E>(text);
  return true;
}

// Accepts identifiers: 1 to 63 lower-case letters, digits, '-', '_' and '.', of which the first is
// a letter or a digit.
extern const TextRule kIdentifier;

}  // namespace filbertstair::schema

#endif  // FILBERTSTAIR_SCHEMA_READ_H_
