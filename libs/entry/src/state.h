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

// A grant that a waiting request received, or an endpoint chosen without one (`grant` 0).
struct Target {
  std::string endpoint;
  std::uint64_t grant = 0;
  core::Incarnation granter = 0;
};

// A request in a queue. Its fiber waits on `changed`; `target` is written under the queue's lock.
struct Waiting {
  runtime::Signal changed;
  std::optional<Target> target;
};

// An endpoint process with an open control stream.
struct EndpointLink {
  core::Incarnation incarnation = 0;
  std::shared_ptr<node::Outbox> outbox;
  // Free slots from the last Load message, less the submissions without a grant since then.
  std::int64_t free = 0;
  bool draining = false;
};

struct QueueState {
  routing::QueueTable queues;
  std::map<routing::WaiterId, std::shared_ptr<Waiting>> waiting;
  routing::RetryTable retries;
  std::map<std::string, EndpointLink> endpoints;
  // Recent durations of requests, by service.
  std::map<std::string, core::DurationStats, std::less<>> durations;
};

// A link that the entry keeps open to another process while it is wanted.
struct LinkTask {
  std::string id;
  std::string address;
  core::Role role = core::Role::endpoint;
  std::atomic<bool> stopped = false;
  // Set by the link's worker, closed by the one that manages links.
  std::atomic<std::shared_ptr<node::Outbox>> outbox;
};

struct Call;

// State that is used by one worker only.
struct WorkerState {
  // Connections for requests.
  std::map<std::string, std::shared_ptr<net::Connection>> connections;
  std::shared_ptr<net::HttpListener> callers;
  // Requests in flight.
  std::set<std::shared_ptr<Call>> calls;
};

struct Entry {
  explicit Entry(node::Node& node) : node(node), workers(node.pool.Size()) {}

  node::Node& node;
  const core::DrainPolicy drain;
  runtime::Guarded<QueueState, runtime::Rank::queue> queue;
  runtime::Guarded<shares::ShareTable, runtime::Rank::shares> shares;
  // Indexed by worker; each element is used by its own worker only.
  std::vector<WorkerState> workers;
  // Wakes the fiber that opens and closes links.
  runtime::Signal links_changed;
  std::atomic<std::uint64_t> last_serial = 0;
};

// A caller's request on its way through the entry. Used by the fiber that handles it, and by the
// fiber that notices that the caller has left.
struct Call {
  std::string id;
  core::Time arrived{};
  std::shared_ptr<const node::Snapshot> snapshot;
  std::shared_ptr<const document::Service> service;
  document::Workspace workspace;
  core::CallClass call_class = core::CallClass::repeatable;
  std::optional<admission::IdempotencyKey> key;
  // Endpoint that owns the key; empty without a key.
  std::string owner;
  core::Time deadline{};
  wire::Submit submit;
  std::shared_ptr<Waiting> waiting = std::make_shared<Waiting>();
  std::shared_ptr<net::Stream> stream;
  bool caller_gone = false;
  // Whether the answer has begun.
  bool begun = false;
  // Set when the request is ended because the process ends.
  bool stopped = false;
};

using node::RequestRefusal;

// Attempts the call at `target` and passes the answer on to the caller. Returns nothing if the
// answer was complete, or how the attempt failed.
struct AttemptFailure {
  routing::Failure failure;
  core::Step step = core::Step::admit;
  std::string message;
};
auto Attempt(Entry& entry, Call& call, const Target& target, net::Responder& responder)
    -> std::optional<AttemptFailure>;

auto HandleRequest(Entry& entry, const net::HttpRequest& request, net::Responder& responder)
    -> void;

// Ends requests of the calling worker: those that wait are refused, those at an endpoint process
// fail, and answers that have begun are cut.
auto StopCalls(WorkerState& worker, node::StopScope scope) -> void;

// Tells the linked endpoints that the queues changed.
auto AnnounceDemand(Entry& entry) -> void;

// Gives a grant of `endpoint` to a waiting request, or returns it.
auto HandleGrant(Entry& entry, const std::string& endpoint, const wire::Grant& grant) -> void;

// Returns a grant that no request uses. The queue's table is locked.
auto ReturnGrant(const QueueState& state, const std::string& endpoint,
                 const wire::GrantReturn& message) -> void;

// Runs as long as the process: evaluates suspicion, and opens and closes links.
auto LinkLoop(Entry& entry) -> void;

// Serves a stream that another entry opened.
auto ServePeer(Entry& entry, const std::shared_ptr<net::Stream>& stream) -> void;

// Runs as long as the process: cold start, then watching the platform while elected to.
auto PlatformLoop(Entry& entry) -> void;

// Pushes the largest unreported changes of service that fit the byte budget.
auto SendService(Entry& entry, node::ServiceExchange& exchange, node::Outbox& outbox,
                 std::size_t budget) -> void;
auto HandleService(Entry& entry, node::ServiceExchange& exchange, const wire::Hello& peer,
                   const wire::Service& message) -> void;

}  // namespace filbertstair::entry

#endif  // FILBERTSTAIR_ENTRY_SRC_STATE_H_
