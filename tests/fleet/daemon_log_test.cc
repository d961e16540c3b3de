#include "tests/fleet/daemon_log.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::fleet {
namespace {

// Guards against a change of the daemon's log that leaves the checker without its events.
class DaemonLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonLogTest);
  CPPUNIT_TEST(testEvents);
  CPPUNIT_TEST(testOtherLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testEvents() -> void {
    const auto config = ParseLogLine(
        R"({"time":"1970-01-02T02:00:03.004+02:00","level":"info","process":"e1","event":200,)"
        R"("name":"object_accepted","object":"vms.json","version":"7"})",
        1);
    CPPUNIT_ASSERT(config && config->kind == EventKind::config);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{86'403'004'001}, config->at);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), config->source);
    CPPUNIT_ASSERT_EQUAL(std::string("vms.json"), config->object);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, config->version);
    const std::string head = R"({"time":"1970-01-01T00:00:00.000+00:00","process":"e1","name":)";
    CPPUNIT_ASSERT(ParseLogLine(head + R"("started"})", 0)->kind == EventKind::started);
    CPPUNIT_ASSERT(ParseLogLine(head + R"("stopping"})", 0)->kind == EventKind::leaving);
  }

  auto testOtherLines() -> void {
    CPPUNIT_ASSERT(!ParseLogLine("lock rank violation", 0));
    CPPUNIT_ASSERT(!ParseLogLine("", 0));
    CPPUNIT_ASSERT(!ParseLogLine(R"({"name":"listening"})", 0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonLogTest);

}  // namespace
}  // namespace filbertstair::fleet
