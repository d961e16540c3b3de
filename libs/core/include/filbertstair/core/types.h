#ifndef FILBERTSTAIR_CORE_TYPES_H_
#define FILBERTSTAIR_CORE_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "filbertstair/core/names.h"

namespace filbertstair::core {

// Time on a process's own monotonic clock. Never compared between processes.
using Time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

// Start time of a process in microseconds since 1970; rises over restarts of the same process id.
using Incarnation = std::uint64_t;

// Service in slot time: microseconds for which a request occupies a slot.
using Cost = std::int64_t;

enum class Role { entry, endpoint };
template <>
inline constexpr NameTable<Role, 2> kNames<Role>{
    {{Role::entry, "entry"}, {Role::endpoint, "endpoint"}}};

// What is known about the execution of a request when its caller is answered.
enum class Outcome { not_run, ran, unknown };
template <>
inline constexpr NameTable<Outcome, 3> kNames<Outcome>{
    {{Outcome::not_run, "not_run"}, {Outcome::ran, "ran"}, {Outcome::unknown, "unknown"}}};

// Whether a call is idempotent and may be retried, or must run at most once.
enum class CallClass { repeatable, once };
template <>
inline constexpr NameTable<CallClass, 2> kNames<CallClass>{
    {{CallClass::repeatable, "repeatable"}, {CallClass::once, "once"}}};

// State of an entry towards a balancer: it takes new callers, it is behind with its work and would
// leave them to others, or it takes none for another reason, as while it stops.
enum class RotationState { serving, lagging, out };
template <>
inline constexpr NameTable<RotationState, 3> kNames<RotationState>{
    {{RotationState::serving, "serving"},
     {RotationState::lagging, "behind"},
     {RotationState::out, "out"}}};

// Naming scheme under which a service is looked up.
enum class Scheme { host, path, logical };
template <>
inline constexpr NameTable<Scheme, 3> kNames<Scheme>{
    {{Scheme::host, "host"}, {Scheme::path, "path"}, {Scheme::logical, "logical"}}};

// Identifies one submission of a request to an endpoint process. Unique over the fleet and over
// restarts.
struct AttemptId {
  std::string entry;
  Incarnation incarnation = 0;
  std::uint64_t serial = 0;

  // The linter takes the 0 in the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AttemptId&) const = default;
};

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_TYPES_H_
