#ifndef FILBERTSTAIR_ENTRY_ENTRY_H_
#define FILBERTSTAIR_ENTRY_ENTRY_H_

#include <cstddef>
#include <memory>

#include "filbertstair/node/node.h"

// Entry role: takes callers' requests, queues them, and submits them to endpoint processes.
namespace filbertstair::entry {

struct Entry;

// Starts the role on the node's workers. Throws core::Error if a listener can't be opened.
auto Start(node::Node& node) -> std::shared_ptr<Entry>;

// Begins a graceful shutdown: /readyz fails, so that the balancer sends no new connections, and
// kept connections are closed after their current request.
auto Drain(Entry& entry) -> void;

// Number of callers' requests that have not been answered.
auto InFlight(Entry& entry) -> std::size_t;

}  // namespace filbertstair::entry

#endif  // FILBERTSTAIR_ENTRY_ENTRY_H_
