#include "filbertstair/direct/pressure.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PressureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PressureTest);
  CPPUNIT_TEST(testOneLateTimerIsNoOverload);
  CPPUNIT_TEST(testOverloadEndsAfterAPause);
  CPPUNIT_TEST(testLongerDelayRefusesMore);
  CPPUNIT_TEST_SUITE_END();

  const PressurePolicy policy{};
  const core::Time now{seconds(1000)};

 public:
  // Guards against an entry that stays overloaded since each workspace keeps its share.
  auto testLongerDelayRefusesMore() -> void {
    Pressure pressure;
    pressure.delay = this->policy.refuse;
    CPPUNIT_ASSERT_EQUAL(1.0, RefusedShare(pressure, this->policy));
    pressure.delay = this->policy.max_delay;
    CPPUNIT_ASSERT_EQUAL(this->policy.least_share, RefusedShare(pressure, this->policy));
  }

  // Guards against an entry that turns callers away because of one burst, or because it was
  // suspended for a moment.
  auto testOneLateTimerIsNoOverload() -> void {
    Pressure pressure;
    NoteDelay(pressure, this->policy, seconds(20), this->now);
    CPPUNIT_ASSERT(!IsBehind(pressure, this->now));
    CPPUNIT_ASSERT(!MustRefuse(pressure, this->policy));
  }

  // Guards against an entry that stays in rotation while its callers give up, and against one that
  // never comes back or comes back at once.
  auto testOverloadEndsAfterAPause() -> void {
    Pressure pressure;
    for (int i = 0; i < 5; ++i) NoteDelay(pressure, this->policy, milliseconds(800), this->now);
    CPPUNIT_ASSERT(IsBehind(pressure, this->now));
    CPPUNIT_ASSERT(MustRefuse(pressure, this->policy));
    for (int i = 0; i < 9; ++i) NoteDelay(pressure, this->policy, milliseconds(1), this->now);
    CPPUNIT_ASSERT(!MustRefuse(pressure, this->policy));
    CPPUNIT_ASSERT(IsBehind(pressure, this->now + seconds(2)));
    CPPUNIT_ASSERT(!IsBehind(pressure, this->now + seconds(4)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PressureTest);

}  // namespace
}  // namespace filbertstair::direct
