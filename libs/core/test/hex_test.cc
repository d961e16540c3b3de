#include "filbertstair/core/hex.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace filbertstair::core {
namespace {

class HexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HexTest);
  CPPUNIT_TEST(testNumbers);
  CPPUNIT_TEST(testLists);
  CPPUNIT_TEST(testLongListsAreCut);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against ids in log lines that differ from those in requests.
  auto testNumbers() -> void {
    CPPUNIT_ASSERT_EQUAL(std::string("0"), FormatHex(0));
    CPPUNIT_ASSERT_EQUAL(std::string("9c41d07be2a35f68"), FormatHex(0x9c41d07be2a35f68));
    CPPUNIT_ASSERT_EQUAL(std::string(16, 'f'),
                         FormatHex(std::numeric_limits<std::uint64_t>::max()));
  }

  auto testLists() -> void {
    CPPUNIT_ASSERT_EQUAL(std::string(""), FormatHexList({}));
    CPPUNIT_ASSERT_EQUAL(std::string("1,a"), FormatHexList({1, 10}));
  }

  // Guards against log lines as long as a request's header.
  auto testLongListsAreCut() -> void {
    CPPUNIT_ASSERT_EQUAL(std::string("1,2"), FormatHexList({1, 2}, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("1,2,+3"), FormatHexList({1, 2, 3, 4, 5}, 2));
    CPPUNIT_ASSERT_EQUAL(std::string(""), FormatHexList({}, 0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HexTest);

}  // namespace
}  // namespace filbertstair::core
