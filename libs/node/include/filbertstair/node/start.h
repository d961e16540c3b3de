#ifndef FILBERTSTAIR_NODE_START_H_
#define FILBERTSTAIR_NODE_START_H_

#include <cstddef>
#include <functional>

#include "filbertstair/node/node.h"

namespace filbertstair::node {

// Runs `task` on a fiber of worker `index`, blocks until it returns, and rethrows its exception.
// For the main thread during startup; must not be called on a worker.
auto RunOnWorker(Node& node, std::size_t index, const std::function<void()>& task) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_START_H_
