#ifndef FILBERTSTAIR_DIRECT_LOAD_ESTIMATE_H_
#define FILBERTSTAIR_DIRECT_LOAD_ESTIMATE_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

// Load that a replica reports of itself with a response, in requests.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // Time that work takes at the replica at this moment, as a multiple of the usual time; nothing if
  // it is not reported. It changes many times a second.
  std::optional<double> pace;
};

// Weighted mean of samples whose weights decay with their age.
struct DecayingMean {
  double sum = 0;
  double weight = 0;
  core::Time updated_at{};
};

// What this entry has learnt of a replica's load beside the requests there.
struct LoadEstimate {
  DecayingMean pace;
  // Observed over calculated time to the first part of a response, weighted by the latter in
  // milliseconds.
  DecayingMean start_ratio;
  // Requests that waited in the replica's own queue at the time of its last report.
  std::uint32_t waiting = 0;
  core::Time reported_at{};
};

struct LoadEstimatePolicy {
  // Bounds of a reported pace. A replica may report any number.
  double min_pace = 0.25;
  double max_pace = 8;
  // Time in which the weight of a reported pace halves. An entry gets about one report of a replica
  // in two seconds, so that a shorter time would leave it with a single sample.
  core::Duration pace_half_life = std::chrono::seconds(8);
  // Samples at the usual pace that every estimate includes, so that a single report, which may show
  // a brief change, moves the estimate by a third of its distance.
  double usual_pace_weight = 2;
  // Least time between two samples with the full weight: reports that follow each other faster show
  // the same moment.
  core::Duration pace_sample_interval = std::chrono::milliseconds(50);
  // Bounds of the ratio of observed to calculated time to the first part of a response, for one
  // response and for the estimate. A slow entry observes long times, too, and must not stop sending
  // for that.
  double min_start_ratio = 0.5;
  double max_start_ratio = 4;
  // Time in which the weight of an observed start halves, and the weight in milliseconds of the
  // mean of the service's replicas, or of the ratio 1 in that mean: that of a few prompts.
  core::Duration start_half_life = std::chrono::seconds(8);
  double mean_start_weight_ms = 500;
  // Part of the calculated time that doesn't depend on the prompt, in milliseconds: the round trip
  // between regions.
  double start_overhead_ms = 40;
  // Time in which the significance of reported waiting requests halves.
  core::Duration waiting_half_life = std::chrono::milliseconds(250);
};

// Adds a sample with the given weight; the weight of the earlier ones is halved for each
// `half_life` since the last sample.
auto AddSample(DecayingMean& mean, double sample, double weight, core::Duration half_life,
               core::Time now) -> void;

// Applies a report of the replica.
auto RecordReport(LoadEstimate& estimate, const LoadEstimatePolicy& policy,
                  const LoadReport& report, core::Time now) -> void;

// Returns the time that work is expected to take at the replica, as a multiple of the usual time.
// It is the mean of the recent reports and approaches 1 as they age.
auto EstimatePace(const LoadEstimate& estimate, const LoadEstimatePolicy& policy, core::Time now)
    -> double;

// Records that the first part of a response took `observed`, where `calculated` was expected
// without the ratio.
auto RecordStart(DecayingMean& start_ratio, const LoadEstimatePolicy& policy,
                 core::Duration calculated, core::Duration observed, core::Time now) -> void;

// Returns the ratio of observed to calculated time to the first part of a response; with few
// samples it is near `usual`.
auto EstimateStartRatio(const DecayingMean& start_ratio, const LoadEstimatePolicy& policy,
                        double usual, core::Time now) -> double;

// Returns a number that is drawn for a request and a replica from the standard Gumbel distribution.
// The least of costs, less such numbers times `t`, is at a replica with a probability in proportion
// to exp(-cost / t). The same arguments give the same number.
auto DrawForReplica(std::uint64_t random, std::string_view replica) -> double;

// Returns how likely the replica is overrun, from 0 to 1: it has recently reported that requests
// wait in its own queue, where any further one would wait behind them.
auto EstimateOverrun(const LoadEstimate& estimate, const LoadEstimatePolicy& policy, core::Time now)
    -> double;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_LOAD_ESTIMATE_H_
