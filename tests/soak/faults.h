#ifndef FILBERTSTAIR_TESTS_SOAK_FAULTS_H_
#define FILBERTSTAIR_TESTS_SOAK_FAULTS_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "tests/soak/deployment.h"

namespace filbertstair::soak {

inline constexpr auto kNoFault = static_cast<std::size_t>(-1);

// A step of a fault, due at a time of the machine's monotonic clock in microseconds.
struct Step {
  std::int64_t at = 0;
  std::function<void()> apply;
  // Index of the fault in the plan and of its disturbance, or kNoFault.
  std::size_t fault = 0;
};

// The steps of all faults of the deployment's plan, for traffic that starts at `begin`. They refer
// to the deployment.
auto ScheduleFaults(Deployment& deployment, std::int64_t begin) -> std::vector<Step>;

// Applies a step and records the time that it took in the disturbance of its fault.
auto ApplyStep(Deployment& deployment, const Step& step) -> void;

}  // namespace filbertstair::soak

#endif  // FILBERTSTAIR_TESTS_SOAK_FAULTS_H_
