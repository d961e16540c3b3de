#ifndef FILBERTSTAIR_DIRECT_LINKS_H_
#define FILBERTSTAIR_DIRECT_LINKS_H_

#include <optional>
#include <span>
#include <string>

namespace filbertstair::direct {

// Handles that the entry `self`, which links to as many others as it may, learns of another one.
// Returns which address of `linked` gives way to `candidate`, or nothing if none does. Each entry
// prefers others by rendezvous hashing of its own, so that all are linked to about equally often;
// in the order in which they are learnt, which is nearly the same everywhere, all entries would
// leave out the same ones.
auto FindDisplacedLink(const std::string& self, std::span<const std::string> linked,
                       const std::string& candidate) -> std::optional<std::string>;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_LINKS_H_
