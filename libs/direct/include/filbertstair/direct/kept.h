#ifndef FILBERTSTAIR_DIRECT_KEPT_H_
#define FILBERTSTAIR_DIRECT_KEPT_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertstair::direct {

// Block of a prompt. Requests with the same leading blocks share the cached result of their
// prefill.
struct PrefixBlock {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

// Prompt of a request to a model, and the expected length of the response.
struct Prompt {
  std::string model;
  std::uint32_t tokens_in = 0;
  // Estimated tokens to generate: the caller's hint, limited to its maximum.
  std::uint32_t tokens_out = 0;
  std::vector<PrefixBlock> blocks;
};

// Estimate of the prefix blocks that one replica has cached: those that entries sent there. The
// least recently used ones are dropped when the sum of tokens exceeds the capacity.
struct PrefixCache {
  // Block with a key that covers the preceding blocks, too.
  struct Block {
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;

    auto operator==(const Block&) const -> bool = default;
  };
  std::list<Block> lru;
  std::unordered_map<std::uint64_t, std::list<Block>::iterator> index;
  std::uint64_t tokens = 0;
};

// Returns the prompt's blocks with their keys, in order.
auto ComputeBlockKeys(const Prompt& prompt) -> std::vector<PrefixCache::Block>;

// Returns the number of tokens in the leading blocks that the cache contains.
auto CachedPrefixTokens(const PrefixCache& prefix_cache,
                        const std::vector<PrefixCache::Block>& blocks) -> std::uint32_t;

// Records that the replica prefills the prompt. `capacity` is the size of its cache in tokens; a
// block larger than that is not added.
auto AddToPrefixCache(PrefixCache& prefix_cache, const Prompt& prompt, std::uint64_t capacity)
    -> void;

// Records that the replica prefills one block.
auto AddToPrefixCache(PrefixCache& prefix_cache, const PrefixCache::Block& block,
                      std::uint64_t capacity) -> void;

// Returns the blocks, except the last, that the cache does not contain.
auto UncachedSharedBlocks(const PrefixCache& prefix_cache, const Prompt& prompt)
    -> std::vector<PrefixCache::Block>;

// Returns the number of tokens of all blocks except the last, which is the request's own.
auto SharedPrefixTokens(const Prompt& prompt) -> std::uint32_t;

// Returns a hash of the blocks except the last, which other requests may share.
auto SharedPrefixHash(const Prompt& prompt) -> std::uint64_t;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_KEPT_H_
