#ifndef FILBERTSTAIR_CORE_RENDEZVOUS_H_
#define FILBERTSTAIR_CORE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertstair::core {

// Rendezvous (highest random weight) hashing. All processes that know the same ids compute the same
// ranking for a key, regardless of the order of their lists, and adding or removing an id moves
// only the keys of that id.

// Returns the score of `id` for a key with the 64-bit hash `key_hash`; the id with the highest
// score owns the key. For callers whose ids are not in a list of strings.
auto RendezvousScore(std::uint64_t key_hash, std::string_view id) -> std::uint64_t;

// Returns the indices of `ids` in descending order of their scores for `key`. Ids with equal scores
// are ordered lexicographically.
auto RendezvousOrder(std::string_view key, std::span<const std::string> ids)
    -> std::vector<std::size_t>;

// Returns the index of the id that owns `key`, or ids.size() if there are no ids.
auto RendezvousOwner(std::string_view key, std::span<const std::string> ids) -> std::size_t;

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_RENDEZVOUS_H_
