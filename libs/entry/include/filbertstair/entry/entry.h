#ifndef FILBERTSTAIR_ENTRY_ENTRY_H_
#define FILBERTSTAIR_ENTRY_ENTRY_H_

#include <memory>

#include "filbertstair/node/node.h"

// Entry role: accepts requests from callers, queues them, and submits them to endpoint processes.
namespace filbertstair::entry {

struct Entry;

// Starts the role on the workers of `node`. Throws core::Error if a listener can't be opened.
auto Start(node::Node& node) -> std::shared_ptr<Entry>;

// Begins a graceful shutdown: /readyz fails at once, so that the load balancer sends no new
// connections, persistent connections are closed after their current request, and requests that are
// not expected to finish before the process exits are refused with reason `draining`, or
// `connection_lost` if an earlier attempt may have run. After node::kDrainNoticeTime no new
// connections are accepted and idle ones are closed. Does not wait. Further calls have no effect.
auto Drain(Entry& entry) -> void;

// Cancels the requests in flight shortly before the process exits. Does not wait for them. Every
// caller gets a response: a request that was not submitted is refused, and one whose response has
// not started fails with the outcome that the endpoint process reports. A response that has started
// is aborted, visibly to its caller, and only if `scope` is `all`.
auto CancelRequests(Entry& entry, node::StopScope scope) -> void;

}  // namespace filbertstair::entry

#endif  // FILBERTSTAIR_ENTRY_ENTRY_H_
