#include "filbertstair/direct/links.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <vector>

namespace filbertstair::direct {
namespace {

class LinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinksTest);
  CPPUNIT_TEST(testNoEntryIsLeftOut);
  CPPUNIT_TEST(testOrderDoesNotMatter);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kEntries = 200;
  static constexpr std::size_t kLinks = 24;

  static auto Addresses() -> std::vector<std::string> {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < kEntries; ++i) {
      addresses.push_back("10.0.0." + std::to_string(1000 + i));
    }
    return addresses;
  }

  // Returns the links of an entry that learns the addresses in this order.
  static auto LinksOf(const std::string& self, const std::vector<std::string>& addresses)
      -> std::vector<std::string> {
    std::vector<std::string> linked;
    for (const auto& address : addresses) {
      if (address == self) continue;
      if (linked.size() < kLinks) {
        linked.push_back(address);
      } else if (const auto displaced = FindDisplacedLink(self, linked, address)) {
        *std::find(linked.begin(), linked.end(), *displaced) = address;
      }
    }
    std::sort(linked.begin(), linked.end());
    return linked;
  }

 public:
  // Guards against entries that get updates from few others, take busy replicas for idle ones and
  // give their callers more than their share: all entries learn addresses in the same order.
  auto testNoEntryIsLeftOut() -> void {
    const auto addresses = Addresses();
    std::map<std::string, std::size_t> link_counts;
    for (const auto& self : addresses) {
      const auto linked = LinksOf(self, addresses);
      CPPUNIT_ASSERT_EQUAL(kLinks, linked.size());
      for (const auto& address : linked) ++link_counts[address];
    }
    for (const auto& address : addresses) CPPUNIT_ASSERT(link_counts[address] >= kLinks / 3);
  }

  // Guards against links that are closed and reopened when known addresses are learned again.
  auto testOrderDoesNotMatter() -> void {
    auto addresses = Addresses();
    const auto self = addresses.front();
    const auto linked = LinksOf(self, addresses);
    std::reverse(addresses.begin(), addresses.end());
    CPPUNIT_ASSERT(linked == LinksOf(self, addresses));
    for (const auto& address : addresses) {
      if (address == self || std::count(linked.begin(), linked.end(), address) > 0) continue;
      CPPUNIT_ASSERT(!FindDisplacedLink(self, linked, address));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinksTest);

}  // namespace
}  // namespace filbertstair::direct
