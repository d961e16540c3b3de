#ifndef FILBERTSTAIR_ENDPOINT_SRC_STATE_H_
#define FILBERTSTAIR_ENDPOINT_SRC_STATE_H_

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "filbertstair/admission/admission.h"
#include "filbertstair/admission/limit.h"
#include "filbertstair/endpoint/endpoint.h"
#include "filbertstair/net/h2.h"
#include "filbertstair/net/http_client.h"
#include "filbertstair/node/node.h"
#include "filbertstair/node/outbox.h"
#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/runtime/signal.h"
#include "filbertstair/shares/exchange.h"
#include "filbertstair/shares/shares.h"

namespace filbertstair::endpoint {

// An admitted request. While it waits for a slot, its fiber waits on `changed`.
struct PendingRequest {
  runtime::Signal changed;
  std::atomic<bool> started = false;
  // Set if the request was dropped before it got a slot.
  std::atomic<bool> expired = false;
  std::atomic<bool> cancelled = false;
  // Set if the replica wants no requests for a time.
  std::atomic<bool> closed = false;
  // The members below are accessed by the request's own worker only.
  // Set when the request is cancelled because the process is about to exit.
  bool stopped = false;
  // Whether the response to the entry has started.
  bool response_started = false;
  // Exchange with the replica; null while there is none.
  net::HttpExchange* exchange = nullptr;
};

// An entry with an open control stream.
struct EntryLink {
  std::shared_ptr<node::Outbox> outbox;
  std::uint64_t stream = 0;
  // Moving average of the time from a Grant to its Submit.
  core::Duration round_trip = std::chrono::milliseconds(2);
};

// Weights of workspaces by account name, cached for `snapshot`. Searching the document once per
// candidate made a dispatch quadratic in the number of workspaces.
struct WorkspaceWeights {
  std::shared_ptr<const node::Snapshot> snapshot;
  std::unordered_map<std::string, double> by_account;
};

struct AdmissionTable {
  admission::AdmissionState admission;
  admission::AdmissionPolicy policy;
  admission::CompletionRate completions;
  admission::LimitPolicy limit_policy;
  admission::LimitState limit;
  std::map<core::AttemptId, std::shared_ptr<PendingRequest>> pending;
  std::map<std::string, EntryLink> entries;
  std::uint64_t last_stream = 0;
  std::uint64_t last_charge = 0;
  // End of the time for which the replica wants no requests.
  core::Time closed_until{};
  // Time of issue and charge of each outstanding grant.
  std::map<admission::GrantId, std::pair<core::Time, shares::ChargeId>> grant_charges;
  // Time of the last control message from any entry. After a quiet period without one, this process
  // was paused or disconnected and may have missed changes of the endpoint set.
  core::Time last_contact{};
  // Accounts that had demand when grants were last dispatched.
  std::map<std::string, shares::Workspace> active_accounts;
  WorkspaceWeights weights;
};

// State of one worker, accessed by that worker only.
struct WorkerState {
  // Admitted requests that have not ended.
  std::set<std::shared_ptr<PendingRequest>> calls;
};

struct Endpoint {
  explicit Endpoint(node::Node& node) : node(node), workers(node.pool.Size()) {}

  node::Node& node;
  // Indexed by worker; each element is accessed by its own worker only.
  std::vector<WorkerState> workers;
  runtime::Guarded<AdmissionTable, runtime::Rank::admission> admission;
  runtime::Guarded<shares::ShareTable, runtime::Rank::shares> shares;
  // Wake the fibers that expire grants and that update the limit of running requests.
  runtime::Signal grants_changed;
  runtime::Signal work_started;
  // Whether, since the start of this process, the VM list has contained it and a document has named
  // its pool.
  std::atomic<bool> was_listed = false;
  std::atomic<bool> pool_was_named = false;
  // Whether the replica has said that it leaves. Ends with its next start.
  std::atomic<bool> replica_leaving = false;
};

// Reads the steady clock and the wall clock, the latter in milliseconds.
auto ReadClocks() -> admission::ClockReading;

// Returns the name of the account that a workspace's service is charged to. Shares are accounted
// per service.
auto AccountName(const std::string& service, const std::string& workspace) -> std::string;

// Issues grants while slots allow, to the workspaces with the lowest level first. Locks the
// admission and share tables; the caller must hold no lock.
auto DispatchGrants(Endpoint& endpoint) -> void;

// Restarts the histories of key owners if the last contact with an entry is at least the quiet
// period ago, and records a new contact if `contact` is set. The caller holds the lock of the
// admission table.
auto UpdateContact(AdmissionTable& table, bool contact) -> void;

// Records a change of the number of requests in flight. The caller holds the lock of the admission
// table.
auto ObserveInFlight(AdmissionTable& table) -> void;

// Starts staged requests while slots are free and wakes their fibers. The caller holds the lock of
// the admission table.
auto StartStagedRequests(AdmissionTable& table) -> void;

// Cancels the charges of grants that ended without a request. The caller holds the lock of the
// admission table.
auto RefundGrants(Endpoint& endpoint, AdmissionTable& table,
                  const std::vector<admission::Grant>& grants) -> void;

// Applies the current configuration to slots, key owners and share settings.
auto ApplyConfiguration(Endpoint& endpoint) -> void;

// Wakes the control streams so that they report the changed load. Locks the admission table.
auto NotifyLoadChange(Endpoint& endpoint) -> void;

// Cancels the requests of the calling worker: those that wait for a slot are refused, those at the
// replica fail, and responses that have started are aborted if `scope` is `all`.
auto CancelWorkerRequests(WorkerState& worker, node::StopScope scope) -> void;

// What the head of a response tells of the replica and of the request.
struct ReplicaWord {
  // Whether the replica turned the request away without running it.
  bool refused = false;
  bool leaving = false;
  // Time for which it wants no requests.
  std::optional<core::Duration> closed_for;
};

auto ReadReplicaWord(const net::HttpResponseHead& head) -> ReplicaWord;

// Applies what the replica says of itself: offers are withdrawn while it leaves or is closed.
auto ApplyReplicaWord(Endpoint& endpoint, const ReplicaWord& word) -> void;

// Serves the control stream of an entry until it ends.
auto ServeControlStream(Endpoint& endpoint, const std::shared_ptr<net::Stream>& stream) -> void;

// Serves a stream that carries one Submit or Withdraw message.
auto ServeRequestStream(Endpoint& endpoint, const std::shared_ptr<net::Stream>& stream) -> void;

}  // namespace filbertstair::endpoint

#endif  // FILBERTSTAIR_ENDPOINT_SRC_STATE_H_
