#ifndef FILBERTSTAIR_SHARES_SHARES_H_
#define FILBERTSTAIR_SHARES_SHARES_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::shares {

using core::Cost;
using core::Duration;
using core::Incarnation;
using core::Time;

// Index of a workspace, service or source in one ShareTable. Never sent to another process.
using Workspace = std::uint32_t;
using Service = std::uint32_t;
using Source = std::uint32_t;
// Identifies a grant or running request of this process; chosen by the caller of AddCharge.
using ChargeId = std::uint64_t;
// Weighted service in microseconds of slot time.
using Level = double;

inline constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

// What the published counter contains: the charges made at grants, the slot time elapsed so far, or
// only the cost of finished requests. What it leaves out still counts in the levels of the process
// itself.
enum class PublishMode { granted, elapsed, settled };
}  // namespace filbertstair::shares

namespace filbertstair::core {
template <>
inline constexpr NameTable<shares::PublishMode, 3> kNames<shares::PublishMode>{
    {{shares::PublishMode::granted, "granted"},
     {shares::PublishMode::elapsed, "elapsed"},
     {shares::PublishMode::settled, "settled"}}};
}  // namespace filbertstair::core

namespace filbertstair::shares {

struct Settings {
  // Largest lead over the least active level, in microseconds of weighted slot time.
  Level max_lead = 600e6;
  // Amount by which the level of remote demand must be lower than that of local demand.
  Level link_price = 0;
  // Estimate for a service that has not finished a request yet.
  Cost default_cost = 1'000'000;
  // Largest factor by which a hint may differ from the mean cost of its service.
  double max_hint_ratio = 10;
  // Weight of the newest cost in a recent mean.
  double mean_gain = 0.1;
  // A workspace without demand for less than this time stays active, so that short gaps between
  // requests do not cost it the service it is owed.
  Duration idle_grace{1'000'000};
  // Service that each request in flight counts ahead, over the fleet; four exchange periods. Less
  // lets endpoints react to a gap faster than they learn of the reaction. With 0, the estimates
  // that AddCharge was given count instead.
  Cost lookahead = 4'000'000;
  // Other endpoints of the pool, which are expected to react to the same reports in the same way.
  double peer_count = 0;
  // Part of the step that one grant makes which is added to levels at random, so that endpoints
  // with the same view do not all choose alike and small differences still count.
  double dither = 0.75;
  PublishMode publish = PublishMode::elapsed;
};

// Counter received from one incarnation of a source. The counters of older incarnations stay as
// rows of their own, so that merging only ever takes a maximum per row.
struct SourceCounter {
  Source source = 0;
  Incarnation incarnation = 0;
  Cost counter = 0;
  std::uint32_t running = 0;
  // Change number of the table at which `counter` last rose.
  std::uint64_t version = 0;
};

struct ServiceMean {
  Service service = 0;
  double cost = 0;
};

// Service accounting of one workspace.
struct Row {
  std::string name;
  std::uint64_t hash = 0;
  // Published counter of this process and incarnation; never falls.
  Cost own_counter = 0;
  std::uint64_t own_version = 0;
  // Finished and elapsed service of this process, and the same with the charges of grants and
  // running requests that exceed their elapsed service.
  Cost elapsed = 0;
  Cost charged = 0;
  // Sum of `received` and of the rows that FoldOldIncarnations removed.
  Cost received_total = 0;
  Cost folded_total = 0;
  // Largest sum over the other processes that any feeder reported.
  Cost others_total = 0;
  // Requests in flight: at this process, at the sources in `received`, and at the others according
  // to the feeder whose sum counts; and here when that feeder reported.
  std::uint32_t running = 0;
  std::uint32_t received_running = 0;
  std::uint32_t others_running = 0;
  std::uint32_t running_at_report = 0;
  std::vector<SourceCounter> received;
  std::vector<ServiceMean> means;
  double weight = 1;
  // Added to service / weight; kept so that idle time and forgiven leads do not count.
  Level level_offset = 0;
  // Position in ShareTable::active while the workspace has demand here, else kNone.
  std::uint32_t active_index = kNone;
  // End of the last demand here; unset before the first.
  std::optional<Time> idle_since;
  // Neighbours in the list of rows by time of last change.
  std::uint64_t version = 0;
  Workspace newer = kNone;
  Workspace older = kNone;
};

// Charge of one grant or running request.
struct OpenCharge {
  Workspace workspace = 0;
  Service service = 0;
  // Parts contained in Row::elapsed and in Row::charged.
  Cost elapsed = 0;
  Cost charged = 0;
  std::optional<Time> started;
};

struct StringHash {
  using is_transparent = void;
  auto operator()(std::string_view text) const -> std::size_t {
    return std::hash<std::string_view>{}(text);
  }
};
using NameToIndex = std::unordered_map<std::string, std::uint32_t, StringHash, std::equal_to<>>;

// Service of the workspaces that compete for one pool of endpoints.
struct ShareTable {
  Settings settings;
  // Differs between processes; decides ties between equal levels.
  std::uint64_t salt = 0;
  // Set by the caller from the start of an endpoint process until its feeders had time to report.
  // Meanwhile sums from feeders leave levels unchanged, because the lifts that belong to the
  // service before the start are unknown.
  bool warming_up = false;
  std::vector<Row> rows;
  NameToIndex workspaces;
  NameToIndex services;
  NameToIndex sources;
  std::vector<double> service_means;
  std::vector<std::string> source_names;
  std::vector<bool> source_linked;
  std::unordered_map<ChargeId, OpenCharge> charges;
  // Workspaces with demand here.
  std::vector<Workspace> active;
  // Least active level when it was last determined; where a workspace starts if none is active.
  Level min_active_level = 0;
  std::uint64_t version = 0;
  std::uint64_t pick_count = 0;
  Workspace newest = kNone;
};

// Demand of one workspace at one place.
struct Candidate {
  Workspace workspace = 0;
  double weight = 1;
  bool remote = false;
  std::uint32_t count = 0;
};

// Returns the index of a name, adding it if it is new.
auto InternWorkspace(ShareTable& table, std::string_view name) -> Workspace;
auto InternService(ShareTable& table, std::string_view name) -> Service;
auto InternSource(ShareTable& table, std::string_view name) -> Source;

// Returns the expected cost of a request: the recent mean of its workspace and service, else `hint`
// within `max_hint_ratio` of the service's mean, else that mean, else the default.
auto EstimateCost(const ShareTable& table, Workspace workspace, Service service,
                  std::optional<Cost> hint) -> Cost;

// Charges `estimate` when a grant is issued or a request is admitted without one. Does nothing if
// `id` is charged already.
auto AddCharge(ShareTable& table, ChargeId id, Workspace workspace, Service service, Cost estimate)
    -> void;

// Starts to count slot time for a charge. Does nothing for an unknown `id`.
auto StartCharge(ShareTable& table, ChargeId id, Time now) -> void;

// Counts the slot time of running requests up to `now`, charging more to those above their
// estimate.
auto AccrueSlotTime(ShareTable& table, Time now) -> void;

// Replaces the charge by the actual cost and updates the means. Slot time that was already counted
// is never taken back from the published counter.
auto SettleCharge(ShareTable& table, ChargeId id, Cost cost) -> void;

// Cancels the charge of a returned or expired grant.
auto RefundCharge(ShareTable& table, ChargeId id) -> void;

// Returns the service of a workspace over the fleet as published and known here.
auto FleetTotal(const Row& row) -> Cost;

// Returns the service level of a row, without charges that are not elapsed yet.
auto ServiceLevel(const Row& row) -> Level;

// Returns the level of a workspace, including the charges of this process.
auto EffectiveLevel(const ShareTable& table, Workspace workspace) -> Level;

// Notes that a workspace has demand here. If it was idle, its level is raised to the least level
// among the active ones; if it never had demand here, it starts at that level. A change of weight
// keeps the level.
auto ActivateWorkspace(ShareTable& table, Workspace workspace, double weight, Time now) -> void;

// Notes that a workspace has no more demand here.
auto DeactivateWorkspace(ShareTable& table, Workspace workspace, Time now) -> void;

// Returns the index of the candidate to serve next: the least level, with `link_price` added to
// remote ones. Activates the candidates and forgives leads above `max_lead`. Returns nothing if no
// candidate has a positive count.
auto PickCandidate(ShareTable& table, const std::vector<Candidate>& candidates, Time now)
    -> std::optional<std::size_t>;

}  // namespace filbertstair::shares

#endif  // FILBERTSTAIR_SHARES_SHARES_H_
