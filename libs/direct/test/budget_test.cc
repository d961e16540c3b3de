#include "filbertstair/direct/budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How a simulated fleet is disturbed. Times are in steps.
struct FleetPlan {
  static constexpr milliseconds kStep{50};

  std::size_t size = 8;
  int steps = 800;
  // Requests of the whole fleet in a step.
  int requests = 8;
  // From then on all entries make as many retries as they may.
  int retries_from = 400;
  // Steps between two restarts and the number of entries that restart together; 0 for none.
  int restart_interval = 0;
  std::size_t restarted_together = 1;
  int restarts_from = 0;
  // Steps after which the load moves to another entry; 0 if all entries share it.
  int move_interval = 0;
};

// Requests of callers and retries that arrived at replicas, sorted by time.
struct FleetHistory {
  std::vector<core::Time> requests;
  std::vector<core::Time> retries;
};

auto CountBetween(const std::vector<core::Time>& times, core::Time from, core::Time to) -> double {
  return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) -
                             std::lower_bound(times.begin(), times.end(), from));
}

// Returns the most retries that any 10 s have beyond 0.2 of the requests in them, in the 10 s
// before or in those half a window before, whichever are most. At most 54 are allowed.
auto WorstExcess(const FleetHistory& history) -> double {
  constexpr seconds window{10};
  double worst = 0;
  for (const auto from : history.retries) {
    double requests = 0;
    for (const milliseconds shift : {milliseconds(0), milliseconds(5000), milliseconds(10000)}) {
      const auto begin = from - shift;
      requests = std::max(requests, CountBetween(history.requests, begin, begin + window));
    }
    worst = std::max(worst, CountBetween(history.retries, from, from + window) - 0.2 * requests);
  }
  return worst;
}

auto Restart(core::Time now) -> RetryBudget { return {.started_at = now}; }

// Plays the plan with retries that arrive up to 250 ms after they were taken from a budget.
auto PlayFleet(const FleetPlan& plan, const RetryBudgetPolicy& policy, std::mt19937& random)
    -> FleetHistory {
  const core::Time start{seconds(1000)};
  std::vector<RetryBudget> entries(plan.size, Restart(start));
  std::uniform_int_distribution<std::size_t> any_entry(0, plan.size - 1);
  std::uniform_int_distribution<int> delay_ms(0, 250);
  std::size_t loaded = 0;
  std::size_t next_restart = 0;
  FleetHistory history;
  for (int step = 0; step < plan.steps; ++step) {
    const auto now = start + FleetPlan::kStep * step;
    if (plan.restart_interval > 0 && step >= plan.restarts_from &&
        step % plan.restart_interval == 0) {
      for (std::size_t i = 0; i < plan.restarted_together; ++i) {
        entries[next_restart++ % plan.size] = Restart(now);
      }
    }
    if (plan.move_interval > 0 && step % plan.move_interval == 0) loaded = any_entry(random);
    for (int i = 0; i < plan.requests; ++i) {
      const auto entry = plan.move_interval > 0 ? loaded : any_entry(random);
      RecordRequest(entries[entry], policy, now);
      history.requests.push_back(now);
    }
    if (step < plan.retries_from) continue;
    for (auto& entry : entries) {
      while (TryConsumeRetry(entry, policy, plan.size, now)) {
        history.retries.push_back(now + milliseconds(delay_ms(random)));
      }
    }
  }
  std::sort(history.retries.begin(), history.retries.end());
  return history;
}

auto Describe(const FleetPlan& plan, unsigned seed, double excess) -> std::string {
  return "seed " + std::to_string(seed) + ", entries " + std::to_string(plan.size) +
         ", requests a step " + std::to_string(plan.requests) + ", restart each " +
         std::to_string(plan.restart_interval) + " x " + std::to_string(plan.restarted_together) +
         " from " + std::to_string(plan.restarts_from) + ", retries from " +
         std::to_string(plan.retries_from) + ", moves each " + std::to_string(plan.move_interval) +
         ": " + std::to_string(excess) + " beyond the share, 54 allowed";
}

class BudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BudgetTest);
  CPPUNIT_TEST(testConstantAndShare);
  CPPUNIT_TEST(testStartedProcessHasAShareOnly);
  CPPUNIT_TEST(testWindowForgets);
  CPPUNIT_TEST(testFleetStaysBelowItsBound);
  CPPUNIT_TEST(testMeasuredUseMatchesTheDecision);
  CPPUNIT_TEST(testBurstsWithinTenSecondsCountTogether);
  CPPUNIT_TEST(testRestartsDoNotMultiplyTheConstant);
  CPPUNIT_TEST(testLoadThatMovesDoesNotMultiplyTheShare);
  CPPUNIT_TEST_SUITE_END();

  const RetryBudgetPolicy policy{};
  const core::Time start{seconds(1000)};

  auto RecordRequests(RetryBudget& budget, int count, core::Time now) const -> void {
    for (int i = 0; i < count; ++i) RecordRequest(budget, this->policy, now);
  }

  auto ConsumeAllRetries(RetryBudget& budget, core::Time now, std::size_t entries = 1) const
      -> int {
    int taken = 0;
    while (TryConsumeRetry(budget, this->policy, entries, now)) ++taken;
    return taken;
  }

 public:
  // Guards against a budget that grows faster than its share of the requests.
  auto testConstantAndShare() -> void {
    RetryBudget budget;
    this->RecordRequests(budget, 100, this->start - this->policy.window);
    CPPUNIT_ASSERT_EQUAL(5, this->ConsumeAllRetries(budget, this->start));
    this->RecordRequests(budget, 100, this->start);
    CPPUNIT_ASSERT_EQUAL(15, this->ConsumeAllRetries(budget, this->start));
    // Of the requests beyond those of the window before, 0.04.
    this->RecordRequests(budget, 100, this->start);
    CPPUNIT_ASSERT_EQUAL(4, this->ConsumeAllRetries(budget, this->start));
  }

  // Guards against a process that can't retry at all until it has run for a window, and against
  // one that gets its part of the constant before.
  auto testStartedProcessHasAShareOnly() -> void {
    RetryBudget budget{.started_at = this->start};
    CPPUNIT_ASSERT_EQUAL(0, this->ConsumeAllRetries(budget, this->start));
    this->RecordRequests(budget, 50, this->start);
    CPPUNIT_ASSERT_EQUAL(2, this->ConsumeAllRetries(budget, this->start));
    const auto almost = this->start + this->policy.constant_after - milliseconds(300);
    CPPUNIT_ASSERT_EQUAL(0, this->ConsumeAllRetries(budget, almost));
    CPPUNIT_ASSERT_EQUAL(
        5, this->ConsumeAllRetries(budget, this->start + this->policy.constant_after));
  }

  // Guards against retries that count forever, or requests that still count after the window.
  auto testWindowForgets() -> void {
    RetryBudget budget;
    this->RecordRequests(budget, 100, this->start - this->policy.window);
    this->RecordRequests(budget, 100, this->start);
    CPPUNIT_ASSERT_EQUAL(20, this->ConsumeAllRetries(budget, this->start));
    CPPUNIT_ASSERT_EQUAL(0, this->ConsumeAllRetries(budget, this->start + seconds(9)));
    CPPUNIT_ASSERT_EQUAL(5, this->ConsumeAllRetries(budget, this->start + seconds(11)));
  }

  // Guards against entries whose budgets together exceed the fleet's limit of 0.2 of the requests
  // and 54 in any 10 s, when load moves between them and all retry as much as they may.
  auto testFleetStaysBelowItsBound() -> void {
    for (const std::size_t count : {8u, 31u}) this->CheckFleet(count);
  }

  // Guards against a metric that shows a budget with room left while retries are refused.
  auto testMeasuredUseMatchesTheDecision() -> void {
    RetryBudget budget;
    this->RecordRequests(budget, 30, this->start);
    const int taken = this->ConsumeAllRetries(budget, this->start);
    const auto use = MeasureRetryBudget(budget, this->policy, 1, this->start);
    CPPUNIT_ASSERT_EQUAL(static_cast<double>(taken), use.retries);
    CPPUNIT_ASSERT(use.retries <= use.allowed && use.retries + 1 > use.allowed);
  }

  // Guards against retries that are forgotten before the users' window has passed: with buckets of
  // 1 s that began with the window, a burst at the end of a bucket counted for 9 s only.
  auto testBurstsWithinTenSecondsCountTogether() -> void {
    for (int offset_ms = 0; offset_ms < 2000; offset_ms += 10) {
      RetryBudget budget;
      const auto first = this->start + milliseconds(offset_ms);
      this->ConsumeAllRetries(budget, first);
      CPPUNIT_ASSERT_EQUAL(0, this->ConsumeAllRetries(budget, first + milliseconds(9100)));
      CPPUNIT_ASSERT_EQUAL(0, this->ConsumeAllRetries(budget, first + milliseconds(9999)));
    }
  }

  // Guards against processes that start with a whole part of the constant and with a share that
  // their predecessors have used: entries that restart in series exceeded the fleet's limit.
  auto testRestartsDoNotMultiplyTheConstant() -> void { this->CheckPlans(false); }

  // Guards against the share of one load being used twice, by the entry that it leaves and by the
  // one that it moves to.
  auto testLoadThatMovesDoesNotMultiplyTheShare() -> void { this->CheckPlans(true); }

 private:
  // Checks random plans, with load that moves or with load that all entries share.
  auto CheckPlans(bool moves) const -> void {
    double worst = 0;
    std::string message;
    for (unsigned seed = 1; seed <= 400; ++seed) {
      std::mt19937 random(seed);
      const auto draw = [&](int from, int to) {
        return std::uniform_int_distribution<int>(from, to)(random);
      };
      FleetPlan plan;
      constexpr std::size_t sizes[] = {1, 5, 8, 33};
      plan.size = sizes[draw(0, 3)];
      plan.requests = draw(0, 10);
      plan.retries_from = draw(0, 500);
      if (moves) plan.move_interval = draw(2, 300);
      if (!moves || draw(0, 1) == 1) {
        plan.restart_interval = draw(1, 200);
        plan.restarted_together = static_cast<std::size_t>(draw(1, static_cast<int>(plan.size)));
        plan.restarts_from = draw(0, 500);
      }
      const auto excess = WorstExcess(PlayFleet(plan, this->policy, random));
      if (excess <= worst) continue;
      worst = excess;
      message = Describe(plan, seed, excess);
    }
    CPPUNIT_ASSERT_MESSAGE(message, worst <= 54);
  }

  auto CheckFleet(std::size_t size) const -> void {
    std::vector<RetryBudget> entries(size);
    std::vector<std::pair<core::Time, int>> requests;
    std::vector<std::pair<core::Time, int>> retries;
    for (int step = 0; step < 300; ++step) {
      const auto now = this->start + std::chrono::milliseconds(100) * step;
      auto& busy = entries[static_cast<std::size_t>(step / 20) % entries.size()];
      for (int i = 0; i < 20; ++i) RecordRequest(busy, this->policy, now);
      int taken = 0;
      for (auto& entry : entries) taken += this->ConsumeAllRetries(entry, now, size);
      requests.emplace_back(now, 20);
      retries.emplace_back(now, taken);
    }
    const auto sum_between = [](const auto& counts, core::Time from, core::Time to) {
      int sum = 0;
      for (const auto& [at, count] : counts) sum += at > from && at <= to ? count : 0;
      return sum;
    };
    for (const auto& [end, count] : retries) {
      const auto first = end - seconds(10);
      const auto allowed = 0.2 * std::max(sum_between(requests, first, end),
                                          sum_between(requests, first - seconds(10), first)) +
                           54;
      CPPUNIT_ASSERT(sum_between(retries, first, end) <= allowed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);

}  // namespace
}  // namespace filbertstair::direct
