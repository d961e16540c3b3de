#ifndef FILBERTSTAIR_RELAY_SRC_STATE_H_
#define FILBERTSTAIR_RELAY_SRC_STATE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "filbertstair/core/drain.h"
#include "filbertstair/direct/assignment.h"
#include "filbertstair/direct/budget.h"
#include "filbertstair/direct/events.h"
#include "filbertstair/direct/fleet.h"
#include "filbertstair/direct/intake.h"
#include "filbertstair/direct/pressure.h"
#include "filbertstair/direct/queue.h"
#include "filbertstair/direct/replicas.h"
#include "filbertstair/direct/rotation.h"
#include "filbertstair/direct/round.h"
#include "filbertstair/direct/usage.h"
#include "filbertstair/net/http_client.h"
#include "filbertstair/net/http_server.h"
#include "filbertstair/node/node.h"
#include "filbertstair/node/refusal.h"
#include "filbertstair/relay/dialect.h"
#include "filbertstair/relay/relay.h"
#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/runtime/signal.h"

namespace filbertstair::relay {

using Exchange = std::shared_ptr<net::HttpExchange>;

using direct::Assignment;

// A request in a queue. Its fiber waits on `changed`; the other members are used under the lock of
// the dispatch table.
struct Pending {
  runtime::Signal changed;
  std::string service;
  const direct::Prompt* prompt = nullptr;
  const std::set<std::string>* tried = nullptr;
  std::string workspace;
  double cost = 1;
  // Requests of the service that waited when this one arrived.
  std::size_t ahead = 0;
  std::optional<Assignment> assignment;
  // Set if no replica is left that the request could be sent to.
  bool hopeless = false;
};

// A shared part that a replica reads for a request of this entry.
struct KeptNews {
  std::string replica;
  direct::PrefixCache::Block part;
};

// Max-min share of what this entry takes in, in recent service, and how long it is in force.
struct ShareInForce {
  double service = 0;
  core::Time until{};
};

// Replicas, waiting requests and budgets of this entry.
struct DispatchTable {
  direct::ReplicaTable replicas;
  std::map<std::string, direct::FairQueue, std::less<>> queues;
  // The round of assignments of each service that arriving requests continue.
  std::map<std::string, direct::AssignmentRound, std::less<>> rounds;
  std::map<std::string, direct::RetryBudget, std::less<>> budgets;
  // By service; used while the entry bounds what it takes in.
  std::map<std::string, ShareInForce, std::less<>> shares;
  // Recent durations of requests, by route.
  std::map<std::string, core::DurationStats, std::less<>> durations;
  // Usage since the last log lines, by service.
  std::map<std::string, direct::UsageTable, std::less<>> usage;
  std::map<direct::Ticket, std::shared_ptr<Pending>> pending;
  direct::Ticket last_ticket = 0;
  // The latest news for other entries, and the number of all there have been.
  std::deque<KeptNews> kept_news;
  std::uint64_t kept_count = 0;
  // End of the time in which a replica that is missing from the platform's list may only be
  // missing because the list was away.
  core::Time forgive_until{};
};

// An idle connection to a replica.
struct IdleConnection {
  Exchange exchange;
  core::Time until{};
};
struct Call;

// State that is used by one worker only.
struct WorkerState {
  // By address, the last used one at the end.
  std::map<std::string, std::list<IdleConnection>> idle;
  std::shared_ptr<net::HttpListener> callers;
  direct::OverloadState pressure;
  direct::AdmissionLimiter intake;
  // Requests in flight.
  std::set<std::shared_ptr<Call>> calls;
};

// Another entry, by the address of its listener.
struct PeerLink {
  bool seed = false;
  // Set if the address turned out to be this process's own.
  bool self = false;
  // Present while the link that this entry opened is up.
  std::shared_ptr<node::Outbox> outbox;
};
// What another entry of the failure domain last said of itself, or that its link is gone.
struct NeighborEntry {
  direct::RotationMember member;
  core::Time heard{};
};
struct PeerTable {
  std::map<std::string, PeerLink> peers;
  // Other entries of this entry's failure domain, by id.
  std::map<std::string, NeighborEntry> neighbors;
  // Times until which the configurations of the entries with a link to this one count as
  // confirmed, by id.
  std::map<std::string, core::Time> current_until;
};

struct Policies {
  direct::ReplicaPolicy replicas;
  direct::QueuePolicy queue;
  direct::RetryBudgetPolicy budget;
  direct::OverloadPolicy pressure;
  direct::AdmissionRatePolicy intake;
  direct::RotationPolicy rotation;
  core::DrainPolicy drain;
};

struct Relay {
  Relay(node::Node& node, const Dialect& dialect)
      : node(node), dialect(dialect), workers(node.pool.Size()) {}

  node::Node& node;
  const Dialect dialect;
  const Policies policies;
  direct::Origin origin;
  runtime::Guarded<std::shared_ptr<const direct::FleetConfig>, runtime::Rank::config> fleet;
  runtime::Guarded<DispatchTable, runtime::Rank::queue> dispatch;
  runtime::Guarded<PeerTable, runtime::Rank::links> peers;
  // Notified when room was freed that waiting requests may use.
  runtime::Signal freed;
  // Time of the last confirmation in microseconds of BootTime; 0 before the first.
  std::atomic<std::int64_t> confirmed = 0;
  // This entry's state towards the balancer, and whether it leaves new callers to the other entries
  // of its failure domain. Set by the first worker.
  std::atomic<core::RotationState> rotation = core::RotationState::serving;
  std::atomic<bool> left_rotation = false;
  // Indexed by worker; each element is used by its own worker only.
  std::vector<WorkerState> workers;
};

// A whole answer that is not passed on while another replica may give a better one.
struct HeldAnswer {
  int status = 0;
  net::Headers headers;
  std::string body;
  net::Framing framing = net::Framing::self_delimited;
};

// A caller's request on its way through the relay. Used by the fiber that handles it, and by the
// fiber that notices that the caller has left.
struct Call {
  std::string id;
  core::Time arrived{};
  core::Time deadline{};
  CallHead head;
  std::shared_ptr<const direct::FleetConfig> fleet;
  const direct::Route* route = nullptr;
  std::string service;
  std::string workspace;
  // Service that the request is expected to take: tokens for a model, 1 otherwise.
  double cost = 1;
  std::shared_ptr<Pending> pending = std::make_shared<Pending>();
  // Connection to the replica while there is one.
  Exchange exchange;
  bool caller_gone = false;
  // Set when the request is ended because the process ends.
  bool stopped = false;
  // The replica of the last attempt, and all that the request was sent to.
  std::string replica;
  std::set<std::string> tried;
  direct::EventSplitter events;
  std::optional<HeldAnswer> held;
  // Whether the first part of the answer has been passed on, and how its caller learns of its end.
  bool begun = false;
  net::Framing framing = net::Framing::self_delimited;
};

// How an attempt ended that did not answer the caller.
struct Failure {
  core::Reason reason = core::Reason::connection_lost;
  core::Outcome outcome = core::Outcome::unknown;
  core::Step step = core::Step::read;
  std::string message;
  // Whether the replica was reached, so that the attempt counts against the bounds of retries.
  bool sent = true;
};

// State of the calling worker.
inline auto ThisWorker(Relay& relay) -> WorkerState& {
  return relay.workers[runtime::WorkerIndex()];
}

auto CurrentFleet(Relay& relay) -> std::shared_ptr<const direct::FleetConfig>;

// Time for which the configuration in force may still decide on credentials without another
// confirmation.
auto FleetLease(Relay& relay) -> core::Duration;

// Whether that time is not over.
auto HasCurrentFleet(Relay& relay) -> bool;

auto HandleRequest(Relay& relay, const net::HttpRequest& request, net::Responder& responder)
    -> void;

// Takes a request in or refuses it, by its head alone; with `full` it refuses all. Does neither if
// the request is to be answered otherwise. Does not suspend.
auto ScreenRequest(Relay& relay, const net::HttpRequest& head, bool full) -> net::ScreenResult;

// Ends requests of the calling worker: those that wait for a replica are refused, those at a
// replica fail, and answers that have begun are cut.
auto StopCalls(WorkerState& worker, node::StopScope scope) -> void;

// Counts a request that arrived, one that was taken in, and one that was refused.
auto CountAsked(Relay& relay, const Call& call) -> void;
auto CountTaken(Relay& relay, const Call& call) -> void;
auto CountRefused(Relay& relay, const Call& call, core::Reason reason) -> void;

// Writes the log lines of the workspaces that asked for most since the last call.
auto LogUsage(Relay& relay) -> void;

// Waits until the request has a replica, at most until `latest`. Returns nothing if it got none.
auto Acquire(Relay& relay, Call& call, core::Time latest) -> std::optional<Assignment>;

// Notes the first part of the answer, and the end of the request at the replica.
auto NoteBegun(Relay& relay, Assignment& assignment) -> void;
auto Release(Relay& relay, Assignment& assignment) -> void;

// Assigns replicas to waiting requests of the service, in a new round: replicas may have room that
// they did not have. The table is locked.
auto AssignWaiting(Relay& relay, DispatchTable& table, const std::string& service) -> void;

// Accepts links from other entries on the calling worker.
auto ListenPeers(const std::shared_ptr<Relay>& relay) -> void;

// Returns the other entries of the failure domain, with those that were lost lately.
auto Neighbors(Relay& relay) -> std::vector<direct::RotationMember>;

// Returns the number of entries that this one knows of, with itself.
auto CountEntries(Relay& relay) -> std::size_t;

// Tells the linked entries soon that the load changed. Call without the dispatch table.
auto WakePeers(Relay& relay) -> void;

// Sends a whole answer that was kept, framed as its replica did.
auto RespondHeld(net::Responder& responder, const HeldAnswer& held) -> void;

// Sends the request to the assigned replica and passes its answer on. Returns nothing if the caller
// has the whole answer, or how the attempt failed.
auto Attempt(Relay& relay, Call& call, const net::HttpRequest& request, Assignment& assignment,
             net::Responder& responder) -> std::optional<Failure>;

// Returns an idle connection to the address that is still open, or null.
auto TakeIdle(Relay& relay, const std::string& address) -> Exchange;

// Keeps a connection for the next request if it may carry one, and if fewer than `max_idle` are
// kept to the address.
auto PutIdle(Relay& relay, const std::string& address, Exchange exchange,
             std::optional<core::Duration> keep_alive, std::size_t max_idle) -> void;

// Closes idle connections of the calling worker whose time is over.
auto SweepIdle(WorkerState& worker, core::Time now) -> void;

}  // namespace filbertstair::relay

#endif  // FILBERTSTAIR_RELAY_SRC_STATE_H_
