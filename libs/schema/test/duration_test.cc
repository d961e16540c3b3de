#include "filbertstair/schema/duration.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::schema {
namespace {

class DurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DurationTest);
  CPPUNIT_TEST(testUnits);
  CPPUNIT_TEST(testRefused);
  CPPUNIT_TEST(testFormat);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a wrong conversion factor of a unit.
  auto testUnits() -> void {
    CPPUNIT_ASSERT(ParseDuration("7us") == std::chrono::microseconds(7));
    CPPUNIT_ASSERT(ParseDuration("500ms") == std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(ParseDuration("30s") == std::chrono::seconds(30));
    CPPUNIT_ASSERT(ParseDuration("2m") == std::chrono::minutes(2));
    CPPUNIT_ASSERT(ParseDuration("24h") == std::chrono::hours(24));
    CPPUNIT_ASSERT(ParseDuration("0s") == std::chrono::seconds(0));
  }

  // Guards against accepting a number without a unit, and against overflow.
  auto testRefused() -> void {
    for (const auto* text : {"", "s", "30", "-1s", "+1s", "1.5s", "30 s", " 30s", "30s ", "30S",
                             "30sec", "9223372036854775807h", "99999999999999999999us"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseDuration(text));
    }
  }

  // Guards against a formatted duration that differs from the value in force.
  auto testFormat() -> void {
    CPPUNIT_ASSERT_EQUAL(std::string("0s"), FormatDuration(core::Duration(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("90s"), FormatDuration(std::chrono::seconds(90)));
    for (const std::int64_t count : {1L, 999L, 1'000L, 1'500'000L, 60'000'000L, 3'600'000'000L}) {
      CPPUNIT_ASSERT(ParseDuration(FormatDuration(core::Duration(count))) == core::Duration(count));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DurationTest);

}  // namespace
}  // namespace filbertstair::schema
