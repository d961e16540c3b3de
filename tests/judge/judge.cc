#include "tests/judge/judge.h"

#include "tests/judge/index.h"

namespace filbertstair::judge {
namespace {

// Time by which an arrival's deadline may end after the client's.
constexpr Time kLateDeadline = detail::kSecond / 2;

auto IsLate(const Arrival& arrival, const ClientAttempt& attempt) -> bool {
  const auto end = detail::EndOf(attempt);
  if (!end.has_value()) return false;
  return !arrival.deadline.has_value() || arrival.at + *arrival.deadline > *end + kLateDeadline;
}

}  // namespace

auto Judge(const History& history) -> std::vector<Finding> {
  const auto index = detail::MakeIndex(history);
  std::vector<Finding> findings;
  detail::JudgeBudget(index, findings);
  detail::JudgeLost(index, findings);
  detail::JudgeRequests(index, findings);
  return findings;
}

auto Measure(const History& history) -> Figures {
  const auto index = detail::MakeIndex(history);
  Figures out;
  out.requests = static_cast<int>(history.attempts.size());
  out.arrivals = static_cast<int>(index.arrivals.size());
  out.services = detail::MeasureServices(index);
  for (const auto* arrival : index.arrivals) {
    const auto* attempt = detail::AttemptOf(index, *arrival);
    if (attempt != nullptr && IsLate(*arrival, *attempt)) ++out.late_deadlines;
  }
  for (const auto& attempt : history.attempts) {
    if (attempt.status != 0 || attempt.gave_up) continue;
    ++out.closes_without_answer;
    if (!detail::ArrivalsOf(index, attempt).empty()) ++out.closes_after_arrival;
  }
  return out;
}

}  // namespace filbertstair::judge
