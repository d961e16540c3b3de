#ifndef FILBERTSTAIR_ROUTING_CHOOSE_H_
#define FILBERTSTAIR_ROUTING_CHOOSE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "filbertstair/core/types.h"

namespace filbertstair::routing {

// What an entry knows of an endpoint that may serve a request.
struct EndpointView {
  std::string id;
  std::string region;
  // Linked, live and neither leaving nor suspected.
  bool usable = false;
  // Free slots from its last Load message, less the submissions without a grant since then.
  std::int64_t free_slots = 0;
};

// Chooses the endpoint for a submission without a grant: one with a free slot in the own region,
// else one in another region, since idle capacity elsewhere is preferred to waiting. Among equals
// the one with the most free slots, then in an order that depends on `serial`, so that entries and
// requests spread. Endpoints in `tried` are left out. Returns the index, or nothing.
auto ChooseEndpoint(std::span<const EndpointView> views, const std::string& region,
                    std::uint64_t serial, const std::set<std::string>& tried)
    -> std::optional<std::size_t>;

}  // namespace filbertstair::routing

#endif  // FILBERTSTAIR_ROUTING_CHOOSE_H_
