#ifndef FILBERTSTAIR_BENCH_HARNESS_H_
#define FILBERTSTAIR_BENCH_HARNESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/shares/shares.h"

namespace filbertstair::bench {

// How requests reach endpoints: round robin without queues, least load with fair shares at each
// entry alone, or grants by fair shares over the fleet.
enum class Policy { round_robin, least_load, fleet };
// Distribution of the costs of a workspace around their mean: uniform within half and one and a
// half of it, exponential, or constant.
enum class Spread { uniform, exponential, constant };
}  // namespace filbertstair::bench

namespace filbertstair::core {
template <>
inline constexpr NameTable<bench::Policy, 3> kNames<bench::Policy>{
    {{bench::Policy::round_robin, "round_robin"},
     {bench::Policy::least_load, "least_load"},
     {bench::Policy::fleet, "fleet"}}};
template <>
inline constexpr NameTable<bench::Spread, 3> kNames<bench::Spread>{
    {{bench::Spread::uniform, "uniform"},
     {bench::Spread::exponential, "exponential"},
     {bench::Spread::constant, "constant"}}};
}  // namespace filbertstair::core

namespace filbertstair::bench {

// Requests of one workspace to one pool. Callers send the next request when the last one ends;
// `rate` adds independent arrivals per second. Times in seconds.
struct Load {
  std::string workspace;
  std::size_t pool = 0;
  double weight = 1;
  double mean = 1;
  Spread spread = Spread::uniform;
  std::uint32_t callers = 0;
  double rate = 0;
  std::uint32_t max_waiting = 1000;
  // Entry that most requests arrive at, and the share that arrives there; the rest is spread
  // evenly.
  std::size_t home = 0;
  double at_home = 0.9;
  double hint_error = 1;
  // Always has requests waiting, so it takes part in the gap.
  bool backlogged = false;
};

struct EndpointSpec {
  int region = 0;
  std::uint32_t slots = 16;
  std::size_t pool = 0;
};

struct Scenario {
  std::string name;
  std::vector<int> entry_regions;
  std::vector<EndpointSpec> endpoints;
  std::vector<Load> loads;
  std::size_t idle_workspaces = 0;
  // One-way delays within and between regions.
  double local_delay = 0.00025;
  double region_delay = 0.04;
  double period = 1;
  std::size_t budget = 100;
  // Entries per endpoint that exchange counters with it.
  std::size_t feeders = 2;
  double seconds = 400;
  // Whether endpoints expect the others to react to reports as they do.
  bool extrapolate = true;
  shares::Settings settings;
};

// Figures of one run. Gaps and waiting times in seconds.
struct Result {
  double gap_end = 0;
  double gap_max = 0;
  // Largest gap after the first 60 s, when requests admitted to the idle fleet have ended.
  double gap_steady = 0;
  // Largest gap within the last 340 s.
  double gap_late = 0;
  double gap_mean = 0;
  // Mean gaps of consecutive blocks of 34 s after the first 60 s and at the end, for a trend test.
  std::vector<double> early_blocks;
  std::vector<double> late_blocks;
  double ratio = 0;
  double largest = 0;
  double busy = 0;
  // Sent and received, of the node with the most; and between regions, per second over the fleet.
  double node_bytes = 0;
  double region_bytes = 0;
  // Sent and received, on average per node and second.
  double node_messages = 0;
  // Over the fleet per second, by kind of message.
  double demand_bytes = 0;
  double grant_bytes = 0;
  double room_bytes = 0;
  double counter_bytes = 0;
  double wait_p50 = 0;
  double wait_p95 = 0;
  double wait_p99 = 0;
  // Of the loads that are not backlogged.
  double small_p50 = 0;
  double small_p99 = 0;
  std::uint64_t finished = 0;
  std::uint64_t refused = 0;
};

// Runs one scenario under a virtual clock.
auto Run(const Scenario& scenario, Policy policy, std::uint64_t seed) -> Result;

}  // namespace filbertstair::bench

#endif  // FILBERTSTAIR_BENCH_HARNESS_H_
