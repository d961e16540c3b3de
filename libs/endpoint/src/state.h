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
  // The members below are used by the request's own worker only.
  // Set when the request is ended because the process ends.
  bool stopped = false;
  // Whether the answer has begun.
  bool response_started = false;
  // The exchange with the replica while there is one.
  net::HttpExchange* exchange = nullptr;
};

// An entry with an open control stream.
struct EntryLink {
  std::shared_ptr<node::Outbox> outbox;
  std::uint64_t stream = 0;
  // Recent time from a Grant to its Submit.
  core::Duration round_trip = std::chrono::milliseconds(2);
};

// WorkspaceWeights of the workspaces by account. Kept for the snapshot they were read from: a
// search through the document per candidate made a dispatch quadratic in the workspaces.
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
  // Time of issue and charge of each outstanding grant.
  std::map<admission::GrantId, std::pair<core::Time, shares::ChargeId>> grant_charges;
  // Time of the last control message from any entry. Without one for the quiet period this process
  // was paused or cut off, and may have missed changes of the endpoint set.
  core::Time last_contact{};
  // Accounts with demand when grants were last dispatched.
  std::map<std::string, shares::Workspace> active_accounts;
  WorkspaceWeights weights;
};

// State that is used by one worker only.
struct WorkerState {
  // Admitted requests that have not ended.
  std::set<std::shared_ptr<PendingRequest>> calls;
};

struct Endpoint {
  explicit Endpoint(node::Node& node) : node(node), workers(node.pool.Size()) {}

  node::Node& node;
  // Indexed by worker; each element is used by its own worker only.
  std::vector<WorkerState> workers;
  runtime::Guarded<AdmissionTable, runtime::Rank::admission> admission;
  runtime::Guarded<shares::ShareTable, runtime::Rank::shares> shares;
  // Wake the fibers that expire grants and that adapt the limit.
  runtime::Signal grants_changed;
  runtime::Signal work_started;
  // Whether this process was in the VM list, and its pool in a document, since its start.
  std::atomic<bool> was_listed = false;
  std::atomic<bool> pool_was_named = false;
};

// Both clocks.
auto ReadClocks() -> admission::ClockReading;

// Name of the account under which a workspace's service is counted: shares are kept per service.
auto AccountName(const std::string& service, const std::string& workspace) -> std::string;

// Issues grants while slots allow, to the workspaces with the least level. Call without locks.
auto DispatchGrants(Endpoint& endpoint) -> void;

// Notes contact with an entry or a keyed call, and restarts the key owners' histories after a gap
// of the quiet period or more. The admission table is locked.
auto UpdateContact(AdmissionTable& table, bool contact) -> void;

// Records a change of the requests in flight. The admission table is locked.
auto ObserveInFlight(AdmissionTable& table) -> void;

// Starts staged requests while slots are free and wakes their fibers. The admission table is
// locked.
auto StartStagedRequests(AdmissionTable& table) -> void;

// Cancels the charges of grants that ended without a request. The admission table is locked.
auto RefundGrants(Endpoint& endpoint, AdmissionTable& table,
                  const std::vector<admission::Grant>& grants) -> void;

// Applies the configuration in force to slots, key owners and share settings.
auto ApplyConfiguration(Endpoint& endpoint) -> void;

// Wakes the control streams, to report a change of load.
auto NotifyLoadChange(Endpoint& endpoint) -> void;

// Ends requests of the calling worker: those that wait for a slot are refused, those at the replica
// fail, and answers that have begun are cut.
auto CancelWorkerRequests(WorkerState& worker, node::StopScope scope) -> void;

auto ServeControlStream(Endpoint& endpoint, const std::shared_ptr<net::Stream>& stream) -> void;
auto ServeRequestStream(Endpoint& endpoint, const std::shared_ptr<net::Stream>& stream) -> void;

}  // namespace filbertstair::endpoint

#endif  // FILBERTSTAIR_ENDPOINT_SRC_STATE_H_
