#include "tests/fleet/checker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace filbertstair::fleet {
namespace {

// Requests of a workspace that no replica has received yet and whose callers still wait, and its
// requests at replicas.
struct Demand {
  std::set<std::string> waiting;
  int running = 0;
  // Slot time so far in microseconds per unit of weight.
  double service = 0;
  // Start of the present wait: the last start of a request, or the time since when some wait.
  std::int64_t since = 0;
};

using Demands = std::map<std::string, Demand>;

// Follows the requests through a history. A replica's events are matched by replica and request,
// because a retried request may be at two replicas.
struct Follower {
  Demands demands;
  std::map<std::string, std::string> workspace_of;
  std::map<std::pair<std::string, std::string>, std::string> running;
  std::int64_t now = 0;
};

auto Weight(const std::map<std::string, double>& weights, const std::string& workspace) -> double {
  const auto found = weights.find(workspace);
  return found == weights.end() ? 1 : found->second;
}

// Charges the time until `at`.
auto Advance(Follower& follower, const std::map<std::string, double>& weights, std::int64_t at)
    -> void {
  const auto elapsed = static_cast<double>(at - follower.now);
  for (auto& [workspace, demand] : follower.demands) {
    demand.service += elapsed * demand.running / Weight(weights, workspace);
  }
  follower.now = at;
}

auto Apply(Follower& follower, const Event& event) -> void {
  const auto place = std::pair(event.source, event.id);
  switch (event.kind) {
    case EventKind::invoke: {
      auto& demand = follower.demands[event.workspace];
      if (demand.waiting.empty()) demand.since = event.at;
      demand.waiting.insert(event.id);
      follower.workspace_of[event.id] = event.workspace;
      break;
    }
    case EventKind::start: {
      const auto known = follower.workspace_of.find(event.id);
      const auto workspace = known == follower.workspace_of.end() ? event.workspace : known->second;
      auto& demand = follower.demands[workspace];
      demand.waiting.erase(event.id);
      demand.since = event.at;
      if (follower.running.emplace(place, workspace).second) ++demand.running;
      break;
    }
    case EventKind::end:
    case EventKind::cancel: {
      const auto found = follower.running.find(place);
      if (found == follower.running.end()) break;
      --follower.demands[found->second].running;
      follower.running.erase(found);
      break;
    }
    case EventKind::answer:
    case EventKind::refuse:
    case EventKind::disconnect: {
      const auto known = follower.workspace_of.find(event.id);
      if (known != follower.workspace_of.end()) {
        follower.demands[known->second].waiting.erase(event.id);
      }
      break;
    }
    case EventKind::leaving:
    case EventKind::config:
      break;
  }
}

auto Seconds(double us) -> std::string { return std::to_string(us / 1e6) + " s"; }

// Calls are told apart by their key within the workspace, or else by their id.
auto CheckOnce(std::span<const Event> events, std::vector<Violation>& out) -> void {
  std::map<std::string, std::string> group_of;
  for (const auto& event : events) {
    if (event.kind != EventKind::invoke || event.call_class != core::CallClass::once) continue;
    group_of[event.id] = event.key.empty() ? event.id : event.workspace + "/" + event.key;
  }
  std::map<std::string, std::vector<const Event*>> starts;
  for (const auto& event : events) {
    if (event.kind != EventKind::start) continue;
    const auto found = group_of.find(event.id);
    if (found != group_of.end()) starts[found->second].push_back(&event);
  }
  for (const auto& [group, found] : starts) {
    if (found.size() < 2) continue;
    std::string detail = "started " + std::to_string(found.size()) + " times:";
    for (const auto* start : found) detail += " " + start->id + " at " + start->source;
    out.push_back({Check::at_most_once, group, detail});
  }
}

auto CheckNotRun(std::span<const Event> events, std::vector<Violation>& out) -> void {
  std::map<std::string, const Event*> refused;
  for (const auto& event : events) {
    const bool told = event.kind == EventKind::refuse || event.kind == EventKind::answer;
    if (told && event.outcome == core::Outcome::not_run) refused[event.id] = &event;
  }
  for (const auto& event : events) {
    const auto found = refused.find(event.id);
    if (event.kind != EventKind::start || found == refused.end()) continue;
    out.push_back({Check::truthful_not_run, event.id,
                   "refused with " + found->second->reason + " and started at " + event.source});
  }
}

auto CheckAnswers(std::span<const Event> events, std::vector<Violation>& out) -> void {
  for (const auto& event : events) {
    if (event.kind != EventKind::answer) continue;
    if (event.echo != event.id) {
      out.push_back({Check::own_and_whole, event.id, "answer to \"" + event.echo + "\""});
    } else if (!event.complete) {
      out.push_back({Check::own_and_whole, event.id, "answer without its end"});
    } else if (event.announced.empty() || event.announced != event.received) {
      out.push_back({Check::own_and_whole, event.id,
                     "stated " + event.announced + ", received " + event.received});
    }
  }
}

auto CheckLeaving(std::span<const Event> events, std::int64_t bound, std::vector<Violation>& out)
    -> void {
  std::map<std::string, std::int64_t> signs;
  for (const auto& event : events) {
    if (event.kind == EventKind::leaving) signs.emplace(event.source, event.at);
    const auto found = signs.find(event.source);
    if (event.kind != EventKind::start || found == signs.end()) continue;
    const auto late = event.at - found->second;
    if (late <= bound) continue;
    out.push_back({Check::leaving, event.source,
                   event.id + " started " + Seconds(static_cast<double>(late)) +
                       " after the first sign of leaving"});
  }
}

auto CheckConfig(std::span<const Event> events, std::vector<Violation>& out) -> void {
  std::map<std::pair<std::string, std::string>, std::uint64_t> versions;
  for (const auto& event : events) {
    if (event.kind != EventKind::config) continue;
    auto& version = versions[{event.source, event.object}];
    if (event.version < version) {
      out.push_back({Check::config_order, event.source,
                     event.object + " went from version " + std::to_string(version) + " to " +
                         std::to_string(event.version)});
    }
    version = event.version;
  }
}

auto CheckStarvation(std::span<const Event> events, std::int64_t bound, std::vector<Violation>& out)
    -> void {
  Follower follower;
  std::set<std::string> reported;
  for (const auto& event : events) {
    for (const auto& [workspace, demand] : follower.demands) {
      const auto wait = event.at - demand.since;
      if (demand.waiting.empty() || wait <= bound || !reported.insert(workspace).second) continue;
      out.push_back({Check::starvation, workspace,
                     std::to_string(demand.waiting.size()) +
                         " requests waited and none started for " +
                         Seconds(static_cast<double>(wait))});
    }
    Apply(follower, event);
  }
}

}  // namespace

auto MeasureGaps(std::span<const Event> events, const std::map<std::string, double>& weights)
    -> std::map<std::pair<std::string, std::string>, double> {
  using Pair = std::pair<std::string, std::string>;
  Follower follower;
  // Smallest and largest difference within the present time during which both are backlogged.
  std::map<Pair, std::pair<double, double>> ranges;
  std::map<Pair, double> gaps;
  for (const auto& event : events) {
    if (follower.now != 0) Advance(follower, weights, event.at);
    follower.now = event.at;
    // Service grows linearly between events, so its extremes lie at events.
    for (auto& [pair, range] : ranges) {
      const auto difference =
          follower.demands[pair.first].service - follower.demands[pair.second].service;
      range = {std::min(range.first, difference), std::max(range.second, difference)};
      gaps[pair] = std::max(gaps[pair], range.second - range.first);
    }
    Apply(follower, event);
    std::erase_if(ranges, [&](const auto& entry) {
      return follower.demands[entry.first.first].waiting.empty() ||
             follower.demands[entry.first.second].waiting.empty();
    });
    for (auto a = follower.demands.begin(); a != follower.demands.end(); ++a) {
      if (a->second.waiting.empty()) continue;
      for (auto b = std::next(a); b != follower.demands.end(); ++b) {
        if (b->second.waiting.empty()) continue;
        const auto difference = a->second.service - b->second.service;
        ranges.try_emplace(Pair(a->first, b->first), difference, difference);
      }
    }
  }
  return gaps;
}

auto CheckHistory(std::span<const Event> events, const Bounds& bounds) -> std::vector<Violation> {
  std::vector<Violation> out;
  CheckOnce(events, out);
  CheckNotRun(events, out);
  CheckAnswers(events, out);
  CheckLeaving(events, bounds.leaving, out);
  CheckConfig(events, out);
  if (bounds.starvation > 0) CheckStarvation(events, bounds.starvation, out);
  if (bounds.gap > 0) {
    for (const auto& [pair, gap] : MeasureGaps(events, bounds.weights)) {
      if (gap <= static_cast<double>(bounds.gap)) continue;
      out.push_back({Check::fairness_gap, pair.first + "," + pair.second,
                     "gap of " + Seconds(gap) + " over the bound of " +
                         Seconds(static_cast<double>(bounds.gap))});
    }
  }
  return out;
}

auto FormatViolations(const std::vector<Violation>& violations) -> std::string {
  std::string text;
  for (const auto& violation : violations) {
    text += std::string(core::Name(violation.check)) + " " + violation.subject + ": " +
            violation.detail + "\n";
  }
  return text;
}

}  // namespace filbertstair::fleet
