#ifndef FILBERTSTAIR_TELEMETRY_LOG_H_
#define FILBERTSTAIR_TELEMETRY_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "filbertstair/telemetry/event.h"

namespace filbertstair::telemetry {

enum class Level { debug, info, warning, error };
enum class Format { text, json };

// Sets up logging to standard error for the process. Until then, and with its defaults, text from
// level info on.
auto SetUpLog(Level level, Format format, const std::string& process) -> void;

using Field = std::pair<std::string_view, std::string_view>;

// Writes one line with the event's number and name and the fields, such as request, workspace, step
// and peer. Fields with an empty value are left out.
auto Log(Level level, Event event, std::initializer_list<Field> fields) -> void;

namespace detail {

auto FormatText(Event event, std::initializer_list<Field> fields) -> std::string;
auto FormatJson(Event event, std::initializer_list<Field> fields) -> std::string;

}  // namespace detail

}  // namespace filbertstair::telemetry

#endif  // FILBERTSTAIR_TELEMETRY_LOG_H_
