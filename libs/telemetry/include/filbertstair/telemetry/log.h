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

// Initializes logging to standard output. `process` is the process id that each line carries.
// Before this call, lines of level info and above are written as text. A separate thread writes the
// lines, so that Log never blocks on output.
auto InitializeLog(Level level, Format format, const std::string& process) -> void;

// Sets the minimum level of lines that are written.
auto SetLogLevel(Level level) -> void;

// Waits up to about 100 ms until queued lines are written. Call before the process exits.
auto FlushLog() -> void;

// Name and value of a field of a log line.
using Field = std::pair<std::string_view, std::string_view>;

// Writes one line with the event's number and name and the fields, such as request, workspace, step
// and peer. Fields with an empty value are omitted. Lines of events that may occur for each request
// are rate-limited per event; the field `dropped` counts the lines suppressed before this one. If
// the queue of unwritten lines is full, its oldest line is discarded, which `dropped` doesn't
// count.
auto Log(Level level, Event event, std::initializer_list<Field> fields) -> void;

namespace detail {

// Format a line without time, level and process. `dropped` is the number of lines suppressed before
// it; empty for none.
auto FormatText(Event event, std::initializer_list<Field> fields, std::string_view dropped = {})
    -> std::string;
auto FormatJson(Event event, std::initializer_list<Field> fields, std::string_view dropped = {})
    -> std::string;

}  // namespace detail

}  // namespace filbertstair::telemetry

#endif  // FILBERTSTAIR_TELEMETRY_LOG_H_
