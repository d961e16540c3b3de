#ifndef FILBERTSTAIR_MEMBERSHIP_VIEW_H_
#define FILBERTSTAIR_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace filbertstair::membership {

// Minimum number of entries that link to each endpoint, if there are as many entries. With fewer,
// one frozen and one failed entry would leave an endpoint idle.
inline constexpr std::size_t kMinLinksPerEndpoint = 3;

// Value of `links_per_endpoint` for which every entry links to every endpoint.
inline constexpr std::size_t kFullMesh = static_cast<std::size_t>(-1);

// Returns the number of entries that link to each endpoint: kFullMesh if there are at most
// `max_links` endpoints or no entries, else the number for which an entry has up to 0.6 * max_links
// links on average, but at least kMinLinksPerEndpoint. The remaining capacity allows for the
// variance of the hash. `current` is the value in use, or 0 for none: it is returned while the
// average stays between 0.3 and 0.75 * max_links, so that a fleet whose size varies around a
// threshold does not replace its links repeatedly.
auto LinksPerEndpoint(std::size_t entries, std::size_t endpoints, std::size_t max_links,
                      std::size_t current) -> std::size_t;

// Returns the indices, in ascending order, of the endpoints to which entry `self` links: those for
// which it is among the first `links_per_endpoint` entries by rendezvous hashing. Links beyond
// `max_links` are omitted if the endpoint has at least kMinLinksPerEndpoint others. `entries` must
// contain `self`. Adding or removing one entry or endpoint changes only the links of that process
// and those that take over from it.
auto SelectLinkedEndpoints(const std::string& self, std::span<const std::string> entries,
                           std::span<const std::string> endpoints, std::size_t links_per_endpoint,
                           std::size_t max_links) -> std::vector<std::size_t>;

}  // namespace filbertstair::membership

#endif  // FILBERTSTAIR_MEMBERSHIP_VIEW_H_
