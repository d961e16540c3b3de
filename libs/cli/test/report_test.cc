#include "filbertstair/cli/report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/json/serialize.hpp>

namespace filbertstair::cli {
namespace {

class ReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(testRender);
  CPPUNIT_TEST(testExitStatus);
  CPPUNIT_TEST(testJson);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testRender() -> void {
    const CommandReport report{ExitStatus::done, {"a", "b"}, {{"x", "\"1\n"}}};
    CPPUNIT_ASSERT_EQUAL(std::string("a\nb\n"), Render(report, OutputFormat::text));
    CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":\"\\\"1\\n\"}\n"), Render(report, OutputFormat::json));
    CPPUNIT_ASSERT_EQUAL(std::string(), Render({}, OutputFormat::text));
  }

  // Guards against changes of the numeric exit status, on which scripts rely.
  auto testExitStatus() -> void {
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(ExitStatus::done));
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(ExitStatus::refused));
    CPPUNIT_ASSERT_EQUAL(2, static_cast<int>(ExitStatus::usage));
  }

  auto testJson() -> void {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"file":"a","line":2,"field":"f","found":"x","allowed":"y"})"),
        boost::json::serialize(ToJson(schema::Problem{"a", 2, "f", "x", "y"})));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"step":"read","peer":"a","message":"read a: m"})"),
                         boost::json::serialize(ToJson(core::Error(core::Step::read, "a", "m"))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

}  // namespace
}  // namespace filbertstair::cli
