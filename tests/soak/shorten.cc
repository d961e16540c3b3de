#include "tests/soak/shorten.h"

#include <algorithm>

namespace filbertstair::soak {
namespace {

// Traffic before the first fault, so that connections are kept, and after the last one.
constexpr int kLeadMs = 1000;
constexpr int kTailMs = 4000;
// One replica of each service.
constexpr int kMinReplicas = 2;

auto WithFaults(const Plan& plan, std::vector<Fault> faults) -> Plan {
  auto out = plan;
  out.faults = std::move(faults);
  return out;
}

auto AddFewerFaults(const Plan& plan, std::vector<Plan>& out) -> void {
  const auto& faults = plan.faults;
  if (faults.empty()) return;
  const auto middle = faults.begin() + static_cast<std::ptrdiff_t>(faults.size() / 2);
  // Halves of fewer than four faults are nearly the plans with one fault less.
  if (faults.size() >= 4) {
    out.push_back(WithFaults(plan, {faults.begin(), middle}));
    out.push_back(WithFaults(plan, {middle, faults.end()}));
  }
  for (std::size_t i = 0; i < faults.size(); ++i) {
    auto rest = faults;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(i));
    out.push_back(WithFaults(plan, std::move(rest)));
  }
}

auto AddFewerProcesses(const Plan& plan, std::vector<Plan>& out) -> void {
  // A profile states its processes.
  if (!plan.profile.empty()) return;
  if (plan.entries > 1) {
    out.push_back(plan);
    --out.back().entries;
  }
  if (plan.replicas > kMinReplicas) {
    out.push_back(plan);
    out.back().replicas = std::max(kMinReplicas, plan.replicas / 2);
  }
  if (plan.callers > 1) {
    out.push_back(plan);
    out.back().callers /= 2;
  }
}

auto AddLessTime(const Plan& plan, std::vector<Plan>& out) -> void {
  int first = plan.traffic_ms;
  int last = 0;
  for (const auto& fault : plan.faults) {
    first = std::min(first, fault.at_ms);
    last = std::max(last, fault.at_ms + fault.for_ms);
  }
  const int shift = plan.faults.empty() ? 0 : std::max(0, first - kLeadMs);
  auto shorter = plan;
  for (auto& fault : shorter.faults) fault.at_ms -= shift;
  shorter.traffic_ms = std::min(plan.traffic_ms, last - shift + kTailMs);
  if (shorter.traffic_ms < plan.traffic_ms) out.push_back(std::move(shorter));
}

}  // namespace

auto SmallerPlans(const Plan& plan) -> std::vector<Plan> {
  std::vector<Plan> out;
  AddFewerFaults(plan, out);
  AddFewerProcesses(plan, out);
  AddLessTime(plan, out);
  return out;
}

auto ShortenPlan(Plan plan, int plays, const std::function<bool(const Plan&)>& fails) -> Plan {
  for (bool found = true; found && plays > 0;) {
    found = false;
    for (auto& smaller : SmallerPlans(plan)) {
      if (plays-- <= 0) break;
      found = fails(smaller);
      if (!found) continue;
      plan = std::move(smaller);
      break;
    }
  }
  return plan;
}

}  // namespace filbertstair::soak
