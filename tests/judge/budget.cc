#include <set>

#include "tests/judge/index.h"

namespace filbertstair::judge::detail {
namespace {

// Requests that may run at too many replicas.
constexpr std::size_t kReplicasLimit = 3;
// Requests that may be handed on with too much time, in number, and one in this many in share.
constexpr std::size_t kDeadlinesLimit = 20;
constexpr std::size_t kDeadlinesShare = 5;
// Time by which a deadline may exceed the client's, and after which a repeat counts as late.
constexpr Time kDeadlineSlack = kSecond / 2;
// Requests that may reach a replica before the end of its `Retry-After`, and the time after its
// answer within which they were already on the way.
constexpr std::size_t kUnwantedLimit = 2;
constexpr Time kUnwantedSlack = kSecond / 2;
// Crashes after which a request is known to crash replicas, and requests that may follow.
constexpr std::size_t kCrashes = 5;
constexpr std::size_t kDeadlyLimit = 3;

// Counts the times in [from, until). They are sorted.
auto CountIn(const std::vector<Time>& times, Time from, Time until) -> int {
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  return static_cast<int>(std::lower_bound(first, times.end(), until) - first);
}

// Finds the window with the most repeats for its bound. Both lists are sorted.
auto FindWorstWindow(const std::vector<Time>& sent, const std::vector<Time>& repeats,
                     const Bounds& bounds, ServiceFigures& out) -> void {
  const auto length = bounds.retry_window;
  const auto consider = [&](Time from) {
    const auto count = CountIn(repeats, from, from + length);
    if (count == 0) return;
    const auto most =
        std::max({CountIn(sent, from, from + length), CountIn(sent, from - length, from),
                  CountIn(sent, from - length / 2, from - length / 2 + length)});
    const auto bound = bounds.retry_ratio * most + bounds.retry_extra;
    const auto ratio = bound > 0 ? count / bound : count;
    if (ratio <= out.worst_ratio) return;
    out.worst_from = from;
    out.worst_repeats = count;
    out.worst_bound = bound;
    out.worst_ratio = ratio;
  };
  // Between these starts of a window, no repeat and no request enters or leaves what is counted.
  for (const auto time : repeats) {
    for (const auto shift : {-length, Time{0}}) consider(time + shift + 1);
  }
  if (repeats.empty()) return;
  for (const auto time : sent) {
    for (const auto shift : {-length, length / 2 - length, Time{0}, length / 2, length}) {
      consider(time + shift + 1);
    }
  }
}

auto JudgeRepeats(const Index& index, std::vector<Finding>& findings) -> void {
  const auto repeats = RepeatsByService(index);
  for (const auto& service : MeasureServices(index)) {
    if (service.worst_ratio <= 1) continue;
    Finding finding{Rule::budget, Form::repeats, service.worst_from, {}, {}};
    finding.detail = "service " + service.service + ": " + std::to_string(service.worst_repeats) +
                     " repeats, bound " + std::to_string(service.worst_bound);
    for (const auto* repeat : repeats.at(service.service)) {
      const auto since = repeat->at - service.worst_from;
      if (since >= 0 && since < index.history->bounds.retry_window) {
        finding.requests.push_back(repeat->id);
      }
    }
    findings.push_back(std::move(finding));
  }
}

auto JudgeReplicas(const Index& index, std::vector<Finding>& findings) -> void {
  Counted counted;
  for (const auto& attempt : index.history->attempts) {
    std::set<std::string_view> replicas;
    for (const auto* arrival : ArrivalsOf(index, attempt)) {
      const auto until = std::max(arrival->ended_at, attempt.ended_at);
      // A replica that ended or was cut off meanwhile does not count.
      if (!arrival->ran ||
          IsReplicaDisturbed(*index.history, arrival->replica, arrival->at, until) ||
          IsDisturbed(*index.history, EntryOf(index, *arrival), arrival->at, until,
                      {DisturbanceKind::cut_link})) {
        continue;
      }
      replicas.insert(arrival->replica);
    }
    if (static_cast<int>(replicas.size()) > attempt.attempts) {
      Count(counted, attempt.id, attempt.began_at);
    }
  }
  AddAbove(kReplicasLimit, Rule::budget, Form::replicas, counted,
           "ran at more replicas than their attempts", findings);
}

auto JudgeDeadlines(const Index& index, std::vector<Finding>& findings) -> void {
  Counted late;
  // Arrivals that are late, or that were sent more than the slack after the first of their request.
  std::size_t considered = 0;
  for (const auto* arrival : index.arrivals) {
    const auto* attempt = AttemptOf(index, *arrival);
    if (attempt == nullptr ||
        (attempt->kind != RequestKind::safe && attempt->kind != RequestKind::unsafe)) {
      continue;
    }
    const auto& first = *ArrivalsOf(index, *attempt).front();
    const bool repeated = arrival->at > first.at + kDeadlineSlack;
    bool exceeds = !arrival->deadline.has_value();
    if (!exceeds && attempt->deadline > 0) {
      exceeds = *arrival->deadline > attempt->deadline + kDeadlineSlack;
    }
    if (!exceeds && repeated && first.deadline.has_value()) {
      const auto end = arrival->at + *arrival->deadline - kDeadlineSlack;
      exceeds = end > first.at + *first.deadline && end > EndOf(*attempt).value_or(0);
    }
    if (!(exceeds || repeated) || !InTouch(*index.history, EntryOf(index, *arrival), arrival->at)) {
      continue;
    }
    ++considered;
    if (exceeds) Count(late, arrival->id, arrival->at);
  }
  if (late.requests.size() * kDeadlinesShare <= considered) return;
  AddAbove(kDeadlinesLimit, Rule::budget, Form::deadlines, late,
           std::to_string(late.requests.size()) + " of " + std::to_string(considered) +
               " with more time than was left",
           findings);
}

// Whether the arrival came in the time for which the refusal asked the entry to wait.
auto IsUnwanted(const Index& index, const Arrival& refusal, const Arrival& arrival) -> bool {
  if (refusal.status != 503 || arrival.at <= refusal.ended_at + kUnwantedSlack ||
      arrival.at > refusal.ended_at + refusal.retry_after) {
    return false;
  }
  const auto entry = EntryOf(index, arrival);
  // A process that has restarted since does not know of the refusal.
  return InTouch(*index.history, entry, arrival.at) &&
         !IsDisturbed(*index.history, entry, refusal.ended_at, arrival.at,
                      {DisturbanceKind::terminate, DisturbanceKind::kill, DisturbanceKind::start,
                       DisturbanceKind::freeze, DisturbanceKind::cut_link});
}

auto JudgeUnwanted(const Index& index, std::vector<Finding>& findings) -> void {
  std::map<std::pair<int, std::string_view>, std::vector<const Arrival*>> pairs;
  for (const auto* arrival : index.arrivals) {
    pairs[{EntryOf(index, *arrival), arrival->replica}].push_back(arrival);
  }
  for (const auto& [pair, arrivals] : pairs) {
    Counted counted;
    for (const auto* arrival : arrivals) {
      if (std::any_of(arrivals.begin(), arrivals.end(), [&](const Arrival* refusal) {
            return IsUnwanted(index, *refusal, *arrival);
          })) {
        Count(counted, arrival->id, arrival->at);
      }
    }
    AddAbove(kUnwantedLimit, Rule::budget, Form::unwanted, counted,
             "entry " + std::to_string(pair.first) + " at replica " + std::string(pair.second) +
                 " before the end of its Retry-After",
             findings);
  }
}

auto JudgeDeadly(const Index& index, std::vector<Finding>& findings) -> void {
  std::vector<Time> crashes;
  for (const auto* arrival : index.arrivals) {
    if (!arrival->deadly || !arrival->ran || arrival->end != ArrivalEnd::none) continue;
    crashes.push_back(std::max(arrival->at, arrival->ended_at));
  }
  if (crashes.size() < kCrashes) return;
  std::sort(crashes.begin(), crashes.end());
  const auto known_at = crashes[kCrashes - 1] + index.history->bounds.contact;
  Counted counted;
  for (const auto* arrival : index.arrivals) {
    if (arrival->deadly && arrival->at > known_at &&
        InTouch(*index.history, EntryOf(index, *arrival), arrival->at)) {
      Count(counted, arrival->id, arrival->at);
    }
  }
  AddAbove(kDeadlyLimit, Rule::budget, Form::deadly, counted,
           "sent on after the fifth crash of a replica", findings);
}

}  // namespace

auto RepeatsByService(const Index& index) -> std::map<std::string, std::vector<const Arrival*>> {
  std::map<std::string, std::vector<const Arrival*>> out;
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (const auto* arrival : index.arrivals) {
    if (!seen.emplace(arrival->service, arrival->id).second) {
      out[arrival->service].push_back(arrival);
    }
  }
  return out;
}

auto MeasureServices(const Index& index) -> std::vector<ServiceFigures> {
  std::map<std::string, ServiceFigures> services;
  std::map<std::string, std::vector<Time>> sent;
  for (const auto& attempt : index.history->attempts) {
    ++services[attempt.service].requests;
    sent[attempt.service].push_back(attempt.began_at);
  }
  for (const auto* arrival : index.arrivals) ++services[arrival->service].arrivals;
  auto repeats = RepeatsByService(index);
  std::vector<ServiceFigures> out;
  for (auto& [name, figures] : services) {
    std::sort(sent[name].begin(), sent[name].end());
    std::vector<Time> times;
    for (const auto* repeat : repeats[name]) times.push_back(repeat->at);
    figures.service = name;
    figures.repeats = static_cast<int>(times.size());
    FindWorstWindow(sent[name], times, index.history->bounds, figures);
    out.push_back(figures);
  }
  return out;
}

auto JudgeBudget(const Index& index, std::vector<Finding>& findings) -> void {
  JudgeRepeats(index, findings);
  JudgeReplicas(index, findings);
  JudgeDeadlines(index, findings);
  JudgeUnwanted(index, findings);
  JudgeDeadly(index, findings);
}

}  // namespace filbertstair::judge::detail
