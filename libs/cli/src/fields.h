#ifndef FILBERTSTAIR_CLI_SRC_FIELDS_H_
#define FILBERTSTAIR_CLI_SRC_FIELDS_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

// Access to members of a daemon's JSON. A member that is absent or of another type, as in a
// response from a daemon of another release, reads as an empty value.
namespace filbertstair::cli::detail {

inline auto StringField(const boost::json::object& object, std::string_view name) -> std::string {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

inline auto BoolField(const boost::json::object& object, std::string_view name) -> bool {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

// Negative numbers, fractions and numbers out of range read as 0.
inline auto NumberField(const boost::json::object& object, std::string_view name) -> std::uint64_t {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) return 0;
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

// Calls `use` for each object in the array member `name`; skips items of other types.
template <typename Use>
auto ForEachObject(const boost::json::object& object, std::string_view name, Use use) -> void {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) return;
  for (const auto& item : value->get_array()) {
    if (item.is_object()) use(item.get_object());
  }
}

// Formats a duration in seconds with three decimals, truncated to milliseconds.
inline auto SecondsToString(std::uint64_t microseconds) -> std::string {
  const auto milliseconds = microseconds / 1000;
  auto fraction = std::to_string(milliseconds % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(milliseconds / 1000) + "." + fraction + " s";
}

}  // namespace filbertstair::cli::detail

#endif  // FILBERTSTAIR_CLI_SRC_FIELDS_H_
