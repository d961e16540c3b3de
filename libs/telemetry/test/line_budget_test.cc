#include "filbertstair/telemetry/line_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::telemetry {
namespace {

class LineBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineBudgetTest);
  CPPUNIT_TEST(testFloodIsBoundedAndCounted);
  CPPUNIT_TEST(testQuietEventsAreAllWritten);
  CPPUNIT_TEST_SUITE_END();

  const std::chrono::steady_clock::time_point start{std::chrono::seconds(1000)};

 public:
  // Guards against a burst of requests that causes an unbounded number of lines, and against lines
  // that are suppressed without being counted.
  auto testFloodIsBoundedAndCounted() -> void {
    LineBudget budget;
    std::uint64_t written = 0;
    std::uint64_t dropped = 0;
    constexpr int lines = 100000;
    for (int i = 0; i < lines; ++i) {
      const auto line = ConsumeLine(budget, this->start + std::chrono::microseconds(100) * i);
      if (!line) continue;
      ++written;
      dropped += *line;
    }
    CPPUNIT_ASSERT(written <= kLineBurst + 10 * kLinesPerSecond + 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{lines}, written + dropped + budget.dropped);
  }

  auto testQuietEventsAreAllWritten() -> void {
    LineBudget budget;
    for (int i = 0; i < 1000; ++i) {
      CPPUNIT_ASSERT(ConsumeLine(budget, this->start + std::chrono::milliseconds(100) * i));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineBudgetTest);

}  // namespace
}  // namespace filbertstair::telemetry
