#ifndef FILBERTSTAIR_ENTRY_ENTRY_H_
#define FILBERTSTAIR_ENTRY_ENTRY_H_

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

// Ends requests in flight, as the process is about to end. None is left without an answer: one that
// was not submitted is refused, one whose answer has not begun fails with what the endpoint process
// says of it. An answer that has begun is cut, which its caller sees, and only if `scope` is `all`.
auto CancelRequests(Entry& entry, node::StopScope scope) -> void;

}  // namespace filbertstair::entry

#endif  // FILBERTSTAIR_ENTRY_ENTRY_H_
