#ifndef FILBERTSTAIR_BENCH_SCENARIOS_H_
#define FILBERTSTAIR_BENCH_SCENARIOS_H_

#include <vector>

#include "harness.h"

namespace filbertstair::bench {

// Six backlogged workspaces, 9 entries, 12 endpoints, one region.
auto SixWorkspaces(double seconds) -> Scenario;

// 16 workspaces in three regions, with model and application replicas. In the variant one small
// workspace floods.
auto Today(bool flood) -> Scenario;

// `backlogged` of `workspaces` workspaces have requests waiting.
auto ManyWorkspaces(std::size_t backlogged, std::size_t workspaces) -> Scenario;

// Variants of the first two that stress one assumption each.
auto Refuting() -> std::vector<Scenario>;

// The first scenario with other ways to charge and to exchange counters.
auto Alternatives() -> std::vector<Scenario>;

}  // namespace filbertstair::bench

#endif  // FILBERTSTAIR_BENCH_SCENARIOS_H_
