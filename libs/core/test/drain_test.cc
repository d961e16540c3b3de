#include "filbertstair/core/drain.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(testRequestThatOutlastsTheProcess);
  CPPUNIT_TEST(testFirstRequestsOfAKind);
  CPPUNIT_TEST(testOnceCallsNeedMoreTime);
  CPPUNIT_TEST(testLargerRequestsTakeLonger);
  CPPUNIT_TEST(testOldDurationsAreForgotten);
  CPPUNIT_TEST(testProcessWithoutAnEnd);
  CPPUNIT_TEST_SUITE_END();

  const DrainPolicy policy{};
  const Time now{seconds(1000)};

  auto MayBeginIn(const Durations& durations, const Prospect& prospect, Duration left) const
      -> bool {
    return MayBegin(this->policy, durations, prospect, this->now, this->now + left);
  }

 public:
  // Guards against taking a request that the end of the process cuts, and against turning away one
  // that ends in time.
  auto testRequestThatOutlastsTheProcess() -> void {
    Durations durations;
    for (int i = 0; i < 50; ++i) NoteDuration(durations, seconds(2), 0);
    const Prospect prospect{.remaining = seconds(15)};
    CPPUNIT_ASSERT(this->MayBeginIn(durations, prospect, milliseconds(2500)));
    CPPUNIT_ASSERT(!this->MayBeginIn(durations, prospect, milliseconds(2100)));
    CPPUNIT_ASSERT(!this->MayBeginIn(durations, prospect, milliseconds(-1)));
    // Its own deadline ends it before the process does.
    const Prospect urgent{.remaining = seconds(1)};
    CPPUNIT_ASSERT(this->MayBeginIn(durations, urgent, milliseconds(1300)));
  }

  // Guards against an unknown duration that is taken for a short one.
  auto testFirstRequestsOfAKind() -> void {
    const Prospect stated{.objective = seconds(1), .remaining = seconds(15)};
    CPPUNIT_ASSERT(this->MayBeginIn({}, stated, milliseconds(1300)));
    CPPUNIT_ASSERT(!this->MayBeginIn({}, stated, milliseconds(1100)));
    const Prospect unstated{.remaining = seconds(15)};
    CPPUNIT_ASSERT(!this->MayBeginIn({}, unstated, seconds(15)));
    CPPUNIT_ASSERT(this->MayBeginIn({}, unstated, seconds(16)));
  }

  // Guards against losing a call that may not be repeated because it took longer than the mean.
  auto testOnceCallsNeedMoreTime() -> void {
    Durations durations;
    for (int i = 0; i < 50; ++i) NoteDuration(durations, milliseconds(i % 2 == 0 ? 500 : 1500), 0);
    Prospect prospect{.remaining = seconds(15)};
    CPPUNIT_ASSERT(!this->MayBeginIn(durations, prospect, milliseconds(2700)));
    prospect.call_class = CallClass::repeatable;
    CPPUNIT_ASSERT(this->MayBeginIn(durations, prospect, milliseconds(2700)));
  }

  // Guards against a long generation that is expected to last as long as the short ones before it,
  // and against a size that overflows.
  auto testLargerRequestsTakeLonger() -> void {
    Durations durations;
    for (int i = 0; i < 50; ++i) NoteDuration(durations, seconds(1), 100);
    Prospect prospect{.remaining = seconds(15), .size = 100};
    CPPUNIT_ASSERT(this->MayBeginIn(durations, prospect, seconds(2)));
    prospect.size = 400;
    CPPUNIT_ASSERT(!this->MayBeginIn(durations, prospect, seconds(2)));
    CPPUNIT_ASSERT(this->MayBeginIn(durations, prospect, seconds(5)));
    prospect.size = 1e300;
    CPPUNIT_ASSERT(this->MayBeginIn(durations, prospect, seconds(16)));
  }

  // Guards against one slow start that keeps requests away for good.
  auto testOldDurationsAreForgotten() -> void {
    Durations durations;
    NoteDuration(durations, seconds(10), 0);
    for (int i = 0; i < 50; ++i) NoteDuration(durations, milliseconds(100), 0);
    CPPUNIT_ASSERT(this->MayBeginIn(durations, {.remaining = seconds(15)}, seconds(1)));
  }

  // Guards against refusals by a process that drains but is not being stopped, whose end is the
  // latest time there is.
  auto testProcessWithoutAnEnd() -> void {
    const Prospect prospect{.remaining = std::chrono::hours(24)};
    CPPUNIT_ASSERT(MayBegin(this->policy, {}, prospect, this->now, Time::max()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace filbertstair::core
