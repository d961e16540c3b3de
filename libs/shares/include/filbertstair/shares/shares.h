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
// Identifies a grant or running request of this process; chosen by the caller of Charge.
using ChargeId = std::uint64_t;
// Weighted service in microseconds of slot time.
using Level = double;

inline constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

// What the published counter contains: the charges made at grants, the slot time elapsed so far, or
// only the cost of finished requests. What it leaves out still counts in the levels of the process
// itself.
enum class Publish { granted, elapsed, settled };
}  // namespace filbertstair::shares

namespace filbertstair::core {
template <>
inline constexpr NameTable<shares::Publish, 3> kNames<shares::Publish>{
    {{shares::Publish::granted, "granted"},
     {shares::Publish::elapsed, "elapsed"},
     {shares::Publish::settled, "settled"}}};
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
  double hint_factor = 10;
  // Weight of the newest cost in a recent mean.
  double mean_gain = 0.1;
  // A workspace without demand for less than this time stays active, so that short gaps between
  // requests do not cost it the service it is owed.
  Duration linger{1'000'000};
  // Service that each request in flight counts ahead, over the fleet; four exchange periods. Less
  // lets endpoints react to a gap faster than they learn of the reaction. With 0, the estimates
  // that Charge was given count instead.
  Cost lookahead = 4'000'000;
  // Other endpoints of the pool, which are expected to react to the same reports in the same way.
  double peers = 0;
  // Part of the step that one grant makes which is added to levels at random, so that endpoints
  // with the same view do not all choose alike and small differences still count.
  double dither = 0.75;
  Publish publish = Publish::elapsed;
};

// Counter heard from one incarnation of a source. The counters of older incarnations stay as rows
// of their own, so that merging only ever takes a maximum per row.
struct Heard {
  Source source = 0;
  Incarnation incarnation = 0;
  Cost counter = 0;
  std::uint32_t running = 0;
  // Change number of the table at which `counter` last rose.
  std::uint64_t version = 0;
};

struct Mean {
  Service service = 0;
  double cost = 0;
};

// Service accounting of one workspace.
struct Row {
  std::string name;
  std::uint64_t hash = 0;
  // Published counter of this process and incarnation; never falls.
  Cost own = 0;
  std::uint64_t own_version = 0;
  // Finished and elapsed service of this process, and the same with the charges of grants and
  // running requests that exceed their elapsed service.
  Cost elapsed = 0;
  Cost charged = 0;
  // Sum of `heard` and of the rows that Fold removed.
  Cost heard_sum = 0;
  Cost past = 0;
  // Largest sum over the other processes that any feeder reported.
  Cost others = 0;
  // Requests in flight: at this process, at the sources in `heard`, and at the others according to
  // the feeder whose sum counts; and here when that feeder reported.
  std::uint32_t running = 0;
  std::uint32_t heard_running = 0;
  std::uint32_t others_running = 0;
  std::uint32_t running_then = 0;
  std::vector<Heard> heard;
  std::vector<Mean> means;
  double weight = 1;
  // Added to service / weight; kept so that idle time and forgiven leads do not count.
  Level lift = 0;
  // Position in ShareTable::active while the workspace has demand here, else kNone.
  std::uint32_t position = kNone;
  // End of the last demand here; unset before the first.
  std::optional<Time> idle_since;
  // Neighbours in the list of rows by time of last change.
  std::uint64_t version = 0;
  Workspace newer = kNone;
  Workspace older = kNone;
};

// Charge of one grant or running request.
struct Charged {
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
using Names = std::unordered_map<std::string, std::uint32_t, StringHash, std::equal_to<>>;

// Service of the workspaces that compete for one pool of endpoints.
struct ShareTable {
  Settings settings;
  // Differs between processes; decides ties between equal levels.
  std::uint64_t salt = 0;
  // Set by the caller from the start of an endpoint process until its feeders had time to report.
  // Meanwhile sums from feeders leave levels unchanged, because the lifts that belong to the
  // service before the start are unknown.
  bool learning = false;
  std::vector<Row> rows;
  Names workspaces;
  Names services;
  Names sources;
  std::vector<double> service_means;
  std::vector<std::string> source_names;
  std::vector<bool> direct;
  std::unordered_map<ChargeId, Charged> charges;
  // Workspaces with demand here.
  std::vector<Workspace> active;
  // Least active level when it was last determined; where a workspace starts if none is active.
  Level floor = 0;
  std::uint64_t version = 0;
  std::uint64_t picks = 0;
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
// within `hint_factor` of the service's mean, else that mean, else the default.
auto Estimate(const ShareTable& table, Workspace workspace, Service service,
              std::optional<Cost> hint) -> Cost;

// Charges `estimate` when a grant is issued or a request is admitted without one. Does nothing if
// `id` is charged already.
auto Charge(ShareTable& table, ChargeId id, Workspace workspace, Service service, Cost estimate)
    -> void;

// Starts to count slot time for a charge. Does nothing for an unknown `id`.
auto Start(ShareTable& table, ChargeId id, Time now) -> void;

// Counts the slot time of running requests up to `now`, charging more to those above their
// estimate.
auto Advance(ShareTable& table, Time now) -> void;

// Replaces the charge by the actual cost and updates the means. Slot time that was already counted
// is never taken back from the published counter.
auto Settle(ShareTable& table, ChargeId id, Cost cost) -> void;

// Cancels the charge of a returned or expired grant.
auto Refund(ShareTable& table, ChargeId id) -> void;

// Returns the service of a workspace over the fleet as published and known here.
auto Total(const Row& row) -> Cost;

// Returns the service level of a row, without charges that are not elapsed yet.
auto ServiceLevel(const Row& row) -> Level;

// Returns the level of a workspace, including the charges of this process.
auto LevelOf(const ShareTable& table, Workspace workspace) -> Level;

// Notes that a workspace has demand here. If it was idle, its level is raised to the least level
// among the active ones; if it never had demand here, it starts at that level. A change of weight
// keeps the level.
auto Activate(ShareTable& table, Workspace workspace, double weight, Time now) -> void;

// Notes that a workspace has no more demand here.
auto Deactivate(ShareTable& table, Workspace workspace, Time now) -> void;

// Returns the index of the candidate to serve next: the least level, with `link_price` added to
// remote ones. Activates the candidates and forgives leads above `max_lead`. Returns nothing if no
// candidate has a positive count.
auto Pick(ShareTable& table, const std::vector<Candidate>& candidates, Time now)
    -> std::optional<std::size_t>;

}  // namespace filbertstair::shares

#endif  // FILBERTSTAIR_SHARES_SHARES_H_
