#ifndef FILBERTSTAIR_ENDPOINT_ENDPOINT_H_
#define FILBERTSTAIR_ENDPOINT_ENDPOINT_H_

#include <memory>

#include "filbertstair/node/node.h"

// Endpoint role: the process in front of one replica, and the only one that admits requests to it.
namespace filbertstair::endpoint {

struct Endpoint;

// Starts the role on the workers of `node`. Throws core::Error if a listener can't be opened.
auto Start(node::Node& node) -> std::shared_ptr<Endpoint>;

// Begins a graceful shutdown: /readyz fails at once, outstanding grants are revoked, new requests
// are refused with reason `draining`, and admitted ones continue. Does not wait for them. Further
// calls have no effect.
auto Drain(Endpoint& endpoint) -> void;

// Cancels the requests in flight shortly before the process exits. Does not wait for them. Entries
// are told that a request which waits for a slot did not run, and that one at the replica whose
// response has not started may have run. A response that has started is aborted only if `scope` is
// `all`.
auto CancelRequests(Endpoint& endpoint, node::StopScope scope) -> void;

}  // namespace filbertstair::endpoint

#endif  // FILBERTSTAIR_ENDPOINT_ENDPOINT_H_
