#include "filbertstair/routing/retry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::routing {
namespace {

using core::CallClass;
using core::Outcome;
using core::Reason;

constexpr document::Retries kRules{0.1, 3};

auto Decide(CallClass call_class, const Failure& failure, std::uint32_t attempts = 1)
    -> RetryVerdict {
  RetryTable table;
  return DecideRetry(table, "s", "w", kRules, call_class, attempts, failure);
}

class RetryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryTest);
  CPPUNIT_TEST(testOnceCallsNeedProof);
  CPPUNIT_TEST(testNothingIsRepeatedAfterItRan);
  CPPUNIT_TEST(testNothingIsRepeatedAfterTheAnswerBegan);
  CPPUNIT_TEST(testFinalRefusalsAreNotRepeated);
  CPPUNIT_TEST(testRetriesStayWithinTheBudget);
  CPPUNIT_TEST(testDrainingEndpointCostsNoBudget);
  CPPUNIT_TEST(testBudgetsAreSeparate);
  CPPUNIT_TEST(testNotRunNeedsProofForEveryAttempt);
  CPPUNIT_TEST(testBackoffIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a refusal that reports `not_run` although an earlier attempt ran before its
  // connection was cut (fleet_faults, scenario repeat_key, seed 173).
  auto testNotRunNeedsProofForEveryAttempt() -> void {
    CPPUNIT_ASSERT(CombineOutcomes(Outcome::not_run, Outcome::not_run) == Outcome::not_run);
    CPPUNIT_ASSERT(CombineOutcomes(Outcome::unknown, Outcome::not_run) == Outcome::unknown);
    CPPUNIT_ASSERT(CombineOutcomes(Outcome::ran, Outcome::not_run) == Outcome::ran);
    CPPUNIT_ASSERT(CombineOutcomes(Outcome::not_run, Outcome::unknown) == Outcome::unknown);
    CPPUNIT_ASSERT(CombineOutcomes(Outcome::unknown, Outcome::ran) == Outcome::ran);
  }

  // Guards against executing a call twice that must run at most once.
  auto testOnceCallsNeedProof() -> void {
    const Failure unknown{Reason::connection_lost, Outcome::unknown, false};
    const Failure not_run{Reason::connection_lost, Outcome::not_run, false};
    CPPUNIT_ASSERT(Decide(CallClass::once, unknown) == RetryVerdict::not_allowed);
    CPPUNIT_ASSERT(Decide(CallClass::once, not_run) == RetryVerdict::retry);
    CPPUNIT_ASSERT(Decide(CallClass::repeatable, unknown) == RetryVerdict::retry);
  }

  // Guards against executing a call again after it is known to have run.
  auto testNothingIsRepeatedAfterItRan() -> void {
    const Failure ran{Reason::connection_lost, Outcome::ran, false};
    CPPUNIT_ASSERT(Decide(CallClass::once, ran) == RetryVerdict::not_allowed);
    CPPUNIT_ASSERT(Decide(CallClass::repeatable, ran) == RetryVerdict::not_allowed);
  }

  // Guards against an answer composed of the output of two executions.
  auto testNothingIsRepeatedAfterTheAnswerBegan() -> void {
    const Failure begun{Reason::connection_lost, Outcome::unknown, true};
    CPPUNIT_ASSERT(Decide(CallClass::repeatable, begun) == RetryVerdict::not_allowed);
  }

  // Guards against retries after refusals that every endpoint would repeat.
  auto testFinalRefusalsAreNotRepeated() -> void {
    for (const auto reason : {Reason::deadline_exceeded, Reason::key_repeated,
                              Reason::key_history_lost, Reason::unknown_workspace}) {
      CPPUNIT_ASSERT(Decide(CallClass::repeatable, {reason, Outcome::not_run, false}) ==
                     RetryVerdict::not_allowed);
    }
  }

  // Guards against retries that multiply the load during an outage. If all requests fail, the
  // number of retries stays within the budget's share of first attempts.
  auto testRetriesStayWithinTheBudget() -> void {
    RetryTable table;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
      RecordFirstAttempt(table, "s", "w", kRules);
      for (std::uint32_t attempts = 1;; ++attempts) {
        const Failure failure{Reason::endpoint_unreachable, Outcome::not_run, false};
        const auto verdict =
            DecideRetry(table, "s", "w", kRules, CallClass::repeatable, attempts, failure);
        if (verdict != RetryVerdict::retry) break;
        ++retries;
      }
    }
    CPPUNIT_ASSERT(retries <= 100 + static_cast<int>(kInitialRetryTokens));
    CPPUNIT_ASSERT(retries >= 90);
  }

  // Guards against calls that fail because refusals of a draining endpoint process, which come
  // before the entry knows of its state, have used up the retry budget.
  auto testDrainingEndpointCostsNoBudget() -> void {
    RetryTable table;
    const Failure failure{Reason::draining, Outcome::not_run, false};
    for (int i = 0; i < 1000; ++i) {
      CPPUNIT_ASSERT(DecideRetry(table, "s", "w", kRules, CallClass::once, 1, failure) ==
                     RetryVerdict::retry);
    }
    CPPUNIT_ASSERT(DecideRetry(table, "s", "w", kRules, CallClass::once, kRules.max_attempts,
                               failure) == RetryVerdict::too_many);
  }

  // Guards against one workspace using up the retry budget of another.
  auto testBudgetsAreSeparate() -> void {
    RetryTable table;
    const Failure failure{Reason::endpoint_unreachable, Outcome::not_run, false};
    while (DecideRetry(table, "s", "a", kRules, CallClass::once, 1, failure) ==
           RetryVerdict::retry) {
    }
    CPPUNIT_ASSERT(DecideRetry(table, "s", "b", kRules, CallClass::once, 1, failure) ==
                   RetryVerdict::retry);
  }

  // Guards against an overflow or an unbounded delay after many attempts.
  auto testBackoffIsBounded() -> void {
    CPPUNIT_ASSERT(Backoff(1, 0) == core::Duration(0));
    for (std::uint32_t attempts = 1; attempts < 100; ++attempts) {
      CPPUNIT_ASSERT(Backoff(attempts, 0.999) <= kBackoffMax);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

}  // namespace
}  // namespace filbertstair::routing
