#include "filbertstair/direct/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(testHostIsComparedWithoutCase);
  CPPUNIT_TEST(testLongestPrefixOfTheHost);
  CPPUNIT_TEST(testWeights);
  CPPUNIT_TEST(testCredentials);
  CPPUNIT_TEST(testRepeatable);
  CPPUNIT_TEST(testCredentialLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusing callers that write a host name in another case (RFC 9110, section
  // 4.2.3). The path keeps its case.
  auto testHostIsComparedWithoutCase() -> void {
    FleetConfig fleet;
    fleet.routes.resize(1);
    fleet.routes[0].host = "Ab9.example";
    fleet.routes[0].prefix = "/x/";
    for (const auto* host : {"ab9.example", "AB9.EXAMPLE", "Ab9.example", "aB9.Example:80"}) {
      CPPUNIT_ASSERT_MESSAGE(host, FindRoute(fleet, host, "/x/1") == &fleet.routes[0]);
      CPPUNIT_ASSERT_MESSAGE(host, FindRoute(fleet, host, "/X/1") == nullptr);
    }
    // Characters that differ from letters in the same bit only.
    for (const auto* host : {"ab9.exampl", "ab9nexample", "ab\x19.example", ""}) {
      CPPUNIT_ASSERT_MESSAGE(host, FindRoute(fleet, host, "/x/1") == nullptr);
    }
  }

  // Guards against serving a request of one host or path by the route of another.
  auto testLongestPrefixOfTheHost() -> void {
    FleetConfig fleet;
    fleet.routes.push_back({.name = "a", .host = "x.example", .prefix = "/a/", .targets = {}});
    fleet.routes.push_back({.name = "ab", .host = "x.example", .prefix = "/a/b/", .targets = {}});
    fleet.routes.push_back({.name = "other", .host = "y.example", .prefix = "/", .targets = {}});
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), FindRoute(fleet, "x.example", "/a/b/c")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), FindRoute(fleet, "x.example:80", "/a/b?q=/a/b/")->name);
    CPPUNIT_ASSERT(FindRoute(fleet, "x.example", "/a") == nullptr);
    CPPUNIT_ASSERT(FindRoute(fleet, "z.example", "/a/") == nullptr);
  }

  // Guards against a split that does not follow the weights, or uses a service with a weight of 0.
  auto testWeights() -> void {
    Route route;
    route.targets = {{"a", 90}, {"b", 10}, {"c", 0}};
    std::map<std::string, int> counts;
    for (std::uint64_t hash = 0; hash < 1000; ++hash) ++counts[PickService(route, hash)];
    CPPUNIT_ASSERT_EQUAL(900, counts["a"]);
    CPPUNIT_ASSERT_EQUAL(100, counts["b"]);
    CPPUNIT_ASSERT_EQUAL(0, counts["c"]);
  }

  auto testCredentials() -> void {
    FleetConfig fleet;
    fleet.credentials["key"] = "w";
    CPPUNIT_ASSERT_EQUAL(std::string("w"), *FindWorkspace(fleet, "key"));
    CPPUNIT_ASSERT(FindWorkspace(fleet, "") == nullptr);
    CPPUNIT_ASSERT(FindWorkspace(fleet, "key ") == nullptr);
  }

  // Guards against running a stream twice that must not be resumed.
  auto testRepeatable() -> void {
    Route route;
    route.call_class = core::CallClass::repeatable;
    CPPUNIT_ASSERT(IsRetryable(route));
    route.call_class = core::CallClass::once;
    CPPUNIT_ASSERT(!IsRetryable(route));
    route.streaming = true;
    CPPUNIT_ASSERT(!IsRetryable(route));
    route.resumable = true;
    CPPUNIT_ASSERT(IsRetryable(route));
  }

  // Guards against a credential that is still accepted 5 s after its revocation.
  auto testCredentialLease() -> void {
    const core::Duration confirmed_at = std::chrono::seconds(100);
    CPPUNIT_ASSERT(RemainingCredentialLease(confirmed_at, confirmed_at + milliseconds(4000)) >
                   milliseconds(0));
    CPPUNIT_ASSERT(RemainingCredentialLease(confirmed_at, confirmed_at + milliseconds(4900)) ==
                   milliseconds(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace
}  // namespace filbertstair::direct
