#ifndef FILBERTSTAIR_NODE_TRACE_H_
#define FILBERTSTAIR_NODE_TRACE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/error.h"
#include "filbertstair/core/names.h"
#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"

// Recent requests and what happened to them, for operators. No decision reads it.
namespace filbertstair::node {

// Wall clock, so that records of several processes can be merged. Only as exact as the clocks.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

// What happened. `arrived`, `attempted`, `failed` and `ended` are recorded by an entry, the others
// by an endpoint process.
enum class TraceKind { arrived, attempted, failed, ended, admitted, refused, started, finished };

struct TraceEvent {
  WallTime recorded_at{};
  TraceKind kind = TraceKind::arrived;
  // Id of the other process; empty if there is none.
  std::string peer{};
  // Step, outcome and reason of a failure, refusal or end, as far as there are any.
  std::optional<core::Step> step{};
  std::optional<core::Outcome> outcome{};
  std::optional<core::Reason> reason{};
  // Of `finished`.
  std::optional<core::Cost> cost{};
};

struct RequestTrace {
  std::string request;
  std::string service;
  std::string workspace;
  std::vector<TraceEvent> events;
  // Events left out after the first ones because there were too many.
  std::uint64_t dropped = 0;
};

// Requests that a process remembers.
inline constexpr std::size_t kMaxTraces = 4096;
// A request that is refused with no_room returns to the queue without limit, so its events need
// one. The last event is always kept.
inline constexpr std::size_t kMaxTraceEvents = 16;

struct TraceTable {
  // Ring buffer; `next` is the slot of the next new request once it is full.
  std::vector<RequestTrace> ring;
  std::size_t next_slot = 0;
  std::map<std::string, std::size_t, std::less<>> slot_by_request;
};

// Adds an event to the request, which replaces the oldest one if it is new and the table is full.
auto AddEvent(TraceTable& table, std::string_view request, TraceEvent event) -> void;

// Notes the service and workspace of a request in the table.
auto SetTraceTarget(TraceTable& table, std::string_view request, const std::string& service,
                    const std::string& workspace) -> void;

// Returns the request's record, or null if it is not in the table.
auto FindTrace(const TraceTable& table, std::string_view request) -> const RequestTrace*;

// Returns the record as a JSON object: `process`, `request`, `service`, `workspace`, `dropped` and
// `events` with `at_us` (microseconds since 1970), `kind` and the members that are present.
auto ToJson(const RequestTrace& trace, const std::string& process) -> std::string;

}  // namespace filbertstair::node

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::node::TraceKind, 8>
    filbertstair::core::kNames<filbertstair::node::TraceKind>{
        {{filbertstair::node::TraceKind::arrived, "arrived"},
         {filbertstair::node::TraceKind::attempted, "attempted"},
         {filbertstair::node::TraceKind::failed, "failed"},
         {filbertstair::node::TraceKind::ended, "ended"},
         {filbertstair::node::TraceKind::admitted, "admitted"},
         {filbertstair::node::TraceKind::refused, "refused"},
         {filbertstair::node::TraceKind::started, "started"},
         {filbertstair::node::TraceKind::finished, "finished"}}};

#endif  // FILBERTSTAIR_NODE_TRACE_H_
