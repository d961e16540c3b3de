#include "filbertstair/direct/budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BudgetTest);
  CPPUNIT_TEST(testConstantAndShare);
  CPPUNIT_TEST(testWindowForgets);
  CPPUNIT_TEST(testFleetStaysBelowItsBound);
  CPPUNIT_TEST(testMeasuredUseMatchesTheDecision);
  CPPUNIT_TEST(testBurstsWithinTenSecondsCountTogether);
  CPPUNIT_TEST_SUITE_END();

  const RetryBudgetPolicy policy{};
  const core::Time start{seconds(1000)};

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
    CPPUNIT_ASSERT_EQUAL(5, this->ConsumeAllRetries(budget, this->start));
    for (int i = 0; i < 100; ++i) RecordRequest(budget, this->policy, this->start);
    CPPUNIT_ASSERT_EQUAL(15, this->ConsumeAllRetries(budget, this->start));
  }

  // Guards against retries that count forever, or requests that still count after the window.
  auto testWindowForgets() -> void {
    RetryBudget budget;
    for (int i = 0; i < 100; ++i) RecordRequest(budget, this->policy, this->start);
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
    for (int i = 0; i < 30; ++i) RecordRequest(budget, this->policy, this->start);
    const int taken = this->ConsumeAllRetries(budget, this->start);
    const auto use = MeasureRetryBudget(budget, this->policy, 1, this->start);
    CPPUNIT_ASSERT_EQUAL(static_cast<double>(taken), use.retries);
    CPPUNIT_ASSERT(use.retries <= use.allowed && use.retries + 1 > use.allowed);
  }

  // Guards against retries that are forgotten before the users' window has passed: with buckets of
  // 1 s in a window of 10 s, a burst at the end of a bucket counted for 9 s only.
  auto testBurstsWithinTenSecondsCountTogether() -> void {
    for (int offset_ms = 0; offset_ms < 2000; offset_ms += 10) {
      RetryBudget budget;
      const auto first = this->start + milliseconds(offset_ms);
      this->ConsumeAllRetries(budget, first);
      CPPUNIT_ASSERT_EQUAL(0, this->ConsumeAllRetries(budget, first + milliseconds(9100)));
      CPPUNIT_ASSERT_EQUAL(0, this->ConsumeAllRetries(budget, first + milliseconds(9999)));
    }
  }

 private:
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
