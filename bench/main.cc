#include <CLI/CLI.hpp>
#include <cstdio>

#include "scenarios.h"
using namespace filbertstair::bench;
int main() {
  auto go = [](Scenario s, Policy p, int seed) {
    auto r = Run(s, p, seed);
    std::printf(
        "%-22s %-12s %d end %8.1f max %8.1f late %8.1f mean %7.1f ratio %.4f largest %5.1f busy "
        "%.4f B/s %7.0f reg %7.0f wait %.2f/%.2f/%.2f small %.4f/%.3f fin %lu ref %lu\n",
        s.name.c_str(), filbertstair::core::Name(p).data(), seed, r.gap_end, r.gap_max, r.gap_late,
        r.gap_mean, r.ratio, r.largest, r.busy, r.node_bytes, r.region_bytes, r.wait_p50,
        r.wait_p95, r.wait_p99, r.small_p50, r.small_p99, r.finished, r.refused);
    fflush(stdout);
  };
  for (auto p : {Policy::round_robin, Policy::least_load, Policy::fleet})
    for (int seed : {1, 2}) go(SixWorkspaces(400), p, seed);
  for (int seed : {1, 2}) go(SixWorkspaces(1600), Policy::fleet, seed);
  for (auto p : {Policy::round_robin, Policy::least_load, Policy::fleet}) {
    go(Today(false), p, 1);
    go(Today(true), p, 1);
  }
  for (auto& s : Refuting())
    for (auto p : {Policy::least_load, Policy::fleet}) go(s, p, 1);
  go(ManyWorkspaces(1500, 15000), Policy::fleet, 1);
}
