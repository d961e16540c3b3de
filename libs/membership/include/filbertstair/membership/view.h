#ifndef FILBERTSTAIR_MEMBERSHIP_VIEW_H_
#define FILBERTSTAIR_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace filbertstair::membership {

// Entries that link to each endpoint at least, if there are as many. With fewer, one frozen and one
// failed entry would leave an endpoint idle.
inline constexpr std::size_t kMinLinksPerEndpoint = 3;

// Value of `links_per_endpoint` with which every entry links to every endpoint.
inline constexpr std::size_t kFullMesh = static_cast<std::size_t>(-1);

// Returns how many entries link to each endpoint: kFullMesh if there are at most `max_links`
// endpoints, else so many that an entry has up to 0.6 * max_links links on average; the rest is
// room for the spread of the hash. At least kMinLinksPerEndpoint. `current` is the value in use, or
// 0: it is kept while the average stays between 0.3 and 0.75 * max_links, so that a fleet whose
// size varies about a limit does not relink again and again.
auto LinksPerEndpoint(std::size_t entries, std::size_t endpoints, std::size_t max_links,
                      std::size_t current) -> std::size_t;

// Returns the indices, in order, of the endpoints to which entry `self` links: those for which it
// is among the first `links_per_endpoint` entries by rendezvous hashing. Links beyond `max_links`
// are dropped as long as the endpoint keeps kMinLinksPerEndpoint others. `entries` contains `self`.
// A change of one entry or endpoint changes only links of its own.
auto SelectLinkedEndpoints(const std::string& self, std::span<const std::string> entries,
                           std::span<const std::string> endpoints, std::size_t links_per_endpoint,
                           std::size_t max_links) -> std::vector<std::size_t>;

}  // namespace filbertstair::membership

#endif  // FILBERTSTAIR_MEMBERSHIP_VIEW_H_
