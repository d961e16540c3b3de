#ifndef FILBERTSTAIR_NODE_START_H_
#define FILBERTSTAIR_NODE_START_H_

#include <cstddef>
#include <functional>

#include "filbertstair/node/node.h"

namespace filbertstair::node {

// Runs `task` on a fiber of worker `index`, blocks until it returns, and rethrows its exception.
// For the main thread during startup; must not be called on a worker.
auto RunOnWorker(Node& node, std::size_t index, const std::function<void()>& task) -> void;

// Time for which a start waits for addresses that are in use. The kernel keeps the address of a
// connection that was closed for 60 s.
inline constexpr core::Duration kMaxAddressWait = std::chrono::seconds(75);

// Waits until all listen addresses of the settings can be bound, and logs those that cannot.
// Between two attempts it calls `sleep`, which returns whether the start is cancelled. Returns
// false if it is. Throws core::Error (Step::listen) after kMaxAddressWait.
auto AwaitAddresses(const settings::Settings& settings,
                    const std::function<bool(core::Duration)>& sleep) -> bool;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_START_H_
