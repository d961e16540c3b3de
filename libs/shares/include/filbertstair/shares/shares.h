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
// Service divided by the workspace's weight, in microseconds of slot time per unit of weight.
using Level = double;

// Index that denotes no workspace, service or source.
inline constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

// Service that the published counter includes: charges from the time of the grant, slot time as it
// elapses, or only the cost of finished requests. Service that is not published still counts
// towards the levels in this process.
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

// Parameters of the fair-share scheduler.
struct Settings {
  // Largest excess of a level over the lowest active level, in microseconds of slot time per unit
  // of weight.
  Level max_lead = 600e6;
  // Amount by which the level of remote demand must be lower than that of local demand to be served
  // first, in the unit of `max_lead`.
  Level link_price = 0;
  // Cost estimate for a service without a finished request, in microseconds of slot time.
  Cost default_cost = 1'000'000;
  // Largest ratio, in either direction, between a caller's cost hint and the mean cost of the
  // service.
  double max_hint_ratio = 10;
  // Weight of the newest sample in the exponential moving averages of cost, from 0 to 1.
  double mean_gain = 0.1;
  // A workspace that becomes idle for no longer than this keeps its level, so that short gaps
  // between requests do not forfeit service it is owed.
  Duration idle_grace{1'000'000};
  // Service, in microseconds of slot time, that each request in flight in the fleet adds to a level
  // in advance: four exchange periods. With a smaller value, endpoints correct a gap again before
  // they receive the effect of the first correction. With 0, the estimates passed to AddCharge are
  // used instead.
  Cost lookahead = 4'000'000;
  // Number of other endpoints in the pool, which are assumed to react to each report as this one
  // does.
  double peer_count = 0;
  // Upper bound of the random term added to levels, as a fraction of the rise that one grant
  // causes. It keeps endpoints with the same counters from making the same choice; below 1, small
  // differences between levels still have an effect.
  double dither = 0.75;
  PublishMode publish = PublishMode::elapsed;
};

// Service counter received from one incarnation of a source. Each incarnation has its own counter,
// so that merging is a maximum per counter.
struct SourceCounter {
  Source source = 0;
  Incarnation incarnation = 0;
  // Microseconds of slot time.
  Cost counter = 0;
  // Requests in flight at the source.
  std::uint32_t running = 0;
  // ShareTable::version at the last increase of `counter`.
  std::uint64_t version = 0;
};

// Moving average of the cost of a workspace's requests to one service, in microseconds of slot
// time.
struct ServiceMean {
  Service service = 0;
  double cost = 0;
};

// Service accounting of one workspace. Costs are in microseconds of slot time.
struct Row {
  std::string name;
  std::uint64_t hash = 0;
  // Published counter of this process and incarnation, which never decreases, and the version of
  // its last increase.
  Cost own_counter = 0;
  std::uint64_t own_version = 0;
  // Service by this process: `elapsed` is that of finished requests and, unless
  // PublishMode::settled is set, the elapsed slot time of running ones. `charged` also includes the
  // part of open charges that has not elapsed.
  Cost elapsed = 0;
  Cost charged = 0;
  // Sum of the counters in `received`, and of those that FoldOldIncarnations removed.
  Cost received_total = 0;
  Cost folded_total = 0;
  // Largest total over all other processes that an entry has reported.
  Cost others_total = 0;
  // Requests in flight: at this process, at the sources in `received`, at the other processes
  // according to the report that set `others_total`, and at this process when that report arrived.
  std::uint32_t running = 0;
  std::uint32_t received_running = 0;
  std::uint32_t others_running = 0;
  std::uint32_t running_at_report = 0;
  std::vector<SourceCounter> received;
  std::vector<ServiceMean> means;
  double weight = 1;
  // Added to service / weight. It compensates for idle time, changes of weight, and excess above
  // Settings::max_lead.
  Level level_offset = 0;
  // Index in ShareTable::active while the workspace has demand at this process, else kNone.
  std::uint32_t active_index = kNone;
  // End of the last demand at this process; unset before the first DeactivateWorkspace.
  std::optional<Time> idle_since;
  // ShareTable::version at the last change, and the neighbours in the list of rows ordered by it.
  std::uint64_t version = 0;
  Workspace newer = kNone;
  Workspace older = kNone;
};

// Charge of one outstanding grant or running request.
struct OpenCharge {
  Workspace workspace = 0;
  Service service = 0;
  // Amounts that Row::elapsed and Row::charged include for it, in microseconds of slot time.
  Cost elapsed = 0;
  Cost charged = 0;
  std::optional<Time> started;
};

// Allows lookups by std::string_view without a copy.
struct StringHash {
  using is_transparent = void;
  auto operator()(std::string_view text) const -> std::size_t {
    return std::hash<std::string_view>{}(text);
  }
};
using NameToIndex = std::unordered_map<std::string, std::uint32_t, StringHash, std::equal_to<>>;

// Service accounting of the workspaces that compete for one pool of endpoints.
struct ShareTable {
  Settings settings;
  // Hash seed that differs between processes, for the dither and for ties between equal levels.
  std::uint64_t salt = 0;
  // Set by the caller from the start of an endpoint process until its entries had time to report.
  // Totals received meanwhile leave levels unchanged, because the level offsets that belong to the
  // service before the start are unknown.
  bool warming_up = false;
  // Indexed by Workspace.
  std::vector<Row> rows;
  NameToIndex workspaces;
  NameToIndex services;
  NameToIndex sources;
  // Indexed by Service: moving average of cost over all workspaces; 0 before the first request.
  std::vector<double> service_means;
  // Indexed by Source. A linked source is connected to this process.
  std::vector<std::string> source_names;
  std::vector<bool> source_linked;
  std::unordered_map<ChargeId, OpenCharge> charges;
  // Workspaces with demand at this process.
  std::vector<Workspace> active;
  // Lowest active level when it was last computed; the initial level of a workspace if none is
  // active.
  Level min_active_level = 0;
  // Number of changes of rows so far.
  std::uint64_t version = 0;
  // Number of calls of PickCandidate; varies the dither and the order of ties.
  std::uint64_t pick_count = 0;
  // Head of the list of rows ordered by last change.
  Workspace newest = kNone;
};

// Demand of one workspace for the pool, either local or from another region.
struct Candidate {
  Workspace workspace = 0;
  double weight = 1;
  // Settings::link_price applies.
  bool remote = false;
  // Waiting requests; a candidate with 0 is ignored.
  std::uint32_t count = 0;
};

// Returns the index of a name, which is added if it is new.
auto InternWorkspace(ShareTable& table, std::string_view name) -> Workspace;
auto InternService(ShareTable& table, std::string_view name) -> Service;
auto InternSource(ShareTable& table, std::string_view name) -> Source;

// Returns the expected cost of a request in microseconds of slot time: the moving average of the
// workspace's requests to the service; without one, the average of the service over all workspaces
// or else Settings::default_cost, replaced by `hint` clamped to Settings::max_hint_ratio around it
// if there is a hint.
auto EstimateCost(const ShareTable& table, Workspace workspace, Service service,
                  std::optional<Cost> hint) -> Cost;

// Charges `estimate` microseconds of slot time to a workspace when a grant is issued or a request
// is admitted without one. Does nothing if `id` has an open charge. Negative estimates count as 0.
auto AddCharge(ShareTable& table, ChargeId id, Workspace workspace, Service service, Cost estimate)
    -> void;

// Records that the request of a charge started to run at `now`, from which AccrueSlotTime counts
// its slot time. Does nothing for an unknown `id` or a charge that has been started.
auto StartCharge(ShareTable& table, ChargeId id, Time now) -> void;

// Accrues the slot time of running requests up to `now`, and raises the charges of requests that
// exceed their estimate.
auto AccrueSlotTime(ShareTable& table, Time now) -> void;

// Replaces a charge with the actual `cost` in microseconds of slot time and updates the moving
// averages. Slot time that has accrued is not taken back: a lower `cost` is raised to it. Does
// nothing for an unknown `id`.
auto SettleCharge(ShareTable& table, ChargeId id, Cost cost) -> void;

// Cancels the charge of a returned or expired grant, except for accrued slot time. Does nothing for
// an unknown `id`.
auto RefundCharge(ShareTable& table, ChargeId id) -> void;

// Returns the published service of a workspace in the whole fleet as known to this process, in
// microseconds of slot time.
auto FleetTotal(const Row& row) -> Cost;

// Returns the level of a row from elapsed service, without the rest of open charges.
auto ServiceLevel(const Row& row) -> Level;

// Returns the level by which PickCandidate orders a workspace: ServiceLevel plus
// Settings::lookahead for each request in flight in the fleet or, if that is 0, plus the open
// charges of this process.
auto EffectiveLevel(const ShareTable& table, Workspace workspace) -> Level;

// Marks a workspace as having demand at this process. After idling for longer than
// Settings::idle_grace, its level is raised to at least the lowest active level; on its first
// demand, it starts at that level. A change of weight does not change the level; weights of 0 or
// below are ignored.
auto ActivateWorkspace(ShareTable& table, Workspace workspace, double weight, Time now) -> void;

// Marks a workspace as having no demand at this process.
auto DeactivateWorkspace(ShareTable& table, Workspace workspace, Time now) -> void;

// Returns the index of the candidate to serve next: the one with the lowest level after
// Settings::link_price is added to remote ones and the dither to all. Activates the candidates and
// lowers levels that exceed the lowest active one by more than Settings::max_lead. Returns nothing
// if no candidate has a positive count.
auto PickCandidate(ShareTable& table, const std::vector<Candidate>& candidates, Time now)
    -> std::optional<std::size_t>;

}  // namespace filbertstair::shares

#endif  // FILBERTSTAIR_SHARES_SHARES_H_
