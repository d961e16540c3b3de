#include "filbertstair/core/names.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "filbertstair/core/error.h"
#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"

namespace filbertstair::core {
namespace {

// Guards against missing, duplicate or misplaced rows in the name and status tables, which would
// report a wrong reason to callers.
class NamesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NamesTest);
  CPPUNIT_TEST(testRoundTrip);
  CPPUNIT_TEST(testUnknownName);
  CPPUNIT_TEST(testEveryReasonHasAStatus);
  CPPUNIT_TEST_SUITE_END();

  template <typename E>
  static auto CheckTable() -> void {
    std::set<std::string_view> seen;
    int expected = 0;
    for (const auto& [value, name] : kNames<E>) {
      CPPUNIT_ASSERT_EQUAL(expected++, static_cast<int>(value));
      CPPUNIT_ASSERT(seen.insert(name).second);
      CPPUNIT_ASSERT(ParseName<E>(name) == value);
      CPPUNIT_ASSERT(Name(value) == name);
    }
  }

 public:
  auto testRoundTrip() -> void {
    CheckTable<Role>();
    CheckTable<Outcome>();
    CheckTable<CallClass>();
    CheckTable<Scheme>();
    CheckTable<Reason>();
    CheckTable<RetryReason>();
    CheckTable<Step>();
  }

  auto testUnknownName() -> void { CPPUNIT_ASSERT(!ParseName<Role>("router")); }

  auto testEveryReasonHasAStatus() -> void {
    for (std::size_t i = 0; i < kNames<Reason>.size(); ++i) {
      CPPUNIT_ASSERT(kNames<Reason>[i].first == kHttpStatus[i].first);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NamesTest);

}  // namespace
}  // namespace filbertstair::core
