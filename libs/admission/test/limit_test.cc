#include "filbertstair/admission/limit.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "property.h"

namespace filbertstair::admission {
namespace {

// Replica whose throughput rises with the number of requests in flight up to `knee`. `noise` is the
// relative standard deviation of the work done in one second; `queues` tells whether the engine
// reports waiting requests beyond the knee.
struct Replica {
  double knee = 8;
  double noise = 0.1;
  bool queues = false;
};

// Runs the search against a replica for the given number of seconds and returns the final state.
// `in_flight_share` is the share of the limit that the demand fills.
auto Search(const Replica& replica, const LimitPolicy& policy, LimitState state, int seconds,
            double in_flight_share = 1.0) -> LimitState {
  std::mt19937 random(7);  // NOLINT(bugprone-random-generator-seed): repeatable
  std::normal_distribution<double> normal(1.0, replica.noise);
  auto limit = policy.max_slots;
  for (int second = 1; second <= seconds; ++second) {
    const auto in_flight = std::floor(limit * in_flight_share);
    ObserveInFlight(state, static_cast<std::uint32_t>(in_flight), At(second - 1));
    ObserveWork(state, 100 * std::min(in_flight, replica.knee) * std::max(0.1, normal(random)));
    if (replica.queues) ObserveLoadReport(state, in_flight > replica.knee ? 1 : 0);
    limit = UpdateLimit(policy, state, At(second));
    CPPUNIT_ASSERT(limit >= policy.min_slots && limit <= policy.max_slots);
  }
  return state;
}

class LimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitTest);
  CPPUNIT_TEST(testFallsToTheKnee);
  CPPUNIT_TEST(testRisesToTheKnee);
  CPPUNIT_TEST(testStaysAtTheBoundWhileThroughputRises);
  CPPUNIT_TEST(testIgnoresUnsaturatedPeriods);
  CPPUNIT_TEST(testLoadReportPreventsRise);
  CPPUNIT_TEST(testFollowsChangedBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a limit so high that requests only queue inside the replica. After one hour of
  // noisy measurements the limit must be near the knee.
  auto testFallsToTheKnee() -> void {
    const LimitPolicy policy{.min_slots = 1, .max_slots = 32};
    for (const auto knee : {4.0, 8.0, 20.0}) {
      const auto start = MakeLimitState(policy, At(0));
      CPPUNIT_ASSERT_EQUAL(32U, start.limit);
      const auto state = Search({.knee = knee, .noise = 0.1, .queues = false}, policy, start, 3600);
      CPPUNIT_ASSERT(state.limit >= 0.75 * knee);
      CPPUNIT_ASSERT(state.limit <= 1.5 * knee);
    }
  }

  // Guards against a limit that stays low although the replica has capacity for more requests.
  auto testRisesToTheKnee() -> void {
    const LimitPolicy policy{.min_slots = 1, .max_slots = 32};
    auto start = MakeLimitState(policy, At(0));
    start.limit = 4;
    const auto state = Search({.knee = 16, .noise = 0.1, .queues = false}, policy, start, 3600);
    CPPUNIT_ASSERT(state.limit >= 12);
  }

  // Guards against noise that lowers the limit although every additional request raises throughput.
  auto testStaysAtTheBoundWhileThroughputRises() -> void {
    const LimitPolicy policy{.min_slots = 1, .max_slots = 16};
    const auto state = Search({.knee = 100, .noise = 0.1, .queues = false}, policy,
                              MakeLimitState(policy, At(0)), 3600);
    CPPUNIT_ASSERT_EQUAL(16U, state.limit);
  }

  // Guards against low demand being mistaken for a replica whose throughput does not rise with more
  // requests.
  auto testIgnoresUnsaturatedPeriods() -> void {
    const LimitPolicy policy{.min_slots = 1, .max_slots = 16};
    const auto state = Search({}, policy, MakeLimitState(policy, At(0)), 3600, 0.5);
    CPPUNIT_ASSERT_EQUAL(16U, state.limit);
  }

  // Guards against raising the limit while the engine reports waiting requests.
  auto testLoadReportPreventsRise() -> void {
    const LimitPolicy policy{.min_slots = 8, .max_slots = 32};
    auto start = MakeLimitState(policy, At(0));
    start.limit = 8;
    const auto state = Search({.knee = 4, .noise = 0.5, .queues = true}, policy, start, 3600);
    CPPUNIT_ASSERT_EQUAL(8U, state.limit);
  }

  // Guards against a limit outside the bounds of an updated service document.
  auto testFollowsChangedBounds() -> void {
    auto state = MakeLimitState({.min_slots = 1, .max_slots = 16}, At(0));
    CPPUNIT_ASSERT_EQUAL(4U, UpdateLimit({.min_slots = 1, .max_slots = 4}, state, At(1)));
    CPPUNIT_ASSERT_EQUAL(8U, UpdateLimit({.min_slots = 8, .max_slots = 8}, state, At(2)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitTest);

}  // namespace
}  // namespace filbertstair::admission
