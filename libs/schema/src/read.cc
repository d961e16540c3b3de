#include "filbertstair/schema/read.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <set>

#include "filbertstair/schema/duration.h"

namespace filbertstair::schema {
namespace {

// Describes a value in a problem: the quoted text of a scalar, or the kind of any other value.
auto DescribeValue(const Value& value) -> std::string {
  if (value.kind != Kind::scalar) return std::string(core::Name(value.kind));
  return '"' + value.text + '"';
}

auto JoinNames(const std::vector<std::string_view>& words) -> std::string {
  std::string text;
  for (const auto word : words) {
    if (!text.empty()) text += ", ";
    text += word;
  }
  return text;
}

auto FormatNumber(double number) -> std::string {
  std::array<char, 32> buffer{};
  const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  return error == std::errc() ? std::string(buffer.data(), end) : "?";
}

auto ChildPath(const std::string& path, std::string_view name) -> std::string {
  return path.empty() ? std::string(name) : path + "." + std::string(name);
}

// Parses a plain (unquoted) scalar as a number of type T within [min, max].
template <typename T>
auto ReadPlainNumber(const Cursor& cursor, T min, T max, const std::string& allowed, T& out)
    -> bool {
  const auto& value = cursor.value;
  T number{};
  const auto* end = value.text.data() + value.text.size();
  const auto [rest, error] = std::from_chars(value.text.data(), end, number);
  // Both comparisons are false for NaN, which is therefore rejected.
  const bool within = number >= min && number <= max;
  if (value.kind != Kind::scalar || value.quoted || error != std::errc() || rest != end ||
      !within) {
    RejectValue(cursor, DescribeValue(value), allowed);
    return false;
  }
  out = number;
  return true;
}

auto IsIdentifier(std::string_view text) -> bool {
  const auto alphanumeric = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
  return !text.empty() && text.size() <= 63 && alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(),
                     [&](char c) { return alphanumeric(c) || c == '-' || c == '_' || c == '.'; });
}

}  // namespace

const TextRule kIdentifier{
    "1 to 63 lower-case letters, digits, '-', '_' and '.', the first a letter or digit",
    IsIdentifier};

auto RejectValue(const Cursor& cursor, std::string_view found, std::string allowed) -> void {
  AddProblem(cursor.report, cursor.value.line, cursor.path, found, std::move(allowed));
}

auto ReadMap(const Cursor& cursor, const std::vector<FieldRule>& rules) -> void {
  std::vector<std::string_view> names;
  names.reserve(rules.size());
  for (const auto& rule : rules) names.push_back(rule.name);
  if (cursor.value.kind != Kind::map) {
    RejectValue(cursor, DescribeValue(cursor.value), "a map with the fields " + JoinNames(names));
    return;
  }
  std::set<std::string_view> seen;
  for (const auto& field : cursor.value.items) {
    const auto path = ChildPath(cursor.path, field.name);
    const auto rule = std::find_if(rules.begin(), rules.end(), [&](const auto& candidate) {
      return candidate.name == field.name;
    });
    if (rule == rules.end()) {
      AddProblem(cursor.report, field.name_line, cursor.path, "unknown field \"" + field.name + '"',
                 JoinNames(names));
    } else if (!seen.insert(rule->name).second) {
      AddProblem(cursor.report, field.name_line, path, "a duplicate field", "each field once");
    } else {
      rule->read({cursor.report, field, path});
    }
  }
  for (const auto& rule : rules) {
    if (rule.required && !seen.contains(rule.name)) {
      AddProblem(cursor.report, cursor.value.line, ChildPath(cursor.path, rule.name), "nothing",
                 "a value; the field is required");
    }
  }
}

auto ReadList(const Cursor& cursor, const std::function<void(const Cursor&)>& read) -> void {
  if (cursor.value.kind != Kind::list) {
    RejectValue(cursor, DescribeValue(cursor.value), "a list");
    return;
  }
  std::size_t index = 0;
  for (const auto& item : cursor.value.items) {
    read({cursor.report, item, cursor.path + "[" + std::to_string(index++) + "]"});
  }
}

auto ReadText(const Cursor& cursor, const TextRule& rule, std::string& out) -> bool {
  if (cursor.value.kind != Kind::scalar || !rule.accepts(cursor.value.text)) {
    RejectValue(cursor, DescribeValue(cursor.value), std::string(rule.allowed));
    return false;
  }
  out = cursor.value.text;
  return true;
}

auto ReadInteger(const Cursor& cursor, std::uint64_t min, std::uint64_t max, std::uint64_t& out)
    -> bool {
  return ReadPlainNumber(
      cursor, min, max, "a whole number from " + std::to_string(min) + " to " + std::to_string(max),
      out);
}

auto ReadInteger(const Cursor& cursor, std::uint32_t min, std::uint32_t max, std::uint32_t& out)
    -> bool {
  std::uint64_t wide = 0;
  if (!ReadInteger(cursor, std::uint64_t{min}, std::uint64_t{max}, wide)) return false;
  out = static_cast<std::uint32_t>(wide);
  return true;
}

auto ReadNumber(const Cursor& cursor, double min, double max, double& out) -> bool {
  return ReadPlainNumber(cursor, min, max,
                         "a number from " + FormatNumber(min) + " to " + FormatNumber(max), out);
}

auto ReadDuration(const Cursor& cursor, core::Duration min, core::Duration max, core::Duration& out)
    -> bool {
  const auto duration =
      cursor.value.kind == Kind::scalar ? ParseDuration(cursor.value.text) : std::nullopt;
  if (!duration || *duration < min || *duration > max) {
    RejectValue(cursor, DescribeValue(cursor.value),
                "a whole number with the unit us, ms, s, m or h, from " + FormatDuration(min) +
                    " to " + FormatDuration(max));
    return false;
  }
  out = *duration;
  return true;
}

namespace detail {

auto ReadName(const Cursor& cursor, const std::vector<std::string_view>& names, std::string& out)
    -> bool {
  if (cursor.value.kind != Kind::scalar ||
      std::find(names.begin(), names.end(), cursor.value.text) == names.end()) {
    RejectValue(cursor, DescribeValue(cursor.value), JoinNames(names));
    return false;
  }
  out = cursor.value.text;
  return true;
}

}  // namespace detail
}  // namespace filbertstair::schema
