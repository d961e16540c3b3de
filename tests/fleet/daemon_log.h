#ifndef FILBERTSTAIR_TESTS_FLEET_DAEMON_LOG_H_
#define FILBERTSTAIR_TESTS_FLEET_DAEMON_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tests/fleet/event.h"

namespace filbertstair::fleet {

// Translates a line of a daemon's JSON log: `started`, `stopping` (as leaving) and
// `object_accepted` (as config). Nothing for other lines, among them those that are not JSON.
// `clock_offset` (microseconds) is added to the time since 1970.
auto ParseLogLine(const std::string& line, std::int64_t clock_offset) -> std::optional<Event>;

// Reads a daemon's log, with times on the machine's monotonic clock to within a millisecond.
auto ReadDaemonLog(const std::string& path) -> std::vector<Event>;

}  // namespace filbertstair::fleet

#endif  // FILBERTSTAIR_TESTS_FLEET_DAEMON_LOG_H_
