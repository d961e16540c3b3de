#include "filbertstair/routing/choose.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace filbertstair::routing {
namespace {

class ChooseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChooseTest);
  CPPUNIT_TEST(testOwnRegionFirst);
  CPPUNIT_TEST(testOtherRegionRatherThanWaiting);
  CPPUNIT_TEST(testUnusableAndTriedAreLeftOut);
  CPPUNIT_TEST(testEqualEndpointsAreSpread);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a remote endpoint being chosen for its free slots while the own region has one.
  auto testOwnRegionFirst() -> void {
    const std::array<EndpointView, 2> views{{{"a", "south", true, 9}, {"b", "north", true, 1}}};
    CPPUNIT_ASSERT(ChooseEndpoint(views, "north", 0, {}) == 1U);
  }

  // Guards against a request waiting while another region has idle capacity.
  auto testOtherRegionRatherThanWaiting() -> void {
    const std::array<EndpointView, 2> views{{{"a", "south", true, 1}, {"b", "north", true, 0}}};
    CPPUNIT_ASSERT(ChooseEndpoint(views, "north", 0, {}) == 0U);
  }

  // Guards against submissions to an unusable endpoint or to one that already failed the request.
  auto testUnusableAndTriedAreLeftOut() -> void {
    const std::array<EndpointView, 2> views{{{"a", "north", false, 5}, {"b", "north", true, 5}}};
    CPPUNIT_ASSERT(!ChooseEndpoint(views, "north", 0, {"b"}));
  }

  // Guards against all requests choosing the same one of several equal endpoints.
  auto testEqualEndpointsAreSpread() -> void {
    const std::array<EndpointView, 2> views{{{"a", "north", true, 5}, {"b", "north", true, 5}}};
    CPPUNIT_ASSERT(ChooseEndpoint(views, "north", 0, {}) != ChooseEndpoint(views, "north", 1, {}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChooseTest);

}  // namespace
}  // namespace filbertstair::routing
