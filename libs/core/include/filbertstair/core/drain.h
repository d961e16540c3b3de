#ifndef FILBERTSTAIR_CORE_DRAIN_H_
#define FILBERTSTAIR_CORE_DRAIN_H_

#include "filbertstair/core/types.h"

// Admission during shutdown: decides which requests a stopping process may still start. A request
// that the exit would interrupt is better served by another process; a call that may run at most
// once would be lost.
namespace filbertstair::core {

struct DrainPolicy {
  // Number of mean absolute deviations above the mean duration within which a request is expected
  // to end, by call class. A call that may run at most once cannot be retried after a wrong
  // estimate, so it has the wider bound.
  int repeatable_deviations = 2;
  int once_deviations = 4;
  // Time for a finished answer to reach its caller: a round trip of 80 ms between regions, plus
  // twice a timer lag of up to 45 ms.
  Duration delivery_margin = std::chrono::milliseconds(200);
};

// Moving averages over recent requests of one kind. A duration runs from the arrival of a request
// to the end of its answer.
struct DurationStats {
  // Exponentially weighted mean, in which the newest sample has a weight of one eighth, and mean
  // absolute deviation with the same weight.
  Duration mean{};
  Duration deviation{};
  // Mean size, in the unit of RequestProfile::size.
  double mean_size = 0;
  bool has_samples = false;
};

// Adds the duration and the size of a completed request to the averages.
auto RecordDuration(DurationStats& stats, Duration duration, double size) -> void;

// Properties of a request that are known before it starts.
struct RequestProfile {
  // Target for the time until the end of the answer; 0 if there is none.
  Duration objective{};
  // Time left until the request's deadline.
  Duration remaining{};
  // Amount of work in any one unit, for example tokens to generate; 0 if unknown.
  double size = 0;
  CallClass call_class = CallClass::once;
};

// Returns an upper estimate of the request's duration: the mean plus the policy's number of
// deviations, scaled up for a request above the mean size. Without samples it is the objective, or
// the remaining time if there is none. Never exceeds the remaining time.
auto EstimateMaxDuration(const DrainPolicy& policy, const DurationStats& stats,
                         const RequestProfile& request) -> Duration;

// Returns whether a request that starts at `now` is expected to be answered by `end`, the time at
// which the process fails unanswered requests.
auto CanFinishBeforeExit(const DrainPolicy& policy, const DurationStats& stats,
                         const RequestProfile& request, Time now, Time end) -> bool;

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_DRAIN_H_
