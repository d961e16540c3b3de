#ifndef FILBERTSTAIR_NODE_NODE_H_
#define FILBERTSTAIR_NODE_NODE_H_

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
#include "filbertstair/node/history.h"
#include "filbertstair/node/in_flight.h"
#include "filbertstair/node/outbox.h"
#include "filbertstair/node/trace.h"
#include "filbertstair/runtime/pool.h"
#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/settings/settings.h"
#include "filbertstair/telemetry/log.h"
#include "filbertstair/telemetry/metrics.h"

// What both roles have in common: identity, configuration in force, membership, control streams,
// and the admin listener.
namespace filbertstair::node {

// The configuration in force as one immutable value. A request uses one snapshot from start to end.
struct Snapshot {
  std::map<std::string, std::shared_ptr<const document::Service>> services;
  document::NameIndex names;
  membership::VmList vms;
  // Whether a VM list and at least one document are in force.
  bool configured = false;
};

struct ConfigState {
  config::ConfigTable table;
  config::FetchTable fetches;
  config::WatchState watch;
  std::shared_ptr<const Snapshot> snapshot = std::make_shared<const Snapshot>();
  // Whether this process has held exactly the objects of some peer. Before, a missing document or
  // row says nothing, because objects arrive one by one.
  bool synced = false;
};

// A peer with an open control stream.
struct LinkedPeer {
  core::Role role = core::Role::entry;
  std::shared_ptr<Outbox> outbox;
};

struct LinkTable {
  std::map<std::string, LinkedPeer> peers;
};

// Which requests a process ends that is about to end itself: those whose answers have not begun, or
// the others too.
enum class StopScope { unanswered, all };

struct Node {
  Node(settings::Settings settings, core::Incarnation incarnation);

  const settings::Settings settings;
  const core::Incarnation incarnation;
  telemetry::Metrics metrics;
  std::atomic<bool> draining = false;
  // Time at which the process ends and cuts what is left. The latest time there is until the
  // process is told to stop.
  std::atomic<core::Time> exit_at = core::Time::max();
  InFlight in_flight;
  // `history` and `traces` have one rank: no thread locks both.
  runtime::Guarded<History, runtime::Rank::traces> history;
  runtime::Guarded<TraceTable, runtime::Rank::traces> traces;
  runtime::Guarded<ConfigState, runtime::Rank::config> config;
  runtime::Guarded<membership::MemberTable, runtime::Rank::members> members;
  runtime::Guarded<LinkTable, runtime::Rank::links> links;
  // Called without locks after the configuration in force changed. Set before the workers start.
  std::function<void()> on_configuration;
  // Called without locks for each digest from a peer. Set before the workers start.
  std::function<void()> on_digest;
  runtime::Pool pool;
};

// Time on the process's monotonic clock.
auto Now() -> core::Time;

// Returns a random number in [0, 1), to spread processes and requests that act at the same time.
auto RandomFraction() -> double;

// A draining process keeps its listeners open for this long, so that the balancer, which asks once
// a second and needs two misses, and the other processes learn of it before connections are
// refused.
inline constexpr core::Duration kDrainNoticeTime = std::chrono::milliseconds(2500);

// Time before the end of the process at which requests without an answer get a final one. An answer
// takes a few turns of its worker, which are late by up to 45 ms each at an overloaded entry, and a
// question to an endpoint process.
inline constexpr core::Duration kFinalAnswerTime = std::chrono::milliseconds(500);

// Returns the time until which a request must have begun its answer.
auto ResponseStartDeadline(const Node& node) -> core::Time;

// Marks the process as draining, logs and records it. Returns false if it was draining already.
auto BeginDrain(Node& node) -> bool;

// Adds an event of now to the request's record. Call without locks of rank `traces` or above.
auto RecordEvent(Node& node, std::string_view request, TraceEvent event) -> void;

auto CurrentSnapshot(Node& node) -> std::shared_ptr<const Snapshot>;

// Returns the VMs of the live endpoints of a service, in the order of the VM list. Entries and
// endpoint processes find the owners of idempotency keys among them, so both must use the same set.
auto LiveEndpoints(const Snapshot& snapshot, const document::Service& service)
    -> std::vector<const membership::Vm*>;

// Returns the ids of LiveEndpoints.
auto LiveEndpointIds(const Snapshot& snapshot, const document::Service& service)
    -> std::vector<std::string>;

// Logs an event with the fields of an error: step, peer and message.
auto LogError(telemetry::Level level, telemetry::Event event, const std::exception& error,
              std::string_view request = {}) -> void;

// Logs changes of member states.
auto LogMemberChanges(const std::vector<membership::StateChange>& changes) -> void;

}  // namespace filbertstair::node

namespace filbertstair::core {
template <>
inline constexpr NameTable<node::StopScope, 2> kNames<node::StopScope>{
    {{node::StopScope::unanswered, "unanswered"}, {node::StopScope::all, "all"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_NODE_NODE_H_
