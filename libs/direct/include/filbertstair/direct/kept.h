#ifndef FILBERTSTAIR_DIRECT_KEPT_H_
#define FILBERTSTAIR_DIRECT_KEPT_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertstair::direct {

// Part of a prompt. Requests that begin with the same parts share the memory of reading them.
struct PromptBlock {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

// What a request asks of a model.
struct Prompt {
  std::string model;
  std::uint32_t tokens_in = 0;
  // Estimate of the tokens to generate: the caller's hint, at most its maximum.
  std::uint32_t tokens_out = 0;
  std::vector<PromptBlock> blocks;
};

// Parts that one replica is believed to keep: those that entries sent there, the least recently
// used ones dropped when their tokens exceed `capacity`.
struct PrefixCache {
  // A part, by a key that covers the parts before it.
  struct Block {
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;

    auto operator==(const Block&) const -> bool = default;
  };
  std::list<Block> lru;
  std::unordered_map<std::uint64_t, std::list<Block>::iterator> index;
  std::uint64_t tokens = 0;
};

// Returns the prompt's parts with their keys.
auto ComputeBlockKeys(const Prompt& prompt) -> std::vector<PrefixCache::Block>;

// Returns the tokens at the start of a prompt with these parts that the replica is believed to
// keep.
auto CachedPrefixTokens(const PrefixCache& prefix_cache,
                        const std::vector<PrefixCache::Block>& blocks) -> std::uint32_t;

// Records that the replica reads the prompt. `capacity` is the replica's memory in tokens.
auto AddToPrefixCache(PrefixCache& prefix_cache, const Prompt& prompt, std::uint64_t capacity)
    -> void;

// Records that the replica reads one part.
auto AddToPrefixCache(PrefixCache& prefix_cache, const PrefixCache::Block& block,
                      std::uint64_t capacity) -> void;

// Returns the parts before the last that the replica is not believed to keep.
auto UncachedSharedBlocks(const PrefixCache& prefix_cache, const Prompt& prompt)
    -> std::vector<PrefixCache::Block>;

// Returns the tokens of the parts before the last.
auto SharedPrefixTokens(const Prompt& prompt) -> std::uint32_t;

// Returns a hash of the parts before the last, which other requests may share.
auto SharedPrefixHash(const Prompt& prompt) -> std::uint64_t;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_KEPT_H_
