#include "filbertstair/direct/pressure.h"

#include <cppunit/extensions/HelperMacros.h>

#include "filbertstair/direct/intake.h"

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PressureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PressureTest);
  CPPUNIT_TEST(testOneLateTimerIsNoOverload);
  CPPUNIT_TEST(testOverloadEndsAfterAPause);
  CPPUNIT_TEST_SUITE_END();

  const PressurePolicy policy{};
  const core::Time now{seconds(1000)};

 public:
  // Guards against an entry that turns callers away because of one burst, or because it was
  // suspended for a moment.
  auto testOneLateTimerIsNoOverload() -> void {
    Pressure pressure;
    NoteDelay(pressure, this->policy, seconds(20), this->now);
    CPPUNIT_ASSERT(!IsBehind(pressure, this->now));
    CPPUNIT_ASSERT(!IsStalled(pressure, this->policy));
    auto intake = MakeIntake({}, 1, this->now - milliseconds(50));
    const double rate = intake.rate;
    Adapt(intake, {}, pressure.delay, this->now);
    CPPUNIT_ASSERT_EQUAL(rate, intake.rate);
  }

  // Guards against an entry that stays in rotation while its callers give up, and against one that
  // never comes back or comes back at once.
  auto testOverloadEndsAfterAPause() -> void {
    Pressure pressure;
    for (int i = 0; i < 5; ++i) NoteDelay(pressure, this->policy, milliseconds(800), this->now);
    CPPUNIT_ASSERT(IsBehind(pressure, this->now));
    CPPUNIT_ASSERT(IsStalled(pressure, this->policy));
    auto intake = MakeIntake({}, 1, this->now - milliseconds(50));
    Adapt(intake, {}, pressure.delay, this->now);
    const double low = intake.rate;
    CPPUNIT_ASSERT_EQUAL(IntakePolicy().least_rate, low);
    for (int i = 0; i < 9; ++i) {
      NoteDelay(pressure, this->policy, milliseconds(1), this->now);
      Adapt(intake, {}, pressure.delay, this->now + milliseconds(50) * (i + 1));
    }
    CPPUNIT_ASSERT(intake.rate > low);
    CPPUNIT_ASSERT(!IsStalled(pressure, this->policy));
    CPPUNIT_ASSERT(IsBehind(pressure, this->now + seconds(2)));
    CPPUNIT_ASSERT(!IsBehind(pressure, this->now + seconds(4)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PressureTest);

}  // namespace
}  // namespace filbertstair::direct
