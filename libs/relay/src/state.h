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
#include "filbertstair/direct/availability.h"
#include "filbertstair/direct/budget.h"
#include "filbertstair/direct/dispute.h"
#include "filbertstair/direct/evacuation.h"
#include "filbertstair/direct/events.h"
#include "filbertstair/direct/fleet.h"
#include "filbertstair/direct/intake.h"
#include "filbertstair/direct/pressure.h"
#include "filbertstair/direct/quarantine.h"
#include "filbertstair/direct/queue.h"
#include "filbertstair/direct/replicas.h"
#include "filbertstair/direct/residency.h"
#include "filbertstair/direct/restored.h"
#include "filbertstair/direct/rotation.h"
#include "filbertstair/direct/round.h"
#include "filbertstair/direct/send_check.h"
#include "filbertstair/direct/usage.h"
#include "filbertstair/net/http_client.h"
#include "filbertstair/net/http_server.h"
#include "filbertstair/node/node.h"
#include "filbertstair/node/refusal.h"
#include "filbertstair/relay/dialect.h"
#include "filbertstair/relay/relay.h"
#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/runtime/signal.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::relay {

using Exchange = std::shared_ptr<net::HttpExchange>;

using direct::Assignment;

// A request in a queue. Its fiber waits on `changed`; the other members are guarded by the lock of
// the dispatch table.
struct PendingRequest {
  runtime::Signal changed;
  std::string service;
  const direct::Prompt* prompt = nullptr;
  const std::set<std::string>* tried = nullptr;
  std::string workspace;
  double cost = 1;
  // Hash of the request's id, with which its replica is drawn.
  std::uint64_t random = 0;
  // Until then the request waits for the cache owner of its shared blocks.
  core::Time cache_owner_wait_until{};
  // Requests of the service that were queued when this one arrived.
  std::size_t queued_ahead = 0;
  std::optional<Assignment> assignment;
  // Set if no replica remains that the request could be sent to while it may wait.
  bool unassignable = false;
  // Time until which the request may wait.
  core::Time latest{};
  // Regions in which the request may be served, from the configuration that its call holds.
  direct::Residency residency;
};

// A shared prefix block that a replica caches when it runs a request of this entry.
struct PrefixUpdate {
  std::string replica;
  direct::PrefixCache::Block block;
};

// Who told this entry something of a replica: the platform's list, the replica itself by its
// responses or its end, or another entry.
enum class ReportSource { list, replica, peer };

// What this entry has learnt of suspected prompt blocks, for its peers: a crash as evidence against
// blocks, or else the suspected blocks that a sound response speaks for.
struct QuarantineUpdate {
  std::optional<direct::CrashEvidence> evidence;
  std::vector<std::uint64_t> sound_blocks;
};

// Max-min share of the service that this entry admits, in units of recent service, cached until
// `valid_until`.
struct CachedShare {
  double service = 0;
  core::Time valid_until{};
};

// Replicas, waiting requests and budgets of this entry.
struct DispatchTable {
  direct::ReplicaTable replicas;
  std::map<std::string, direct::FairQueue, std::less<>> queues;
  // The assignment round of each service; arriving requests continue it.
  std::map<std::string, direct::AssignmentRound, std::less<>> rounds;
  std::map<std::string, direct::RetryBudget, std::less<>> budgets;
  // By service; used while the entry limits its admission rate.
  std::map<std::string, CachedShare, std::less<>> shares;
  // Recent request durations, by route.
  std::map<std::string, core::DurationStats, std::less<>> durations;
  // Usage since the last usage log lines, by service.
  std::map<std::string, direct::UsageTable, std::less<>> usage;
  std::map<direct::Ticket, std::shared_ptr<PendingRequest>> pending;
  direct::Ticket last_ticket = 0;
  // The latest cached blocks to report to other entries, and the number of all that were ever
  // added.
  std::deque<PrefixUpdate> prefix_updates;
  std::uint64_t prefix_update_count = 0;
  direct::QuarantineTable quarantine;
  // The latest updates to report to other entries, and the number of all that were ever added.
  std::deque<QuarantineUpdate> quarantine_updates;
  std::uint64_t quarantine_update_count = 0;
  // Number of blocks in the updates.
  std::size_t quarantine_update_blocks = 0;
  // Until this time a replica that is missing from the platform's list is kept, as it may be
  // missing only because the list was unavailable.
  core::Time delist_grace_until{};
  // Replicas that a copy from which the platform's store was restored must not bring back.
  direct::WithdrawnReplicas withdrawn;
  // Failure domains that the operator evacuates, and until when each one holds that a copy lacks.
  direct::HeldKeys evacuations;
};

// An idle connection to a replica.
struct IdleConnection {
  Exchange exchange;
  core::Time expires_at{};
};
struct Call;

// State that is used by one worker only.
struct WorkerState {
  // By replica address; the most recently used connection is at the end.
  std::map<std::string, std::list<IdleConnection>> idle;
  std::shared_ptr<net::HttpListener> caller_listener;
  direct::OverloadState overload;
  direct::AdmissionLimiter limiter;
  // Requests in flight.
  std::set<std::shared_ptr<Call>> calls;
};

// Another entry, by the address of its listener.
struct PeerLink {
  bool seed = false;
  // Set if the address is this process's own.
  bool self = false;
  // Present while the link that this entry opened is established.
  std::shared_ptr<node::Outbox> outbox;
};
// Last reported state of another entry of the failure domain; its state is `out` after its link was
// closed.
struct NeighborEntry {
  direct::RotationMember member;
  core::Time updated_at{};
};
struct PeerTable {
  std::map<std::string, PeerLink> peers;
  // Times at which peers last reported the addresses of entries, also of those without a link.
  std::map<std::string, core::Time> reported_at;
  // Other entries of this entry's failure domain, by id.
  std::map<std::string, NeighborEntry> neighbors;
  // Times until which the configurations of the entries with a link to this one count as confirmed,
  // by entry id.
  std::map<std::string, core::Time> confirmed_until;
};

struct Policies {
  direct::ReplicaPolicy replicas;
  direct::QueuePolicy queue;
  direct::RetryBudgetPolicy budget;
  direct::OverloadPolicy overload;
  direct::AdmissionRatePolicy admission;
  direct::RotationPolicy rotation;
  direct::QuarantinePolicy quarantine;
  direct::AvailabilityPolicy availability;
  direct::DisputePolicy disputes;
  direct::RestoredPolicy restored;
  core::DrainPolicy drain;
};

struct Relay {
  Relay(node::Node& node, const Dialect& dialect, const Policies& policies)
      : node(node), dialect(dialect), policies(policies), workers(node.pool.Size()) {}

  node::Node& node;
  const Dialect dialect;
  const Policies policies;
  direct::Origin origin;
  runtime::Guarded<std::shared_ptr<const direct::FleetConfig>, runtime::Rank::config> fleet;
  const core::Time started_at = node::Now();
  runtime::Guarded<DispatchTable, runtime::Rank::queue> dispatch;
  runtime::Guarded<PeerTable, runtime::Rank::links> peers;
  // Notified when capacity was freed that waiting requests may use.
  runtime::Signal capacity_freed;
  // Time of the last confirmation in microseconds of TimeSinceBoot; 0 before the first.
  std::atomic<std::int64_t> confirmed_at_us = 0;
  // This entry's rotation state as reported to its peers, and whether it leaves new callers to the
  // other entries of its failure domain. Set by the first worker.
  std::atomic<core::RotationState> rotation = core::RotationState::serving;
  std::atomic<bool> left_rotation = false;
  // Whether the capacity of a service varies, as in ServeNewestFirst.
  std::atomic<bool> capacity_varies = false;
  // Indexed by worker; each element is used by its own worker only.
  std::vector<WorkerState> workers;
};

// A complete response that is held back while another replica may give a better one.
struct BufferedResponse {
  int status = 0;
  net::Headers headers;
  std::string body;
  net::Framing framing = net::Framing::self_delimited;
};

// Why an attempt ended without a whole response: the replica or the network ended the connection or
// the response was invalid, the entry ended it because the replica was silent, or the caller's
// deadline was reached.
enum class CutCause { replica, silence, deadline };

// A caller's request while the relay handles it. Used by the fiber that handles it and by the fiber
// that detects that the caller has disconnected.
struct Call {
  std::string id;
  core::Time arrived{};
  // Time at which its first bytes arrived; the caller's deadline counts from there.
  core::Time began_at{};
  core::Time deadline{};
  RequestHead head;
  std::shared_ptr<const direct::FleetConfig> fleet;
  const direct::Route* route = nullptr;
  std::string service;
  std::string workspace;
  // Regions in which the request may be served; refers to `fleet`.
  direct::Residency residency;
  // Estimated service: tokens for a model (a generated token counts twice), 1 otherwise.
  double cost = 1;
  // Cost for the admission rate, relative to that of the mean request.
  double admission_cost = 1;
  std::shared_ptr<PendingRequest> pending = std::make_shared<PendingRequest>();
  // Connection to the replica during an attempt.
  Exchange exchange;
  // Time at which the attempt counts as silent unless the replica takes the request or sends the
  // next part of its response before, and whether EndSilentAttempts has seen that pass. The maximum
  // while the replica is not awaited, and if no other one may be tried.
  core::Time silent_at = core::Time::max();
  bool seen_silent = false;
  // Whether the silence was counted as a failure of the replica.
  bool silence_counted = false;
  // The replica that takes over from a silent one, with a retry taken from the budget.
  std::optional<Assignment> successor;
  bool caller_disconnected = false;
  // Set when the request is ended because the process exits.
  bool stopped = false;
  // Set when an attempt is ended because the prompt was quarantined meanwhile.
  bool quarantined = false;
  // The replica of the last attempt, and all replicas that received the request.
  std::string replica;
  std::set<std::string> tried;
  direct::EventSplitter event_splitter;
  std::optional<BufferedResponse> buffered;
  // Whether the start of the response has been sent to the caller, and how the caller detects its
  // end.
  bool response_started = false;
  net::Framing framing = net::Framing::self_delimited;
};

// Why an attempt ended without a response to the caller.
struct Failure {
  core::Reason reason = core::Reason::connection_lost;
  core::Outcome outcome = core::Outcome::unknown;
  core::Step step = core::Step::read;
  std::string message;
  // Whether the replica was reached, so that the attempt counts against the limits on retries.
  bool reached_replica = true;
  // Whether the replica ended, perhaps because of this request.
  bool crashed_replica = false;
};

// Returns the state of the calling worker.
inline auto ThisWorker(Relay& relay) -> WorkerState& {
  return relay.workers[runtime::WorkerIndex()];
}

auto CurrentFleet(Relay& relay) -> std::shared_ptr<const direct::FleetConfig>;

// Returns the time for which the current configuration may still decide on credentials without
// another confirmation.
auto FleetLease(Relay& relay) -> core::Duration;

// Returns whether that time is above zero.
auto HasCurrentFleet(Relay& relay) -> bool;

auto HandleRequest(Relay& relay, const net::HttpRequest& request, net::Responder& responder)
    -> void;

// Admits or refuses a request by its head alone; with `full` it refuses every one. Does neither if
// the request needs another response. Does not suspend the fiber.
auto ScreenRequest(Relay& relay, const net::HttpRequest& head, bool full) -> net::ScreenResult;

// Admits or refuses a request before its body is read. Does not suspend the fiber.
auto CheckHead(Relay& relay, const net::HttpRequest& head) -> net::ScreenResult;

// Ends requests of the worker: those that wait for a replica are refused, those at a replica fail,
// and responses that have started are truncated if `scope` is `all`.
auto StopCalls(WorkerState& worker, node::StopScope scope) -> void;

// Returns the retry budget of the service. Call with the table locked.
auto FindOrAddBudget(const Relay& relay, DispatchTable& table, const std::string& service)
    -> direct::RetryBudget&;

// Count a request that arrived, one that was admitted, and one that was refused.
auto CountArrival(Relay& relay, const Call& call) -> void;
auto CountAdmission(Relay& relay, const Call& call) -> void;
auto CountRefusal(Relay& relay, const Call& call, core::Reason reason) -> void;

// Logs the usage of the workspaces that requested most since the last call.
auto LogUsage(Relay& relay) -> void;

// Waits until a replica is assigned to the request, at most until `latest`. Returns nothing if none
// was.
auto AcquireReplica(Relay& relay, Call& call, core::Time latest) -> std::optional<Assignment>;

// Assigns another replica to a request that is at a replica and takes a retry from the budget.
// Returns nothing and changes nothing unless both can be done at once. Does not suspend the fiber.
auto AssignSuccessor(Relay& relay, const Call& call) -> std::optional<Assignment>;

// Counts a failure of each replica that has been silent for too long, and ends these attempts of
// the worker if a successor can be assigned: silence alone does not tell a failed replica from one
// that is paused and will go on. Call at short intervals. Does not suspend the fiber.
auto EndSilentAttempts(Relay& relay) -> void;

// Records a failure of the replica that has the request, which may eject it.
auto CountFailure(Relay& relay, const Call& call, direct::ReplicaFault fault) -> void;

// Record the first part of the response, and the end of the request at the replica.
auto MarkResponseStarted(Relay& relay, Assignment& assignment) -> void;
auto ReleaseAssignment(Relay& relay, Assignment& assignment) -> void;

// Assigns replicas to waiting requests of the service in a new assignment round, as replicas may
// have free capacity that they did not have before. Call with the table locked.
auto AssignWaiting(Relay& relay, DispatchTable& table, const std::string& service) -> void;

// Ends the evacuations that a copy lacks and that nobody has written again in time.
auto EndExpiredEvacuations(Relay& relay) -> void;

// Serves the requests of the service that arrive from now on newest first. For services whose
// capacity varies, so that any queue may outlast its requests: their replicas share machines, which
// a pace in a load report states, or return cold, which the configuration states. Call with the
// table locked.
auto ServeNewestFirst(Relay& relay, DispatchTable& table, const std::string& service) -> void;

// Resolves waiting requests whose prompts are quarantined without an assignment. Call with the
// table locked.
auto ResolveQuarantined(Relay& relay, DispatchTable& table) -> void;

// Resolves waiting requests that no replica is left for without an assignment, also those that the
// assignment round has skipped or not reached. Call with the table locked.
auto ResolveUnplaceable(Relay& relay, DispatchTable& table) -> void;

// Returns why the prompt of the request must not be sent to a replica, or nothing if it may be.
auto FindQuarantine(Relay& relay, const Call& call) -> std::optional<direct::Quarantine>;

// Handles that an attempt was cut. If the request may have crashed the replica and that refuses
// connections, records this as evidence against the blocks of the prompt and returns true. Suspends
// the fiber for a round trip to the replica.
auto RecordIfCrashed(Relay& relay, const Call& call, const Assignment& assignment) -> bool;

// Records the suspected crashes that listings in use confirm.
auto ConfirmCrashes(Relay& relay, const std::vector<direct::Listing>& listings) -> void;

// Returns whether the request may be sent to another replica although it may have crashed one.
auto MayRetryAfterCrash(Relay& relay, const Call& call) -> bool;

// Records that a response to the request went well.
auto RecordSoundResponse(Relay& relay, const Call& call) -> void;

// Adds to the message what a link has not been sent yet of the suspected blocks: all evidence, if
// updates that the link needs are no longer retained. `sent_count` is empty for a new link and
// updated.
auto CollectQuarantineUpdates(const DispatchTable& table, std::optional<std::uint64_t>& sent_count,
                              wire::EntryState& message) -> void;

// Applies what another entry reports of suspected blocks.
auto ApplyQuarantineUpdates(Relay& relay, const wire::EntryState& message) -> void;

// Exports the memory that evidence on prompt blocks takes, and what was dropped since the last
// call.
auto MeasureEvidence(Relay& relay) -> void;

// Accepts links from other entries on the calling worker.
auto ListenPeers(const std::shared_ptr<Relay>& relay) -> void;

// Returns the other entries of the failure domain, including those whose link was lost in the last
// 60 s.
auto ListNeighbors(Relay& relay) -> std::vector<direct::RotationMember>;

// Returns the number of known entries, including this one and those without a link.
auto CountEntries(Relay& relay) -> std::size_t;

// Wakes the links to peers so that they send the changed load soon. Call without holding the
// dispatch table's lock.
auto WakePeers(Relay& relay) -> void;

// Sends a buffered response, framed as its replica framed it.
auto SendBufferedResponse(net::Responder& responder, const BufferedResponse& buffered) -> void;

// Sends the request to the assigned replica and relays its response. Returns nothing if the caller
// has the whole response, or else why the attempt failed.
auto RunAttempt(Relay& relay, Call& call, const net::HttpRequest& request, Assignment& assignment,
                net::Responder& responder) -> std::optional<Failure>;

// Returns an idle connection to the address that is still open, or null.
auto TakeIdleConnection(Relay& relay, const std::string& address) -> Exchange;

// Stores a connection for the next request if it can carry one and fewer than `max_idle`
// connections to the address are stored; closes it otherwise.
auto StoreIdleConnection(Relay& relay, const std::string& address, Exchange exchange,
                         std::optional<core::Duration> keep_alive, std::size_t max_idle) -> void;

// Closes all idle connections of the worker to the address.
auto CloseIdleConnections(WorkerState& worker, const std::string& address) -> void;

// Applies what a replica says of itself in the head of a response: that it leaves, or wants no
// requests for a time.
auto ApplyAvailability(Relay& relay, const Call& call, const Assignment& assignment,
                       const ResponseHead& head) -> void;

// Applies what another entry reports of replicas that leave.
auto ApplyLeaving(Relay& relay, const std::vector<wire::LeavingReplica>& leaving) -> void;

// Returns whether the assigned request may still be sent to its replica. Counts and logs if not.
auto CheckSend(Relay& relay, const Call& call, const Assignment& assignment) -> direct::SendVerdict;

// Applies the part of a listing in use that tells of cold time. Call with the table locked.
auto ApplyColdListing(Relay& relay, DispatchTable& table, const direct::Listing& listing) -> void;

// Applies what a replica says of its cold time in the head of a response.
auto ApplyColdReport(Relay& relay, const Assignment& assignment, const ResponseHead& head) -> void;

// Records that the replica's process has ended, so that it is cold when it is next reached.
auto RecordReplicaEnd(Relay& relay, const Assignment& assignment) -> void;

// Returns whether a request may be sent to its replica now, as far as that is cold, and records the
// send. Call when the connection is open.
auto BeginColdSend(Relay& relay, Assignment& assignment) -> bool;

// Record that the request was written, and that the head of the response was received.
auto RecordColdWritten(Relay& relay, Assignment& assignment) -> void;
auto RecordColdAnswer(Relay& relay, Assignment& assignment) -> void;

// Updates how the rate of cold replicas is split over the entries that this one knows.
auto UpdateColdSplit(Relay& relay) -> void;

// Returns the other known entries, including those without a link, and whether a link is open.
auto ListKnownEntries(Relay& relay) -> direct::ColdView;

// Waits until capacity was freed or a cold replica may take another request.
auto WaitForCapacity(Relay& relay) -> void;

// Closes idle connections of the worker that have expired.
auto CloseExpiredConnections(WorkerState& worker, core::Time now) -> void;

}  // namespace filbertstair::relay

namespace filbertstair::core {
template <>
inline constexpr NameTable<relay::ReportSource, 3> kNames<relay::ReportSource>{
    {{relay::ReportSource::list, "list"},
     {relay::ReportSource::replica, "replica"},
     {relay::ReportSource::peer, "peer"}}};
template <>
inline constexpr NameTable<relay::CutCause, 3> kNames<relay::CutCause>{
    {{relay::CutCause::replica, "replica"},
     {relay::CutCause::silence, "silence"},
     {relay::CutCause::deadline, "deadline"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_RELAY_SRC_STATE_H_
