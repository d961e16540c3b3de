#ifndef FILBERTSTAIR_ENDPOINT_ENDPOINT_H_
#define FILBERTSTAIR_ENDPOINT_ENDPOINT_H_

#include <memory>

#include "filbertstair/node/node.h"

// Endpoint role: the process in front of one replica. It alone admits requests to the replica.
namespace filbertstair::endpoint {

struct Endpoint;

// Starts the role on the node's workers. Throws core::Error if a listener can't be opened.
auto Start(node::Node& node) -> std::shared_ptr<Endpoint>;

// Begins a graceful shutdown: new work is refused with draining, admitted requests go on.
auto Drain(Endpoint& endpoint) -> void;

// Ends requests in flight, as the process is about to end: entries learn that one which waits for a
// slot never ran, and that one whose answer has not begun may have. An answer that has begun is cut
// only if `scope` is `all`.
auto CancelRequests(Endpoint& endpoint, node::StopScope scope) -> void;

}  // namespace filbertstair::endpoint

#endif  // FILBERTSTAIR_ENDPOINT_ENDPOINT_H_
