#ifndef FILBERTSTAIR_TESTS_FLEET_CHECKER_H_
#define FILBERTSTAIR_TESTS_FLEET_CHECKER_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "tests/fleet/event.h"

namespace filbertstair::fleet {

// Guarantee of the design page that a history is checked against.
enum class Check {
  // G5: a call of class once, or all calls with its idempotency key, starts at most once.
  at_most_once,
  // G4: a request that a caller was told is `not_run` starts at no replica, before or after.
  truthful_not_run,
  // G3: an answer names its own request, and its length and checksum are as stated.
  own_and_whole,
  // G6: nothing starts at an endpoint later than the bound after the first sign of its leaving.
  leaving,
  // G8: the version of an object in force in a process never decreases.
  config_order,
  // G2: a workspace with waiting requests starts one within the bound.
  starvation,
  // G1: the gap in service between two backlogged workspaces stays within the bound.
  fairness_gap
};

struct Violation {
  Check check = Check::at_most_once;
  // Request id, idempotency key, endpoint, process or workspaces concerned.
  std::string subject;
  std::string detail;
};

// Bounds in microseconds. Starvation and gap are checked only if their bound is above 0.
struct Bounds {
  std::int64_t leaving = 3'000'000;
  std::int64_t starvation = 0;
  // Slot time per unit of weight.
  std::int64_t gap = 0;
  // Weights of workspaces; 1 for those not named.
  std::map<std::string, double> weights;
};

// Checks a history that is sorted by time. Returns all violations.
auto CheckHistory(std::span<const Event> events, const Bounds& bounds) -> std::vector<Violation>;

// Largest change of the difference in service (microseconds of slot time per unit of weight)
// between two workspaces over a time during which both had waiting requests, for each pair that had
// one.
auto MeasureGaps(std::span<const Event> events, const std::map<std::string, double>& weights)
    -> std::map<std::pair<std::string, std::string>, double>;

// One line per violation.
auto FormatViolations(const std::vector<Violation>& violations) -> std::string;

}  // namespace filbertstair::fleet

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::fleet::Check, 7>
    filbertstair::core::kNames<filbertstair::fleet::Check>{
        {{filbertstair::fleet::Check::at_most_once, "at_most_once"},
         {filbertstair::fleet::Check::truthful_not_run, "truthful_not_run"},
         {filbertstair::fleet::Check::own_and_whole, "own_and_whole"},
         {filbertstair::fleet::Check::leaving, "leaving"},
         {filbertstair::fleet::Check::config_order, "config_order"},
         {filbertstair::fleet::Check::starvation, "starvation"},
         {filbertstair::fleet::Check::fairness_gap, "fairness_gap"}}};

#endif  // FILBERTSTAIR_TESTS_FLEET_CHECKER_H_
