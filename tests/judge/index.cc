#include "tests/judge/index.h"

#include <utility>

namespace filbertstair::judge::detail {

auto MakeIndex(const History& history) -> Index {
  Index out;
  out.history = &history;
  for (const auto& attempt : history.attempts) out.attempts.emplace(attempt.id, &attempt);
  for (const auto& arrival : history.arrivals) {
    if (!arrival.id.empty()) out.arrivals.push_back(&arrival);
  }
  std::stable_sort(out.arrivals.begin(), out.arrivals.end(),
                   [](const Arrival* a, const Arrival* b) { return a->at < b->at; });
  for (const auto* arrival : out.arrivals) out.by_id[arrival->id].push_back(arrival);
  return out;
}

auto AttemptOf(const Index& index, const Arrival& arrival) -> const ClientAttempt* {
  const auto found = index.attempts.find(arrival.id);
  return found == index.attempts.end() ? nullptr : found->second;
}

auto ArrivalsOf(const Index& index, const ClientAttempt& attempt)
    -> const std::vector<const Arrival*>& {
  static const std::vector<const Arrival*> none;
  const auto found = index.by_id.find(attempt.id);
  return found == index.by_id.end() ? none : found->second;
}

auto EntryOf(const Index& index, const Arrival& arrival) -> int {
  if (arrival.entry >= 0) return arrival.entry;
  const auto* attempt = AttemptOf(index, arrival);
  return attempt == nullptr ? -1 : attempt->entry;
}

auto IsDisturbed(const History& history, int entry, Time from, Time until,
                 std::initializer_list<DisturbanceKind> kinds) -> bool {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& d) {
                       return d.from <= until && from <= std::max(d.from, d.until) &&
                              (d.entry < 0 || entry < 0 || d.entry == entry) &&
                              std::find(kinds.begin(), kinds.end(), d.kind) != kinds.end();
                     });
}

auto IsReplicaDisturbed(const History& history, const std::string& replica, Time from, Time until)
    -> bool {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& d) {
                       return d.kind == DisturbanceKind::replica && d.replica == replica &&
                              d.from <= until && from <= std::max(d.from, d.until);
                     });
}

auto IsCalm(const History& history, int entry, Time at) -> bool {
  return !IsDisturbed(history, entry, at - history.bounds.contact, at,
                      {DisturbanceKind::terminate, DisturbanceKind::kill, DisturbanceKind::start,
                       DisturbanceKind::freeze, DisturbanceKind::slow,
                       DisturbanceKind::reset_connections, DisturbanceKind::cut_link});
}

auto InTouch(const History& history, int entry, Time at) -> bool {
  return IsCalm(history, entry, at) &&
         !IsDisturbed(history, -1, at - history.bounds.contact, at, {DisturbanceKind::store});
}

auto EndOf(const ClientAttempt& attempt) -> std::optional<Time> {
  if (attempt.deadline == 0) return std::nullopt;
  return attempt.began_at + attempt.deadline;
}

auto Count(Counted& counted, const std::string& id, Time at) -> void {
  if (counted.requests.empty()) counted.at = at;
  counted.requests.push_back(id);
}

auto AddAbove(std::size_t limit, Rule rule, Form form, const Counted& counted, std::string detail,
              std::vector<Finding>& findings) -> void {
  if (counted.requests.size() <= limit) return;
  findings.push_back({rule, form, counted.at, counted.requests, std::move(detail)});
}

}  // namespace filbertstair::judge::detail
