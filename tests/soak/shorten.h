#ifndef FILBERTSTAIR_TESTS_SOAK_SHORTEN_H_
#define FILBERTSTAIR_TESTS_SOAK_SHORTEN_H_

#include <functional>
#include <vector>

#include "tests/soak/plan.h"

namespace filbertstair::soak {

// Returns the smaller plans to try next for a plan that fails, most promising first: each half of
// its faults, then all but one of them, then fewer entries, replicas and callers, then less time
// before the first fault and after the last one.
auto SmallerPlans(const Plan& plan) -> std::vector<Plan>;

// Returns the smallest plan found that still fails. Plays at most `plays` plans.
auto ShortenPlan(Plan plan, int plays, const std::function<bool(const Plan&)>& fails) -> Plan;

}  // namespace filbertstair::soak

#endif  // FILBERTSTAIR_TESTS_SOAK_SHORTEN_H_
