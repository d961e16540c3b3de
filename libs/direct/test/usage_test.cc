#include "filbertstair/direct/usage.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::direct {
namespace {

class UsageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageTest);
  CPPUNIT_TEST(testLinesAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against log lines that grow with the number of workspaces, and against lines of
  // workspaces that lack nothing.
  auto testLinesAreBounded() -> void {
    UsageTable table;
    table["served"].asked = 900;
    for (int i = 0; i < 20; ++i) {
      auto& usage = table["w" + std::to_string(i)];
      usage.asked = i;
      usage.refused_no_room = 1;
    }
    const auto rows = MostRefused(table, 3);
    CPPUNIT_ASSERT(rows == std::vector<std::string>({"w19", "w18", "w17"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, MostRefused(table, 100).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageTest);

}  // namespace
}  // namespace filbertstair::direct
