#include "filbertstair/direct/usage.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::direct {
namespace {

class UsageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageTest);
  CPPUNIT_TEST(testLinesAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against log output that grows with the number of workspaces, and against the omission of
  // a workspace whose requests started after its last request arrived.
  auto testLinesAreBounded() -> void {
    UsageTable table;
    table["begun"].started = 900;
    for (int i = 0; i < 20; ++i) table["w" + std::to_string(i)].requested = i;
    const auto rows = MostActiveWorkspaces(table, 3);
    CPPUNIT_ASSERT(rows == std::vector<std::string>({"begun", "w19", "w18"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{21}, MostActiveWorkspaces(table, 100).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageTest);

}  // namespace
}  // namespace filbertstair::direct
