#include "filbertstair/admission/slots.h"

#include "property.h"

namespace filbertstair::admission {
namespace {

using std::chrono::milliseconds;

class SlotsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotsTest);
  CPPUNIT_TEST(testClaims);
  CPPUNIT_TEST(testLoweredLimit);
  CPPUNIT_TEST(testRequestedLimit);
  CPPUNIT_TEST(testAllowance);
  CPPUNIT_TEST(testCompletionRate);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a submission without a grant that takes a granted slot or overtakes reported
  // demand.
  auto testClaims() -> void {
    const Slots slots{.limit = 4, .running = 1, .staged = 0, .granted = 2};
    CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(slots));
    CPPUNIT_ASSERT(CanAdmitWithoutGrant(slots, false));
    CPPUNIT_ASSERT(!CanAdmitWithoutGrant(slots, true));
    CPPUNIT_ASSERT(
        !CanAdmitWithoutGrant({.limit = 3, .running = 1, .staged = 0, .granted = 2}, false));
    CPPUNIT_ASSERT(CanIssueGrant(slots, 0));
    const Slots full{.limit = 4, .running = 2, .staged = 1, .granted = 1};
    CPPUNIT_ASSERT(!CanIssueGrant(full, 0));
    CPPUNIT_ASSERT(CanIssueGrant(full, 1));
  }

  // Guards against unsigned wraparound that reports billions of free slots after the limit was
  // lowered.
  auto testLoweredLimit() -> void {
    const Slots slots{.limit = 2, .running = 5, .staged = 0, .granted = 0};
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(slots));
    CPPUNIT_ASSERT(!CanStartAttempt(slots));
  }

  // Guards against offering slots of a replica that wants no requests, and against offering all of
  // them at once when it wants some again.
  auto testRequestedLimit() -> void {
    Slots slots{.limit = 8, .running = 0, .staged = 0, .granted = 0, .requested_limit = 0};
    RaiseRequestedLimit(slots);
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(slots));
    CPPUNIT_ASSERT(!CanStartAttempt(slots));
    CPPUNIT_ASSERT(!CanIssueGrant(slots, 4));
    CPPUNIT_ASSERT(!CanAdmitWithoutGrant(slots, false));
    slots.requested_limit = 1;
    for (const std::uint32_t expected : {1, 2, 4, 8}) {
      CPPUNIT_ASSERT_EQUAL(expected, FreeSlots(slots));
      RaiseRequestedLimit(slots);
    }
    CPPUNIT_ASSERT_EQUAL(kNoRequestedLimit, slots.requested_limit);
    CPPUNIT_ASSERT(CanIssueGrant({.limit = 1, .running = 1, .staged = 0, .granted = 0}, 1));
  }

  // Guards against slots that idle for a round trip after each completion, and against requests
  // that are sent to an endpoint long before it can run them.
  auto testAllowance() -> void {
    const Slots slots{.limit = 16, .running = 16, .staged = 0, .granted = 0};
    CPPUNIT_ASSERT_EQUAL(0U, GrantAllowance(slots, 0, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(0U, GrantAllowance(slots, 1.6, milliseconds(1)));
    CPPUNIT_ASSERT_EQUAL(1U, GrantAllowance(slots, 320, milliseconds(1)));
    CPPUNIT_ASSERT_EQUAL(6U, GrantAllowance(slots, 40, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(16U, GrantAllowance(slots, 10000, milliseconds(100)));
  }

  // Guards against a completion rate that stays high after completions stop.
  auto testCompletionRate() -> void {
    CompletionRate rate;
    for (int i = 0; i < 1000; ++i) ObserveCompletion(rate, At(i * 0.1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, CompletionsPerSecond(rate, At(99.9)), 1.0);
    CPPUNIT_ASSERT(CompletionsPerSecond(rate, At(200)) < 0.01);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotsTest);

}  // namespace
}  // namespace filbertstair::admission
