#ifndef FILBERTSTAIR_NODE_NODE_H_
#define FILBERTSTAIR_NODE_NODE_H_

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "filbertstair/config/fetch.h"
#include "filbertstair/config/table.h"
#include "filbertstair/config/watch.h"
#include "filbertstair/core/types.h"
#include "filbertstair/document/names.h"
#include "filbertstair/document/service.h"
#include "filbertstair/membership/table.h"
#include "filbertstair/membership/vm.h"
#include "filbertstair/net/byte_budget.h"
#include "filbertstair/net/http_server.h"
#include "filbertstair/node/history.h"
#include "filbertstair/node/in_flight.h"
#include "filbertstair/node/outbox.h"
#include "filbertstair/node/trace.h"
#include "filbertstair/runtime/pool.h"
#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/settings/settings.h"
#include "filbertstair/telemetry/log.h"
#include "filbertstair/telemetry/metrics.h"

// State shared by all roles: identity, active configuration, membership, control streams, and the
// admin listener.
namespace filbertstair::node {

// Immutable snapshot of the active configuration. A request uses one snapshot from start to end.
struct Snapshot {
  std::map<std::string, std::shared_ptr<const document::Service>> services;
  document::NameIndex names;
  membership::VmList vms;
  // Whether a VM list and at least one document are active.
  bool configured = false;
};

struct ConfigState {
  config::ConfigTable table;
  config::FetchTable fetches;
  config::WatchState watch;
  std::shared_ptr<const Snapshot> snapshot = std::make_shared<const Snapshot>();
  // Whether this process has at some time had exactly the objects of a peer. Until then a missing
  // document or VM is no evidence of its removal, because objects arrive one by one.
  bool synced = false;
};

// A peer with an open control stream.
struct LinkedPeer {
  core::Role role = core::Role::entry;
  std::shared_ptr<Outbox> outbox;
};

// Peers by process id.
struct LinkTable {
  std::map<std::string, LinkedPeer> peers;
};

// Which requests a process terminates during shutdown: those whose responses have not started, or
// all.
enum class StopScope { unanswered, all };

struct Node {
  Node(settings::Settings settings, core::Incarnation incarnation);

  const settings::Settings settings;
  const core::Incarnation incarnation;
  telemetry::Metrics metrics;
  std::atomic<bool> draining = false;
  // Time at which the process exits and aborts the remaining requests. core::Time::max() until a
  // shutdown is requested.
  std::atomic<core::Time> exit_at = core::Time::max();
  InFlight in_flight;
  // Memory for the clients of all listeners.
  const std::shared_ptr<net::ByteBudget> budget;
  // Time of the last log line about each limit, in microseconds of Now(); indexed by reason.
  std::array<std::atomic<std::int64_t>, 6> limit_logged_at{};
  // `history` and `traces` share a lock rank: no thread may hold both locks.
  runtime::Guarded<History, runtime::Rank::traces> history;
  runtime::Guarded<TraceTable, runtime::Rank::traces> traces;
  runtime::Guarded<ConfigState, runtime::Rank::config> config;
  runtime::Guarded<membership::MemberTable, runtime::Rank::members> members;
  runtime::Guarded<LinkTable, runtime::Rank::links> links;
  // Called without locks held after the active configuration changed. Set before the workers start.
  std::function<void()> on_configuration;
  // Called without locks held for each digest from a peer. Set before the workers start.
  std::function<void()> on_digest;
  runtime::Pool pool;
};

// Memory of a process without connections, with its tables, links and log: 20 to 40 MB.
inline constexpr std::size_t kBaseMemoryMb = 48;

// Returns a function that counts what a limit of the listener refused or closed, and logs the first
// of each reason in a minute.
auto MakeLimitObserver(Node& node, std::string listener) -> net::LimitObserver;

// Returns the current time of the monotonic clock.
auto Now() -> core::Time;

// Returns a uniformly distributed random number in [0, 1), used as jitter for processes and
// requests that would otherwise act at the same time. Thread-safe.
auto RandomFraction() -> double;

// Time for which a draining process keeps its listeners open, so that the load balancer, which
// checks once a second and needs two failures, and the other processes stop sending requests before
// connections are refused.
inline constexpr core::Duration kDrainNoticeTime = std::chrono::milliseconds(2500);

// Time before the exit of the process at which requests without a response get a final error
// response. Sending it takes a few event loop iterations of the worker, which are late by up to 45
// ms each at an overloaded entry, and a round trip to an endpoint process.
inline constexpr core::Duration kFinalAnswerTime = std::chrono::milliseconds(500);

// Returns the deadline for the start of a response: kFinalAnswerTime before the process exits.
auto ResponseStartDeadline(const Node& node) -> core::Time;

// Returns the time until which a process that begins to drain now keeps its listeners open:
// kDrainNoticeTime, or the deadline for the start of responses if that is earlier.
auto DrainNoticeEnd(const Node& node) -> core::Time;

// Marks the process as draining, and logs it and records it in the history. Returns false if it was
// draining already.
auto BeginDrain(Node& node) -> bool;

// Counts a request as in flight until the result is released.
auto BeginWork(Node& node) -> std::shared_ptr<void>;

// Begins to drain, and drains each worker's listener for callers at the end of the notice.
// `listener_of` is called on the worker and returns null if it has none. Does nothing if the
// process was draining already.
auto DrainListeners(Node& node,
                    const std::function<net::HttpListener*(std::size_t worker)>& listener_of)
    -> void;

// Adds an event with the current wall-clock time to the request's trace. The caller must hold no
// lock of rank `traces` or above.
auto RecordEvent(Node& node, std::string_view request, TraceEvent event) -> void;

// Returns the snapshot of the active configuration; never null.
auto CurrentSnapshot(Node& node) -> std::shared_ptr<const Snapshot>;

// Returns the VMs of the live endpoints of a service, in the order of the VM list. Entries and
// endpoint processes choose the owners of idempotency keys from this set, so both must compute the
// same one. The pointers refer to `snapshot`.
auto LiveEndpoints(const Snapshot& snapshot, const document::Service& service)
    -> std::vector<const membership::Vm*>;

// Returns the ids of the VMs that LiveEndpoints returns.
auto LiveEndpointIds(const Snapshot& snapshot, const document::Service& service)
    -> std::vector<std::string>;

// Logs an event with the step, peer and message of an error. `request` is the request id, if any.
auto LogError(telemetry::Level level, telemetry::Event event, const std::exception& error,
              std::string_view request = {}) -> void;

// Logs each change of a member state.
auto LogMemberChanges(const std::vector<membership::StateChange>& changes) -> void;

}  // namespace filbertstair::node

namespace filbertstair::core {
template <>
inline constexpr NameTable<node::StopScope, 2> kNames<node::StopScope>{
    {{node::StopScope::unanswered, "unanswered"}, {node::StopScope::all, "all"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_NODE_NODE_H_
