#ifndef FILBERTSTAIR_APPS_FILBERTSTAIRD_FINISH_H_
#define FILBERTSTAIR_APPS_FILBERTSTAIRD_FINISH_H_

#include <cstddef>

#include "filbertstair/node/node.h"
#include "role.h"

namespace filbertstair {

// Stops the role: announces the drain to peers, waits for the requests in flight, and cancels the
// remaining ones shortly before drain_grace expires. Returns the number of remaining requests.
auto FinishRequests(node::Node& node, const RoleActions& actions) -> std::size_t;

}  // namespace filbertstair

#endif  // FILBERTSTAIR_APPS_FILBERTSTAIRD_FINISH_H_
