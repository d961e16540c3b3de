#include "filbertstair/direct/kept.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace filbertstair::direct {
namespace {

// A block is cached only together with the preceding blocks, so its key covers them, too.
auto ChainKey(std::uint64_t key, std::uint64_t id) -> std::uint64_t {
  constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
  key = (key ^ id) * multiplier;
  return key ^ (key >> 29);
}

// Returns the sum of tokens, limited to the largest 32-bit number.
auto SaturateTokens(std::uint64_t tokens) -> std::uint32_t {
  constexpr auto max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, max));
}

auto ModelKey(const Prompt& prompt) -> std::uint64_t {
  return std::hash<std::string>()(prompt.model);
}

}  // namespace

auto ComputeBlockKeys(const Prompt& prompt) -> std::vector<PrefixCache::Block> {
  std::vector<PrefixCache::Block> blocks;
  blocks.reserve(prompt.blocks.size());
  auto key = ModelKey(prompt);
  for (const auto& block : prompt.blocks) {
    key = ChainKey(key, block.id);
    blocks.push_back({key, block.tokens});
  }
  return blocks;
}

auto CachedPrefixTokens(const PrefixCache& prefix_cache,
                        const std::vector<PrefixCache::Block>& blocks) -> std::uint32_t {
  std::uint64_t tokens = 0;
  for (const auto& block : blocks) {
    if (!prefix_cache.index.contains(block.key)) break;
    tokens += block.tokens;
  }
  return SaturateTokens(tokens);
}

auto AddToPrefixCache(PrefixCache& prefix_cache, const Prompt& prompt, std::uint64_t capacity)
    -> void {
  for (const auto& block : ComputeBlockKeys(prompt)) {
    AddToPrefixCache(prefix_cache, block, capacity);
  }
}

auto AddToPrefixCache(PrefixCache& prefix_cache, const PrefixCache::Block& block,
                      std::uint64_t capacity) -> void {
  const auto found = prefix_cache.index.find(block.key);
  if (found != prefix_cache.index.end()) {
    prefix_cache.lru.splice(prefix_cache.lru.begin(), prefix_cache.lru, found->second);
    return;
  }
  // A replica rejects a request that its cache can't hold, and its cache stays as it is.
  if (block.tokens > capacity) return;
  prefix_cache.lru.push_front(block);
  prefix_cache.index[block.key] = prefix_cache.lru.begin();
  prefix_cache.tokens += block.tokens;
  while (prefix_cache.tokens > capacity && !prefix_cache.lru.empty()) {
    prefix_cache.tokens -= prefix_cache.lru.back().tokens;
    prefix_cache.index.erase(prefix_cache.lru.back().key);
    prefix_cache.lru.pop_back();
  }
}

auto UncachedSharedBlocks(const PrefixCache& prefix_cache, const Prompt& prompt)
    -> std::vector<PrefixCache::Block> {
  auto blocks = ComputeBlockKeys(prompt);
  if (!blocks.empty()) blocks.pop_back();
  std::erase_if(blocks, [&](const auto& block) { return prefix_cache.index.contains(block.key); });
  return blocks;
}

auto SharedPrefixTokens(const Prompt& prompt) -> std::uint32_t {
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.blocks.size(); ++i) tokens += prompt.blocks[i].tokens;
  return SaturateTokens(tokens);
}

auto SharedPrefixHash(const Prompt& prompt) -> std::uint64_t {
  const auto blocks = ComputeBlockKeys(prompt);
  return blocks.size() < 2 ? ModelKey(prompt) : blocks[blocks.size() - 2].key;
}

}  // namespace filbertstair::direct
