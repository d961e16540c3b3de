#ifndef FILBERTSTAIR_ENTRY_SRC_STATE_H_
#define FILBERTSTAIR_ENTRY_SRC_STATE_H_

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "filbertstair/admission/keys.h"
#include "filbertstair/core/drain.h"
#include "filbertstair/core/error.h"
#include "filbertstair/entry/entry.h"
#include "filbertstair/net/h2.h"
#include "filbertstair/net/http_server.h"
#include "filbertstair/node/control.h"
#include "filbertstair/node/exchange.h"
#include "filbertstair/node/node.h"
#include "filbertstair/node/refusal.h"
#include "filbertstair/routing/queue.h"
#include "filbertstair/routing/retry.h"
#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/runtime/signal.h"
#include "filbertstair/shares/shares.h"
#include "filbertstair/wire/request.h"

namespace filbertstair::entry {

// Endpoint process that an attempt is submitted to, with the grant that a waiting request received;
// `grant` is 0 if the endpoint was chosen without one.
struct AttemptTarget {
  std::string endpoint;
  std::uint64_t grant = 0;
  core::Incarnation granter = 0;
};

// A request in a queue. Its fiber waits on `changed`; `target` is guarded by the lock of
// Entry::queue.
struct WaitingRequest {
  runtime::Signal changed;
  std::optional<AttemptTarget> target;
};

// An endpoint process with an open control stream.
struct EndpointLink {
  core::Incarnation incarnation = 0;
  std::shared_ptr<node::Outbox> outbox;
  // Free slots reported by the last Load message, less the submissions without a grant since then.
  std::int64_t free_slots = 0;
  bool draining = false;
};

struct QueueState {
  routing::QueueTable queues;
  std::map<routing::WaiterId, std::shared_ptr<WaitingRequest>> waiting;
  routing::RetryTable retries;
  std::map<std::string, EndpointLink> endpoints;
  // Statistics of recent request durations, by service.
  std::map<std::string, core::DurationStats, std::less<>> durations;
};

// A control stream to another process, reopened after a failure until `stopped` is set.
struct LinkTask {
  std::string id;
  std::string address;
  core::Role role = core::Role::endpoint;
  std::atomic<bool> stopped = false;
  // Set by the worker that runs the link; closed by the worker that manages all links.
  std::atomic<std::shared_ptr<node::Outbox>> outbox;
};

struct Call;

// State of one worker, accessed by that worker only.
struct WorkerState {
  // Connections to endpoint processes for requests, by address.
  std::map<std::string, std::shared_ptr<net::Connection>> connections;
  std::shared_ptr<net::HttpListener> caller_listener;
  // Requests in flight.
  std::set<std::shared_ptr<Call>> calls;
};

struct Entry {
  explicit Entry(node::Node& node) : node(node), workers(node.pool.Size()) {}

  node::Node& node;
  const core::DrainPolicy drain;
  runtime::Guarded<QueueState, runtime::Rank::queue> queue;
  runtime::Guarded<shares::ShareTable, runtime::Rank::shares> shares;
  // Indexed by worker; each element is accessed by its own worker only.
  std::vector<WorkerState> workers;
  // Wakes the fiber that opens and closes links.
  runtime::Signal links_changed;
  std::atomic<std::uint64_t> last_attempt_serial = 0;
};

// A caller's request that the entry handles. Accessed by the fiber that handles it and by the fiber
// that detects that the caller disconnected.
struct Call {
  std::string id;
  core::Time arrived_at{};
  std::shared_ptr<const node::Snapshot> snapshot;
  std::shared_ptr<const document::Service> service;
  document::Workspace workspace;
  core::CallClass call_class = core::CallClass::repeatable;
  std::optional<admission::IdempotencyKey> key;
  // Endpoint that owns the key; empty without a key.
  std::string key_owner;
  core::Time deadline{};
  wire::Submit submit;
  std::shared_ptr<WaitingRequest> waiting = std::make_shared<WaitingRequest>();
  std::shared_ptr<net::Stream> stream;
  bool caller_disconnected = false;
  // Whether the response to the caller has started.
  bool response_started = false;
  // Set when the request is cancelled because the process is about to exit.
  bool stopped = false;
};

using node::Refused;

// How an attempt failed.
struct AttemptFailure {
  routing::Failure failure;
  core::Step step = core::Step::admit;
  std::string message;
};
// Submits the call to `target` and relays the response to the caller. Returns std::nullopt if the
// response was complete.
auto RunAttempt(Entry& entry, Call& call, const AttemptTarget& target, net::Responder& responder)
    -> std::optional<AttemptFailure>;

// Handles one request of a caller until its response is complete, refused or aborted.
auto HandleRequest(Entry& entry, const net::HttpRequest& request, net::Responder& responder)
    -> void;

// Cancels the requests of the calling worker: waiting ones are refused, those at an endpoint
// process fail, and responses that have started are aborted if `scope` is `all`.
auto CancelWorkerRequests(WorkerState& worker, node::StopScope scope) -> void;

// Wakes the control streams to the linked endpoints so that they report the changed demand. Locks
// the queue table.
auto NotifyDemandChange(Entry& entry) -> void;

// Assigns a grant from `endpoint` to a waiting request, or returns the grant if none can use it.
auto HandleGrant(Entry& entry, const std::string& endpoint, const wire::Grant& grant) -> void;

// Returns an unused grant to `endpoint`. The caller holds the lock of the queue table.
auto ReturnGrant(const QueueState& state, const std::string& endpoint,
                 const wire::GrantReturn& message) -> void;

// Runs for the life of the process: evaluates suspicion of members, and opens and closes links.
auto LinkLoop(Entry& entry) -> void;

// Serves a control or configuration transfer stream that another process opened.
auto ServePeerStream(Entry& entry, const std::shared_ptr<net::Stream>& stream) -> void;

// Runs for the life of the process: performs the cold start, then watches the platform for
// configuration changes while this entry is elected to.
auto PlatformLoop(Entry& entry) -> void;

// Sends the largest unreported changes of the service counters that fit into `budget` bytes.
auto SendServiceUpdate(Entry& entry, node::Exchange& exchange, node::Outbox& outbox,
                       std::size_t budget) -> void;

// Applies service counters that `peer` sent.
auto HandleServiceUpdate(Entry& entry, node::Exchange& exchange, const wire::Hello& peer,
                         const wire::Service& message) -> void;

}  // namespace filbertstair::entry

#endif  // FILBERTSTAIR_ENTRY_SRC_STATE_H_
