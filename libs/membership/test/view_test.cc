#include "filbertstair/membership/view.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::membership {
namespace {

const int kSeed = setenv("RC_PARAMS", "seed=7 max_success=50", 0);

auto Ids(const std::string& prefix, std::size_t count) -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < count; ++i) ids.push_back(prefix + std::to_string(i));
  return ids;
}

// Guards against endpoints that too few entries link to, entries with an unbounded number of links,
// and a fleet that replaces all links when one VM is replaced.
class ViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewTest);
  CPPUNIT_TEST(testFewAreAllLinked);
  CPPUNIT_TEST(testBoundsAtScale);
  CPPUNIT_TEST(testSmallChangeChangesFewLinks);
  CPPUNIT_TEST(testCopiesAreSteady);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testFewAreAllLinked() -> void {
    const auto entries = Ids("e", 3);
    const auto endpoints = Ids("p", 15);
    const auto links_per_endpoint = LinksPerEndpoint(3, 15, 64, 0);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{15},
        SelectLinkedEndpoints("e1", entries, endpoints, links_per_endpoint, 64).size());
    // With two entries, an endpoint gets two links instead of the minimum of three.
    const auto all = SelectLinkedEndpoints("e1", Ids("e", 2), Ids("p", 100),
                                           LinksPerEndpoint(2, 100, 64, 0), 64);
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, all.size());
  }

  auto testBoundsAtScale() -> void {
    const auto entries = Ids("e", 1200);
    const auto endpoints = Ids("p", 10000);
    const auto links_per_endpoint = LinksPerEndpoint(entries.size(), endpoints.size(), 64, 0);
    std::vector<std::size_t> linked(endpoints.size());
    for (const auto& entry : entries) {
      const auto view = SelectLinkedEndpoints(entry, entries, endpoints, links_per_endpoint, 64);
      CPPUNIT_ASSERT(view.size() <= 64);
      for (const auto i : view) ++linked[i];
    }
    const auto [low, high] = std::minmax_element(linked.begin(), linked.end());
    CPPUNIT_ASSERT(*low >= kMinLinksPerEndpoint && *high <= links_per_endpoint);
    const auto order = core::RendezvousOrder(endpoints[5], entries);
    const auto view =
        SelectLinkedEndpoints(entries[order[0]], entries, endpoints, links_per_endpoint, 64);
    CPPUNIT_ASSERT(std::count(view.begin(), view.end(), std::size_t{5}) == 1);
  }

  auto testSmallChangeChangesFewLinks() -> void {
    CPPUNIT_ASSERT(rc::check("a replaced entry or endpoint changes only its own links", [] {
      auto entries = Ids("e", *rc::gen::inRange<std::size_t>(10, 40));
      auto endpoints = Ids("p", *rc::gen::inRange<std::size_t>(100, 300));
      const std::size_t links_per_endpoint = *rc::gen::inRange<std::size_t>(3, 6);
      const auto& self = entries.front();
      const auto view = [&] {
        std::vector<std::string> ids;
        for (const auto i :
             SelectLinkedEndpoints(self, entries, endpoints, links_per_endpoint, 1000)) {
          ids.push_back(endpoints[i]);
        }
        std::sort(ids.begin(), ids.end());
        return ids;
      };
      const auto before = view();
      const auto removed = endpoints.back();
      endpoints.pop_back();
      auto expected = before;
      std::erase(expected, removed);
      RC_ASSERT(view() == expected);
      // When an entry is removed, the others keep all their links and take over the removed ones.
      entries.pop_back();
      const auto after = view();
      RC_ASSERT(std::includes(after.begin(), after.end(), expected.begin(), expected.end()));
      RC_ASSERT(after.size() - expected.size() <= endpoints.size() * links_per_endpoint / 8);
    }));
  }

  auto testCopiesAreSteady() -> void {
    const auto links_per_endpoint = LinksPerEndpoint(1200, 10000, 64, 0);
    CPPUNIT_ASSERT(links_per_endpoint >= kMinLinksPerEndpoint);
    for (std::size_t endpoints = 8500; endpoints <= 11500; endpoints += 100) {
      CPPUNIT_ASSERT_EQUAL(links_per_endpoint,
                           LinksPerEndpoint(1200, endpoints, 64, links_per_endpoint));
    }
    CPPUNIT_ASSERT_EQUAL(kFullMesh, LinksPerEndpoint(10, 64, 64, kFullMesh));
    const auto partial = LinksPerEndpoint(10, 65, 64, kFullMesh);
    CPPUNIT_ASSERT(partial < 10);
    CPPUNIT_ASSERT_EQUAL(partial, LinksPerEndpoint(10, 64, 64, partial));
    CPPUNIT_ASSERT_EQUAL(kFullMesh, LinksPerEndpoint(10, 20, 64, partial));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewTest);

}  // namespace
}  // namespace filbertstair::membership
