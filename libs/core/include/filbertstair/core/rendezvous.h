#ifndef FILBERTSTAIR_CORE_RENDEZVOUS_H_
#define FILBERTSTAIR_CORE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertstair::core {

// Rendezvous hashing: every process that knows the same ids ranks them identically for a key, in
// whatever order it lists them, and adding or removing an id moves only the keys of that id.

// Returns the preference of the key for the id; the id with the highest one owns the key. For
// callers that rank other structures than lists of ids.
auto RendezvousScore(std::uint64_t key_hash, std::string_view id) -> std::uint64_t;

// Returns the indices of `ids` from the most to the least preferred for `key`. Ids with equal
// hashes are ranked by their text.
auto RendezvousOrder(std::string_view key, std::span<const std::string> ids)
    -> std::vector<std::size_t>;

// Returns the index of the id most preferred for `key`, or ids.size() if there are no ids.
auto RendezvousOwner(std::string_view key, std::span<const std::string> ids) -> std::size_t;

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_RENDEZVOUS_H_
