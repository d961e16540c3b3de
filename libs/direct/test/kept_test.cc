#include "filbertstair/direct/kept.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace filbertstair::direct {
namespace {

auto MakePrompt(std::vector<PrefixBlock> blocks) -> Prompt {
  Prompt prompt;
  prompt.model = "m";
  for (const auto& block : blocks) prompt.tokens_in += block.tokens;
  prompt.blocks = std::move(blocks);
  return prompt;
}

class KeptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeptTest);
  CPPUNIT_TEST(testPartsCountFromTheStart);
  CPPUNIT_TEST(testLeastRecentlyUsedYields);
  CPPUNIT_TEST(testSharedHash);
  CPPUNIT_TEST(testSumsDoNotWrap);
  CPPUNIT_TEST(testTooLargePartsAreNotKept);
  CPPUNIT_TEST(testSinglePartsAddUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against counting a block as cached though the preceding blocks differ.
  auto testPartsCountFromTheStart() -> void {
    PrefixCache prefix_cache;
    AddToPrefixCache(prefix_cache, MakePrompt({{1, 100}, {2, 50}}), 1000);
    CPPUNIT_ASSERT_EQUAL(
        150u, CachedPrefixTokens(prefix_cache,
                                 ComputeBlockKeys(MakePrompt({{1, 100}, {2, 50}, {3, 10}}))));
    CPPUNIT_ASSERT_EQUAL(
        100u, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(MakePrompt({{1, 100}, {4, 50}}))));
    CPPUNIT_ASSERT_EQUAL(0u,
                         CachedPrefixTokens(prefix_cache, ComputeBlockKeys(MakePrompt({{2, 50}}))));
    auto other = MakePrompt({{1, 100}});
    other.model = "n";
    CPPUNIT_ASSERT_EQUAL(0u, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(other)));
  }

  // Guards against a cache that grows without bound, and against evicting the blocks in use.
  auto testLeastRecentlyUsedYields() -> void {
    PrefixCache prefix_cache;
    AddToPrefixCache(prefix_cache, MakePrompt({{1, 400}}), 1000);
    AddToPrefixCache(prefix_cache, MakePrompt({{2, 400}}), 1000);
    AddToPrefixCache(prefix_cache, MakePrompt({{1, 400}}), 1000);
    AddToPrefixCache(prefix_cache, MakePrompt({{3, 400}}), 1000);
    CPPUNIT_ASSERT_EQUAL(
        400u, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(MakePrompt({{1, 400}}))));
    CPPUNIT_ASSERT_EQUAL(
        0u, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(MakePrompt({{2, 400}}))));
    CPPUNIT_ASSERT(prefix_cache.tokens <= 1000);
    CPPUNIT_ASSERT_EQUAL(prefix_cache.lru.size(), prefix_cache.index.size());
  }

  // Guards against blocks whose sum of tokens exceeds 32 bits and wraps to a small number.
  auto testSumsDoNotWrap() -> void {
    constexpr auto max = std::numeric_limits<std::uint32_t>::max();
    const auto prompt = MakePrompt({{1, max}, {2, max}, {3, 2}, {4, max}});
    PrefixCache prefix_cache;
    AddToPrefixCache(prefix_cache, prompt, std::uint64_t{max} * 8);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{max} * 3 + 2, prefix_cache.tokens);
    CPPUNIT_ASSERT_EQUAL(max, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(prompt)));
    CPPUNIT_ASSERT_EQUAL(max, SharedPrefixTokens(prompt));
  }

  // Guards against one block larger than any replica's cache that evicts all others.
  auto testTooLargePartsAreNotKept() -> void {
    PrefixCache prefix_cache;
    AddToPrefixCache(prefix_cache, MakePrompt({{1, 400}}), 1000);
    AddToPrefixCache(prefix_cache, MakePrompt({{2, 1001}}), 1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{400}, prefix_cache.tokens);
    CPPUNIT_ASSERT_EQUAL(
        400u, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(MakePrompt({{1, 400}}))));
    CPPUNIT_ASSERT_EQUAL(
        0u, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(MakePrompt({{2, 1001}}))));
  }

  // Guards against a hash that covers the request's own block, which would spread shared blocks
  // over all replicas.
  auto testSharedHash() -> void {
    const auto first = MakePrompt({{1, 10}, {2, 10}, {3, 10}});
    const auto second = MakePrompt({{1, 10}, {2, 10}, {4, 10}});
    const auto third = MakePrompt({{1, 10}, {5, 10}, {3, 10}});
    CPPUNIT_ASSERT_EQUAL(SharedPrefixHash(first), SharedPrefixHash(second));
    CPPUNIT_ASSERT(SharedPrefixHash(first) != SharedPrefixHash(third));
    CPPUNIT_ASSERT_EQUAL(20u, SharedPrefixTokens(first));
  }

  // Guards against not recognizing blocks that another entry reports one by one, and against
  // reporting a request's own block or one that is cached.
  auto testSinglePartsAddUp() -> void {
    const auto prompt = MakePrompt({{1, 10}, {2, 20}, {3, 30}});
    PrefixCache prefix_cache;
    const auto uncached = UncachedSharedBlocks(prefix_cache, prompt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, uncached.size());
    AddToPrefixCache(prefix_cache, uncached[0], 1000);
    CPPUNIT_ASSERT_EQUAL(10u, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(prompt)));
    CPPUNIT_ASSERT(UncachedSharedBlocks(prefix_cache, prompt) == std::vector{uncached[1]});
    AddToPrefixCache(prefix_cache, uncached[1], 1000);
    CPPUNIT_ASSERT_EQUAL(30u, CachedPrefixTokens(prefix_cache, ComputeBlockKeys(prompt)));
    CPPUNIT_ASSERT(UncachedSharedBlocks(prefix_cache, prompt).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptTest);

}  // namespace
}  // namespace filbertstair::direct
