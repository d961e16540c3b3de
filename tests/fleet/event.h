#ifndef FILBERTSTAIR_TESTS_FLEET_EVENT_H_
#define FILBERTSTAIR_TESTS_FLEET_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::fleet {

// What a line of a history states.
enum class EventKind {
  // A caller sent a request.
  invoke,
  // A caller received an answer of the service, or a part of it.
  answer,
  // A caller was refused by the fleet.
  refuse,
  // A caller's connection failed or ended before the answer was complete.
  disconnect,
  // A replica received a request.
  start,
  // A replica completed a request.
  end,
  // A replica dropped a request because its peer left.
  cancel,
  // The first sign anywhere that the endpoint in `source` leaves.
  leaving,
  // The process in `source` has version `version` of `object` in force.
  config
};

// One line of a history. Fields that a kind does not use stay empty.
struct Event {
  // Microseconds on the monotonic clock of the machine, which all processes of a test share.
  std::int64_t at = 0;
  EventKind kind = EventKind::invoke;
  // Caller, replica (by the id of its endpoint) or process.
  std::string source;
  // Identifies the request; unique within a test.
  std::string id;
  std::string workspace;
  std::string service;
  core::CallClass call_class = core::CallClass::repeatable;
  // Idempotency key.
  std::string key;
  // X-Endpoint of an answer.
  std::string endpoint;
  // Outcome and reason as the caller was told them.
  std::optional<core::Outcome> outcome;
  std::string reason;
  int status = 0;
  // Answer: whose request it states to answer, its length and checksum as stated by the replica and
  // as computed by the caller, and whether the end of the answer was seen.
  std::string echo;
  std::string announced;
  std::string received;
  bool complete = false;
  // Configuration.
  std::string object;
  std::uint64_t version = 0;
};

// One line of JSON without a line end.
auto FormatEvent(const Event& event) -> std::string;

// Reads a line; nothing for a line of a kind that is not in EventKind. Throws on text that is not a
// JSON object.
auto ParseEvent(const std::string& line) -> std::optional<Event>;

// Reads the files, leaving out an unfinished last line, and sorts the events by time.
auto ReadHistories(const std::vector<std::string>& paths) -> std::vector<Event>;

}  // namespace filbertstair::fleet

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::fleet::EventKind, 9>
    filbertstair::core::kNames<filbertstair::fleet::EventKind>{{
        {filbertstair::fleet::EventKind::invoke, "invoke"},
        {filbertstair::fleet::EventKind::answer, "answer"},
        {filbertstair::fleet::EventKind::refuse, "refuse"},
        {filbertstair::fleet::EventKind::disconnect, "disconnect"},
        {filbertstair::fleet::EventKind::start, "start"},
        {filbertstair::fleet::EventKind::end, "end"},
        {filbertstair::fleet::EventKind::cancel, "cancel"},
        {filbertstair::fleet::EventKind::leaving, "leaving"},
        {filbertstair::fleet::EventKind::config, "config"},
    }};

#endif  // FILBERTSTAIR_TESTS_FLEET_EVENT_H_
