#include "tests/soak/plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/soak/shorten.h"

namespace filbertstair::soak {
namespace {

auto DrawnPlan(std::uint64_t seed) -> Plan {
  Plan plan;
  plan.seed = seed;
  return DrawFaults(plan);
}

auto Has(const Plan& plan, FaultKind kind) -> bool {
  return std::any_of(plan.faults.begin(), plan.faults.end(),
                     [kind](const Fault& fault) { return fault.kind == kind; });
}

class PlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlanTest);
  CPPUNIT_TEST(testFormatIsReadBack);
  CPPUNIT_TEST(testOtherTextIsRefused);
  CPPUNIT_TEST(testEqualSeedsGiveEqualPlans);
  CPPUNIT_TEST(testFaultsLieInTheTraffic);
  CPPUNIT_TEST(testProfileDrawsSeriesOfOneKind);
  CPPUNIT_TEST(testSmallerPlansBeginWithHalves);
  CPPUNIT_TEST(testSmallerPlansKeepOneReplicaOfEachService);
  CPPUNIT_TEST(testShorteningKeepsWhatFails);
  CPPUNIT_TEST(testShorteningEndsAfterItsPlays);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A plan that is kept must play the same faults again, and keep its cause.
  auto testFormatIsReadBack() -> void {
    auto plan = DrawnPlan(7);
    plan.traffic_ms = 12'345;
    plan.entries = 5;
    plan.replicas = 6;
    plan.callers = 70;
    CPPUNIT_ASSERT(ParsePlan(FormatPlan(plan)) == plan);
    plan.cause = "a \"quoted\" cause";
    CPPUNIT_ASSERT(ParsePlan(FormatPlan(plan)) == plan);
    plan.faults.clear();
    CPPUNIT_ASSERT(ParsePlan(FormatPlan(plan)) == plan);
  }

  // A misspelt fault must not be skipped, or a regression would play nothing.
  auto testOtherTextIsRefused() -> void {
    CPPUNIT_ASSERT_THROW(ParsePlan("no plan"), std::exception);
    CPPUNIT_ASSERT_THROW(ParsePlan("{}"), std::exception);
    auto text = FormatPlan(DrawnPlan(7));
    const auto at = text.find("\"kind\":\"") + 8;
    text.insert(at, "no_");
    CPPUNIT_ASSERT_THROW(ParsePlan(text), std::exception);
  }

  auto testEqualSeedsGiveEqualPlans() -> void {
    CPPUNIT_ASSERT(DrawnPlan(7) == DrawnPlan(7));
    CPPUNIT_ASSERT(DrawnPlan(7).faults != DrawnPlan(8).faults);
  }

  // Faults after the traffic would test nothing.
  auto testFaultsLieInTheTraffic() -> void {
    const auto plan = DrawnPlan(7);
    CPPUNIT_ASSERT(!plan.faults.empty());
    for (const auto& fault : plan.faults) {
      CPPUNIT_ASSERT(fault.at_ms >= 0 && fault.for_ms > 0);
      CPPUNIT_ASSERT(fault.at_ms + fault.for_ms < plan.traffic_ms);
    }
  }

  // Guards against plans with a profile in which no two entries are hit within one window.
  auto testProfileDrawsSeriesOfOneKind() -> void {
    Plan plan;
    plan.seed = 7;
    plan.traffic_ms = 60'000;
    plan.profile = "p.yaml";
    plan = DrawFaults(plan);
    CPPUNIT_ASSERT(ParsePlan(FormatPlan(plan)) == plan);
    int followed = 0;
    for (const auto& first : plan.faults) {
      CPPUNIT_ASSERT(first.at_ms + first.for_ms < plan.traffic_ms);
      followed += static_cast<int>(
          std::any_of(plan.faults.begin(), plan.faults.end(), [&](const Fault& next) {
            return next.kind == first.kind && next.target == first.target + 1 &&
                   next.at_ms > first.at_ms && next.at_ms - first.at_ms < 1300;
          }));
    }
    CPPUNIT_ASSERT(2 * followed > static_cast<int>(plan.faults.size()));
  }

  auto testSmallerPlansBeginWithHalves() -> void {
    const auto plan = DrawnPlan(7);
    const auto smaller = SmallerPlans(plan);
    CPPUNIT_ASSERT(smaller.size() > plan.faults.size() + 2);
    const auto half = plan.faults.size() / 2;
    CPPUNIT_ASSERT_EQUAL(half, smaller[0].faults.size());
    CPPUNIT_ASSERT_EQUAL(plan.faults.size() - half, smaller[1].faults.size());
    for (std::size_t i = 0; i < plan.faults.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(plan.faults.size() - 1, smaller[i + 2].faults.size());
    }
    for (const auto& other : smaller) CPPUNIT_ASSERT(other != plan);
  }

  // Without an application replica, most requests would be refused and nothing be tested.
  auto testSmallerPlansKeepOneReplicaOfEachService() -> void {
    Plan plan;
    plan.entries = 1;
    plan.replicas = 2;
    plan.callers = 1;
    plan.traffic_ms = 1000;
    CPPUNIT_ASSERT(SmallerPlans(plan).empty());
  }

  // A run that fails for two of 26 faults together at two entries is shortened to just these.
  auto testShorteningKeepsWhatFails() -> void {
    auto plan = DrawnPlan(7);
    plan.faults[3].kind = FaultKind::terminate_frozen;
    plan.faults[20].kind = FaultKind::delay_callers;
    const auto fails = [](const Plan& tried) {
      return Has(tried, FaultKind::terminate_frozen) && Has(tried, FaultKind::delay_callers) &&
             tried.entries >= 2;
    };
    CPPUNIT_ASSERT(fails(plan));
    const auto shortest = ShortenPlan(plan, 1000, fails);
    CPPUNIT_ASSERT(fails(shortest));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, shortest.faults.size());
    CPPUNIT_ASSERT_EQUAL(2, shortest.entries);
    CPPUNIT_ASSERT_EQUAL(2, shortest.replicas);
    CPPUNIT_ASSERT_EQUAL(1, shortest.callers);
    CPPUNIT_ASSERT(shortest.traffic_ms < plan.traffic_ms);
    CPPUNIT_ASSERT_EQUAL(1000, shortest.faults.front().at_ms);
  }

  auto testShorteningEndsAfterItsPlays() -> void {
    int plays = 0;
    const auto plan = DrawnPlan(7);
    const auto holds = [&](const Plan&) {
      ++plays;
      return false;
    };
    CPPUNIT_ASSERT(ShortenPlan(plan, 5, holds) == plan);
    CPPUNIT_ASSERT_EQUAL(5, plays);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanTest);

}  // namespace
}  // namespace filbertstair::soak
