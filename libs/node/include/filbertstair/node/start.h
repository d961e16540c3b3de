#ifndef FILBERTSTAIR_NODE_START_H_
#define FILBERTSTAIR_NODE_START_H_

#include <cstddef>
#include <functional>

#include "filbertstair/node/node.h"

namespace filbertstair::node {

// Runs `task` on a fiber of worker `index`, waits for it, and rethrows its exception. For use by
// the main thread during start.
auto RunOnWorker(Node& node, std::size_t index, const std::function<void()>& task) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_START_H_
