#ifndef FILBERTSTAIR_DIRECT_AVAILABILITY_H_
#define FILBERTSTAIR_DIRECT_AVAILABILITY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "filbertstair/core/types.h"
#include "filbertstair/direct/replicas.h"

// What replicas say of themselves in their responses: that they leave, or that they want no
// requests for a time.
namespace filbertstair::direct {

struct AvailabilityPolicy {
  // Longest time for which a replica can close itself with one response; longer values count as
  // this one.
  core::Duration max_closed_time = std::chrono::minutes(10);
  // Time for which the leaving of a replica is remembered, also after it was removed from the list:
  // a delayed listing may still name it.
  core::Duration remember_leaving = std::chrono::hours(1);
  // Time for which the closing time of a removed replica is remembered after it ended.
  core::Duration remember_closing = std::chrono::minutes(10);
};

// Records that the replica said that it leaves, at its start `started_ms`. It gets no new requests
// until it is listed with a later start. Returns whether that was unknown.
auto RecordLeaving(ReplicaTable& table, const std::string& id, std::int64_t started_ms,
                   core::Time now) -> bool;

// Forgets replicas that said long ago that they leave.
auto ForgetLeaving(ReplicaTable& table, const AvailabilityPolicy& policy, core::Time now) -> void;

// Forgets the closing times of removed replicas that ended long ago. A start that is listed again
// after that reopens without steps.
auto ForgetClosings(ReplicaTable& table, const AvailabilityPolicy& policy, core::Time now) -> void;

// Records that the replica wants no requests for `delay`. An earlier, longer time stays in force.
// When it ends, the replica gets one request at a time, and twice as many after each success.
auto RecordClosed(Replica& replica, const AvailabilityPolicy& policy, core::Duration delay,
                  core::Time now) -> void;

// Returns whether the replica wants no requests now.
auto IsClosed(const Replica& replica, core::Time now) -> bool;

// Returns the time at which the first replica reopens of those that may serve the request, or
// nothing if one of them is open or none will.
auto FindReopening(const ReplicaTable& table, const Origin& origin, std::string_view service,
                   const Residency& residency, core::Time now) -> std::optional<core::Time>;

// Returns whether a request that was assigned to the replica may still be sent there.
auto MaySend(const Replica& replica, core::Time now) -> bool;

// Raises the number of requests that a reopened replica gets at a time.
auto RecordReopeningSuccess(Replica& replica) -> void;

// Returns the time after which a client that was refused should retry, if the first replica wants
// requests again in `wait`. Clients that were told the same moment would arrive together at the one
// replica that has reopened; they are spread over `spread` after it. `uniform_sample` is a random
// sample in [0, 1].
auto ReopenRetryDelay(core::Duration wait, core::Duration spread, double uniform_sample)
    -> core::Duration;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_AVAILABILITY_H_
