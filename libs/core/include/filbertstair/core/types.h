#ifndef FILBERTSTAIR_CORE_TYPES_H_
#define FILBERTSTAIR_CORE_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "filbertstair/core/names.h"

namespace filbertstair::core {

// Time on the local monotonic clock, in microseconds. Must not be compared between processes.
using Time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

// Start time of a process in microseconds since the Unix epoch. Increases with every restart of the
// same process id.
using Incarnation = std::uint64_t;

// Cost of a request in slot time: the number of microseconds for which it occupies a slot.
using Cost = std::int64_t;

enum class Role { entry, endpoint };
template <>
inline constexpr NameTable<Role, 2> kNames<Role>{
    {{Role::entry, "entry"}, {Role::endpoint, "endpoint"}}};

// Whether a request was executed, as far as is known when the caller is answered.
enum class Outcome { not_run, ran, unknown };
template <>
inline constexpr NameTable<Outcome, 3> kNames<Outcome>{
    {{Outcome::not_run, "not_run"}, {Outcome::ran, "ran"}, {Outcome::unknown, "unknown"}}};

// Whether a call is idempotent and may be executed again (`repeatable`), or must run at most once.
enum class CallClass { repeatable, once };
template <>
inline constexpr NameTable<CallClass, 2> kNames<CallClass>{
    {{CallClass::repeatable, "repeatable"}, {CallClass::once, "once"}}};

// State of an entry as a target of a load balancer. `serving` accepts new callers, `lagging` cannot
// keep up with its load and prefers that other entries accept them, and `out` accepts none for
// another reason, such as shutdown. The outer name of `lagging` is "behind".
enum class RotationState { serving, lagging, out };
template <>
inline constexpr NameTable<RotationState, 3> kNames<RotationState>{
    {{RotationState::serving, "serving"},
     {RotationState::lagging, "behind"},
     {RotationState::out, "out"}}};

// Kind of name by which a service is looked up.
enum class Scheme { host, path, logical };
template <>
inline constexpr NameTable<Scheme, 3> kNames<Scheme>{
    {{Scheme::host, "host"}, {Scheme::path, "path"}, {Scheme::logical, "logical"}}};

// Identifies one submission of a request to an endpoint process. Unique across the fleet and across
// restarts: `entry` is the id of the submitting process, `serial` its running number.
struct AttemptId {
  std::string entry;
  Incarnation incarnation = 0;
  std::uint64_t serial = 0;

  // clang-tidy mistakes the 0 in the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AttemptId&) const = default;
};

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_TYPES_H_
