#include "filbertstair/document/calls.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::document {
namespace {

class CallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallsTest);
  CPPUNIT_TEST(testRules);
  CPPUNIT_TEST(testSpelling);
  CPPUNIT_TEST_SUITE_END();

  static auto IsOnce(std::string_view method, std::string_view path) -> bool {
    const Service service{.name = "certificates", .once = {{"POST", "/issue"}, {"*", "/stamps/"}}};
    return ClassifyCall(service, method, path) == core::CallClass::once;
  }

 public:
  auto testRules() -> void {
    CPPUNIT_ASSERT(IsOnce("POST", "/issue"));
    CPPUNIT_ASSERT(IsOnce("POST", "/issue/7?copy=1"));
    CPPUNIT_ASSERT(IsOnce("DELETE", "/stamps/7"));
    CPPUNIT_ASSERT(!IsOnce("GET", "/issue"));
    CPPUNIT_ASSERT(!IsOnce("POST", "/lookup"));
    CPPUNIT_ASSERT(!IsOnce("POST", "/lookup?next=/issue"));
    CPPUNIT_ASSERT(!IsOnce("GET", "/stamps"));
    CPPUNIT_ASSERT(ClassifyCall({}, "POST", "/issue") == core::CallClass::repeatable);
    CPPUNIT_ASSERT(ClassifyCall({.once = {{}}}, "GET", "/") == core::CallClass::once);
  }

  // Guards against an at-most-once call (here: issuing a certificate) that is repeated because an
  // alternative spelling of its path was classified as repeatable.
  auto testSpelling() -> void {
    for (const auto* path :
         {"//issue", "/./issue", "/lookup/../issue", "/%69ssue", "/%2e/issue",
          "/lookup/%2E%2e/issue", "/../issue", "%2fissue", "/issue%", "/issue;a"}) {
      CPPUNIT_ASSERT_MESSAGE(path, IsOnce("POST", path));
    }
    CPPUNIT_ASSERT(IsOnce("post", "/issue"));
    CPPUNIT_ASSERT(IsOnce("GET", "/stamps//"));
    CPPUNIT_ASSERT(IsOnce("GET", "/stamps/."));
    // The target as written is matched too.
    CPPUNIT_ASSERT(IsOnce("POST", "/issue/../lookup"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallsTest);

}  // namespace
}  // namespace filbertstair::document
