#include "filbertstair/core/address.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::core {
namespace {

class AddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressTest);
  CPPUNIT_TEST(testRead);
  CPPUNIT_TEST(testRefused);
  CPPUNIT_TEST(testTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an address that is formatted differently from the text it was parsed from.
  auto testRead() -> void {
    for (const auto* text : {"127.0.0.1:0", "127.0.0.1:65535", "[::1]:8080", "10.20.30.40:7"}) {
      const auto address = ParseAddress(text);
      CPPUNIT_ASSERT_MESSAGE(text, address);
      CPPUNIT_ASSERT_EQUAL(std::string(text), FormatAddress(*address));
    }
    CPPUNIT_ASSERT(ParseAddress("[::1]:80") == (Address{"::1", 80}));
    CPPUNIT_ASSERT(ParseAddress("127.0.0.1:0080") == (Address{"127.0.0.1", 80}));
  }

  // Guards against accepting host names, ports that overflow 16 bits, and addresses with other text
  // around them.
  auto testRefused() -> void {
    for (const std::string text : {"",
                                   ":",
                                   "127.0.0.1",
                                   "127.0.0.1:",
                                   "127.0.0.1:65536",
                                   "127.0.0.1:70000",
                                   "127.0.0.1:4294967376",
                                   "127.0.0.1:-1",
                                   "127.0.0.1:+1",
                                   "127.0.0.1:80a",
                                   "127.0.0.1:80 ",
                                   " 127.0.0.1:80",
                                   "127.0.0.1:80\n",
                                   "127.0.0.1:80:81",
                                   "127.0.0:80",
                                   "localhost:80",
                                   "::1:80",
                                   "[::1]",
                                   "[::1]80",
                                   "[[::1]]:80",
                                   "[127.0.0.1]:80",
                                   "[]:80"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseAddress(text));
    }
    CPPUNIT_ASSERT(!ParseAddress(std::string("127.0.0.1\0:80", 13)));
    CPPUNIT_ASSERT(!ParseAddress(std::string("127.0.0.1\0x:80", 14)));
    CPPUNIT_ASSERT(!ParseAddress(std::string("127.0.0.1:80\0", 13)));
  }

  // Guards against connecting to port 0, which always fails.
  auto testTargets() -> void {
    CPPUNIT_ASSERT(ParseConnectAddress("127.0.0.1:1"));
    CPPUNIT_ASSERT(!ParseConnectAddress("127.0.0.1:0"));
    CPPUNIT_ASSERT(!ParseConnectAddress("127.0.0.1:70000"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressTest);

}  // namespace
}  // namespace filbertstair::core
