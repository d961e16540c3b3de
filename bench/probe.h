#ifndef FILBERTSTAIR_BENCH_PROBE_H_
#define FILBERTSTAIR_BENCH_PROBE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/fleet/harness.h"

namespace filbertstair::bench {

// What one process has used since its start.
struct NodeSample {
  core::Role role = core::Role::entry;
  double cpu_seconds = 0;
  double memory_bytes = 0;
  // Values of /metrics by name and label as they are written there.
  std::map<std::string, double> metrics;
};

struct FleetSample {
  std::chrono::steady_clock::time_point at;
  std::vector<NodeSample> nodes;
  // Payload bytes that passed the relays.
  double relayed_bytes = 0;
  double platform_calls = 0;
};

// What the processes of one role used per second between two samples: means and the largest.
struct RoleUse {
  std::size_t nodes = 0;
  double cpu_share = 0;
  double largest_cpu_share = 0;
  double memory_bytes = 0;
  double largest_memory_bytes = 0;
  double control_bytes = 0;
  double largest_control_bytes = 0;
  // Bytes of control messages by kind.
  std::map<std::string, double> kinds;
};

// Whether the clocks are read before or after the metrics, so that reading metrics is not part of
// the measured time.
enum class Bound { begin, end };

auto TakeSample(const fleet::Fleet& fleet, Bound bound) -> FleetSample;

auto UseOf(const FleetSample& begin, const FleetSample& end, core::Role role) -> RoleUse;

// Sum over all nodes of the growth of a metric.
auto Growth(const FleetSample& begin, const FleetSample& end, const std::string& metric) -> double;

// Mean resident bytes of the processes of a role.
auto MeanMemory(const FleetSample& sample, core::Role role) -> double;

auto Seconds(const FleetSample& begin, const FleetSample& end) -> double;

// Load average of the machine over one minute.
auto LoadAverage() -> double;

}  // namespace filbertstair::bench

#endif  // FILBERTSTAIR_BENCH_PROBE_H_
