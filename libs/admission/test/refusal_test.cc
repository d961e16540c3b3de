#include "filbertstair/admission/refusal.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::admission {
namespace {

class RefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalTest);
  CPPUNIT_TEST(testOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting not_run or ran to a caller while the attempt may still end either way.
  auto testOutcome() -> void {
    for (const auto& [status, name] : core::kNames<AttemptStatus>) {
      const auto expected = core::ParseName<core::Outcome>(name).value_or(core::Outcome::unknown);
      CPPUNIT_ASSERT(ToOutcome(status) == expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalTest);

}  // namespace
}  // namespace filbertstair::admission
