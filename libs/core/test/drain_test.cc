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

  auto CanFinishWithin(const DurationStats& stats, const RequestProfile& request,
                       Duration left) const -> bool {
    return CanFinishBeforeExit(this->policy, stats, request, this->now, this->now + left);
  }

 public:
  // Guards against starting a request that the exit of the process interrupts, and against refusing
  // one that ends in time.
  auto testRequestThatOutlastsTheProcess() -> void {
    DurationStats stats;
    for (int i = 0; i < 50; ++i) RecordDuration(stats, seconds(2), 0);
    const RequestProfile request{.remaining = seconds(15)};
    CPPUNIT_ASSERT(this->CanFinishWithin(stats, request, milliseconds(2500)));
    CPPUNIT_ASSERT(!this->CanFinishWithin(stats, request, milliseconds(2100)));
    CPPUNIT_ASSERT(!this->CanFinishWithin(stats, request, milliseconds(-1)));
    // The request's deadline passes before the process exits.
    const RequestProfile urgent{.remaining = seconds(1)};
    CPPUNIT_ASSERT(this->CanFinishWithin(stats, urgent, milliseconds(1300)));
  }

  // Guards against an unknown duration being treated as a short one.
  auto testFirstRequestsOfAKind() -> void {
    const RequestProfile stated{.objective = seconds(1), .remaining = seconds(15)};
    CPPUNIT_ASSERT(this->CanFinishWithin({}, stated, milliseconds(1300)));
    CPPUNIT_ASSERT(!this->CanFinishWithin({}, stated, milliseconds(1100)));
    const RequestProfile unstated{.remaining = seconds(15)};
    CPPUNIT_ASSERT(!this->CanFinishWithin({}, unstated, seconds(15)));
    CPPUNIT_ASSERT(this->CanFinishWithin({}, unstated, seconds(16)));
  }

  // Guards against losing a call that must not be retried because it took longer than the mean.
  auto testOnceCallsNeedMoreTime() -> void {
    DurationStats stats;
    for (int i = 0; i < 50; ++i) RecordDuration(stats, milliseconds(i % 2 == 0 ? 500 : 1500), 0);
    RequestProfile request{.remaining = seconds(15)};
    CPPUNIT_ASSERT(!this->CanFinishWithin(stats, request, milliseconds(2700)));
    request.call_class = CallClass::repeatable;
    CPPUNIT_ASSERT(this->CanFinishWithin(stats, request, milliseconds(2700)));
  }

  // Guards against estimating a long generation from the duration of short ones, and against an
  // overflow for huge sizes.
  auto testLargerRequestsTakeLonger() -> void {
    DurationStats stats;
    for (int i = 0; i < 50; ++i) RecordDuration(stats, seconds(1), 100);
    RequestProfile request{.remaining = seconds(15), .size = 100};
    CPPUNIT_ASSERT(this->CanFinishWithin(stats, request, seconds(2)));
    request.size = 400;
    CPPUNIT_ASSERT(!this->CanFinishWithin(stats, request, seconds(2)));
    CPPUNIT_ASSERT(this->CanFinishWithin(stats, request, seconds(5)));
    request.size = 1e300;
    CPPUNIT_ASSERT(this->CanFinishWithin(stats, request, seconds(16)));
  }

  // Guards against one slow early request raising the estimate permanently.
  auto testOldDurationsAreForgotten() -> void {
    DurationStats stats;
    RecordDuration(stats, seconds(10), 0);
    for (int i = 0; i < 50; ++i) RecordDuration(stats, milliseconds(100), 0);
    CPPUNIT_ASSERT(this->CanFinishWithin(stats, {.remaining = seconds(15)}, seconds(1)));
  }

  // Guards against refusals by a process that drains without being stopped; its end is Time::max().
  auto testProcessWithoutAnEnd() -> void {
    const RequestProfile request{.remaining = std::chrono::hours(24)};
    CPPUNIT_ASSERT(CanFinishBeforeExit(this->policy, {}, request, this->now, Time::max()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace filbertstair::core
