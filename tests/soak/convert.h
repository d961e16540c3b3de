#ifndef FILBERTSTAIR_TESTS_SOAK_CONVERT_H_
#define FILBERTSTAIR_TESTS_SOAK_CONVERT_H_

#include <string>
#include <vector>

#include "tests/judge/history.h"
#include "tests/soak/check.h"

namespace filbertstair::soak {

// Adds the starts and arrivals that replicas noted, one JSON object a line in the order in which
// they were written. Throws std::exception for a line that is none of them.
auto ReadReplicas(const std::vector<std::string>& lines, Observations& out) -> void;

// What the judge is told of a run. An arrival is given the entry that its request was sent to.
auto ToHistory(const Observations& observed) -> judge::History;

}  // namespace filbertstair::soak

#endif  // FILBERTSTAIR_TESTS_SOAK_CONVERT_H_
