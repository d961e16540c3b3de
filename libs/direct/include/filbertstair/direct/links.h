#ifndef FILBERTSTAIR_DIRECT_LINKS_H_
#define FILBERTSTAIR_DIRECT_LINKS_H_

#include <optional>
#include <span>
#include <string>

namespace filbertstair::direct {

// Decides whether `self`, which has its maximum number of links to other entries, replaces one when
// it learns the address `candidate`. Returns the address in `linked` to replace, or nothing. Each
// entry ranks the others by rendezvous hashing with its own id, so that all are linked about
// equally often; in the order in which addresses are learned, which is nearly the same everywhere,
// all entries would leave out the same ones.
auto FindDisplacedLink(const std::string& self, std::span<const std::string> linked,
                       const std::string& candidate) -> std::optional<std::string>;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_LINKS_H_
