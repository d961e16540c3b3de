#include "filbertstair/config/object.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::config {
namespace {

// Guards against a hash that differs between builds or ignores the content. Processes would then
// see conflicts between equal objects or miss real ones.
class ObjectTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectTest);
  CPPUNIT_TEST(testHash);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testHash() -> void {
    // XXH64 of the empty string with seed 0, from the specification of the algorithm.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xEF46DB3751D8E999}, ContentHash(""));
    const auto object = MakeObject(ObjectKind::vm_list, "vms", 3, "a");
    CPPUNIT_ASSERT_EQUAL(ContentHash("a"), object->stamp.hash);
    CPPUNIT_ASSERT(MakeObject(ObjectKind::vm_list, "vms", 3, "b")->stamp.hash !=
                   object->stamp.hash);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectTest);

}  // namespace
}  // namespace filbertstair::config
