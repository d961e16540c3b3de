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

// Traces of recent requests for operators. They influence no decision.
namespace filbertstair::node {

// Wall-clock time, so that traces of several processes can be merged; precise only as far as their
// clocks agree.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

// Kind of a trace event. An entry records `arrived`, `attempted`, `failed` and `ended`, an endpoint
// process the others.
enum class TraceKind { arrived, attempted, failed, ended, admitted, refused, started, finished };

struct TraceEvent {
  WallTime recorded_at{};
  TraceKind kind = TraceKind::arrived;
  // Id of the other process; empty if there is none.
  std::string peer{};
  // Step, outcome and reason of a failure, refusal or end, where applicable.
  std::optional<core::Step> step{};
  std::optional<core::Outcome> outcome{};
  std::optional<core::Reason> reason{};
  // Only for `finished`.
  std::optional<core::Cost> cost{};
};

struct RequestTrace {
  std::string request;
  std::string service;
  std::string workspace;
  std::vector<TraceEvent> events;
  // Number of events discarded because of kMaxTraceEvents.
  std::uint64_t dropped = 0;
};

// Maximum number of requests in the trace table.
inline constexpr std::size_t kMaxTraces = 4096;
// Maximum number of events per request. A request that is refused with no_room may return to the
// queue any number of times. The last event is always kept.
inline constexpr std::size_t kMaxTraceEvents = 16;

struct TraceTable {
  // Ring buffer; once it is full, `next_slot` is the index that the next new request replaces.
  std::vector<RequestTrace> ring;
  std::size_t next_slot = 0;
  std::map<std::string, std::size_t, std::less<>> slot_by_request;
};

// Adds an event to the request. A new request replaces the oldest one if the table is full.
auto AddEvent(TraceTable& table, std::string_view request, TraceEvent event) -> void;

// Sets the service and workspace of a request; does nothing if it is not in the table.
auto SetTraceTarget(TraceTable& table, std::string_view request, const std::string& service,
                    const std::string& workspace) -> void;

// Returns the request's trace, or null if it is not in the table.
auto FindTrace(const TraceTable& table, std::string_view request) -> const RequestTrace*;

// Returns the trace as a JSON object: `process`, `request`, `service`, `workspace`, `dropped` and
// `events` with `at_us` (microseconds since 1970), `kind` and the optional members that are set.
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
