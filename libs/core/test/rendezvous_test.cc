#include "filbertstair/core/rendezvous.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace filbertstair::core {
namespace {

auto Ids(int count) -> std::vector<std::string> {
  std::vector<std::string> ids;
  ids.reserve(count);
  for (int i = 0; i < count; ++i) ids.push_back("endpoint-" + std::to_string(i));
  return ids;
}

class RendezvousTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RendezvousTest);
  CPPUNIT_TEST(testOwnerIsFirstOfOrder);
  CPPUNIT_TEST(testListOrderIsIrrelevant);
  CPPUNIT_TEST(testRemovalMovesOnlyItsKeys);
  CPPUNIT_TEST(testKeysAreSpread);
  CPPUNIT_TEST(testStableOverReleases);
  CPPUNIT_TEST(testNoIds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against RendezvousOwner and RendezvousOrder naming different owners of a key.
  auto testOwnerIsFirstOfOrder() -> void {
    const auto ids = Ids(17);
    for (int i = 0; i < 100; ++i) {
      const auto key = "key-" + std::to_string(i);
      const auto order = RendezvousOrder(key, ids);
      CPPUNIT_ASSERT_EQUAL(ids.size(), order.size());
      CPPUNIT_ASSERT_EQUAL(order[0], RendezvousOwner(key, ids));
    }
  }

  // Guards against two processes choosing different owners because their lists are ordered
  // differently.
  auto testListOrderIsIrrelevant() -> void {
    const auto ids = Ids(17);
    auto reversed = ids;
    std::reverse(reversed.begin(), reversed.end());
    for (int i = 0; i < 100; ++i) {
      const auto key = "key-" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(ids[RendezvousOwner(key, ids)],
                           reversed[RendezvousOwner(key, reversed)]);
    }
  }

  // Guards against the removal of one endpoint moving keys of the others. Otherwise each
  // replacement of a VM would cause answers with an unknown outcome for keys that the VM never
  // owned.
  auto testRemovalMovesOnlyItsKeys() -> void {
    const auto ids = Ids(17);
    auto fewer = ids;
    fewer.erase(fewer.begin() + 5);
    for (int i = 0; i < 500; ++i) {
      const auto key = "key-" + std::to_string(i);
      const auto order = RendezvousOrder(key, ids);
      const auto expected = order[0] == 5 ? order[1] : order[0];
      CPPUNIT_ASSERT_EQUAL(ids[expected], fewer[RendezvousOwner(key, fewer)]);
    }
  }

  // Guards against a skewed hash that assigns most keys to one endpoint. 10,000 keys over 10 ids
  // give 1,000 each on average; the tolerance of 20 % is more than six standard deviations.
  auto testKeysAreSpread() -> void {
    const auto ids = Ids(10);
    std::vector<int> counts(ids.size());
    for (int i = 0; i < 10000; ++i) ++counts[RendezvousOwner("key-" + std::to_string(i), ids)];
    for (const auto count : counts) CPPUNIT_ASSERT(count > 800 && count < 1200);
  }

  // Guards against a change of the hash between releases: during an upgrade the old and the new
  // release would choose different owners for a key, and both owners would run the call.
  auto testStableOverReleases() -> void {
    const auto ids = Ids(10);
    std::string owners;
    for (int i = 0; i < 8; ++i) {
      owners += std::to_string(RendezvousOwner("key-" + std::to_string(i), ids));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("00097542"), owners);
  }

  auto testNoIds() -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RendezvousOwner("key", {}));
    CPPUNIT_ASSERT(RendezvousOrder("key", {}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousTest);

}  // namespace
}  // namespace filbertstair::core
