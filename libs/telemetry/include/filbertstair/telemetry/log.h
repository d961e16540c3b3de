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

// Sets up logging to standard output for the process. Until then, and with its defaults, text from
// level info on. Lines are written by a thread of their own; no caller of Log waits for it.
auto InitializeLog(Level level, Format format, const std::string& process) -> void;

// Changes the least severe level that is written.
auto SetLogLevel(Level level) -> void;

// Waits a short time for the lines that are not written yet. Call before the process exits.
auto FlushLog() -> void;

using Field = std::pair<std::string_view, std::string_view>;

// Writes one line with the event's number and name and the fields, such as request, workspace, step
// and peer. Fields with an empty value are left out. Lines of events that may occur for each
// request are bounded per event; a line tells in `dropped` how many were left out before it.
auto Log(Level level, Event event, std::initializer_list<Field> fields) -> void;

namespace detail {

// `dropped` is the number of lines that were left out before, empty for none.
auto FormatText(Event event, std::initializer_list<Field> fields, std::string_view dropped = {})
    -> std::string;
auto FormatJson(Event event, std::initializer_list<Field> fields, std::string_view dropped = {})
    -> std::string;

}  // namespace detail

}  // namespace filbertstair::telemetry

#endif  // FILBERTSTAIR_TELEMETRY_LOG_H_
