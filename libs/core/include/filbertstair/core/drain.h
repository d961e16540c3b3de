#ifndef FILBERTSTAIR_CORE_DRAIN_H_
#define FILBERTSTAIR_CORE_DRAIN_H_

#include "filbertstair/core/types.h"

// Decision of a process that is being stopped: which requests may still begin. A request that the
// end of the process would cut is better off elsewhere; one that may run once at most would be
// lost.
namespace filbertstair::core {

struct DrainPolicy {
  // Mean deviations above the mean within which a request is expected to end. One that may run
  // once at most can't be repeated after a wrong guess, so it needs the wider bound.
  int repeatable_deviations = 2;
  int once_deviations = 4;
  // Time in which a finished answer reaches its caller: a round trip of 80 ms between regions, and
  // timers that run late by up to 45 ms, twice.
  Duration delivery_margin = std::chrono::milliseconds(200);
};

// Recent durations of requests of one kind, from their arrival to the end of their answers.
struct DurationStats {
  // Mean, in which the last one counts for an eighth, and mean distance from it.
  Duration mean{};
  Duration deviation{};
  // Mean size in the unit of RequestProfile::size.
  double mean_size = 0;
  bool has_samples = false;
};

// Records the duration of a request.
auto RecordDuration(DurationStats& stats, Duration duration, double size) -> void;

// What is known about a request before it begins.
struct RequestProfile {
  // Time to the end of the answer within which it is on time; 0 if none is stated.
  Duration objective{};
  // Time after which the request fails in any case.
  Duration remaining{};
  // Work that the answer takes, for example tokens to generate; 0 if unknown.
  double size = 0;
  CallClass call_class = CallClass::once;
};

// Returns the time that a request is expected to take at most: from recent durations, longer for a
// request of more than their mean size. Without any it is the objective, and without that the time
// remaining. Never more than that.
auto EstimateMaxDuration(const DrainPolicy& policy, const DurationStats& stats,
                         const RequestProfile& request) -> Duration;

// Returns whether a request that begins at `now` can be expected to end in time for `end`, at which
// requests without an answer are failed.
auto CanFinishBeforeExit(const DrainPolicy& policy, const DurationStats& stats,
                         const RequestProfile& request, Time now, Time end) -> bool;

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_DRAIN_H_
