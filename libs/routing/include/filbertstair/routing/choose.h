#ifndef FILBERTSTAIR_ROUTING_CHOOSE_H_
#define FILBERTSTAIR_ROUTING_CHOOSE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "filbertstair/core/types.h"

namespace filbertstair::routing {

// An entry's view of an endpoint that may serve a request.
struct EndpointView {
  std::string id;
  std::string region;
  // Whether the endpoint is connected and live, and neither leaving nor suspected.
  bool usable = false;
  // Free slots according to its last Load message, minus the submissions without a grant since
  // then.
  std::int64_t free_slots = 0;
};

// Chooses the endpoint for a submission without a grant. Only usable endpoints with a free slot
// that are not in `tried` are considered. Those in `region` come first, then those of other
// regions, because idle remote capacity is preferred to waiting. Within a region the one with the
// most free slots is chosen; ties are broken by an order that depends on `serial`, so that entries
// and requests are spread. Returns the index in `views`, or nothing if no endpoint qualifies.
auto ChooseEndpoint(std::span<const EndpointView> views, const std::string& region,
                    std::uint64_t serial, const std::set<std::string>& tried)
    -> std::optional<std::size_t>;

}  // namespace filbertstair::routing

#endif  // FILBERTSTAIR_ROUTING_CHOOSE_H_
