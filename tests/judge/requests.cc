#include "tests/judge/index.h"

namespace filbertstair::judge::detail {
namespace {

// Time after a client's close, or after a route's timeout, within which work and requests end.
constexpr Time kEndSlack = kSecond / 2;
// Requests that may reach a replica later than that after the client's close.
constexpr std::size_t kGoneLimit = 3;
// Requests without an answer after their timeout that make a quarter of all such requests count.
constexpr std::size_t kTimeoutsLimit = 7;
// Time for which the replica before may still work on a request that goes on at another one.
constexpr Time kOverlap = 400'000;
// Proper requests that may be denied besides one in 500, and by entries out of touch.
constexpr std::size_t kDeniedLimit = 5;
constexpr std::size_t kDeniedShare = 500;
constexpr std::size_t kDeniedOutOfTouchLimit = 10;

auto IsOneOf(int status, std::initializer_list<int> statuses) -> bool {
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

auto RunsOnce(const ClientAttempt& attempt) -> bool {
  return attempt.kind == RequestKind::unsafe || attempt.kind == RequestKind::stream;
}

// Whether the replica has not ended the request by the time, though it was not disturbed.
auto IsAtWork(const Index& index, const Arrival& arrival, Time at) -> bool {
  return arrival.ran && (arrival.end == ArrivalEnd::none || arrival.ended_at > at) &&
         !IsReplicaDisturbed(*index.history, arrival.replica, arrival.at, at);
}

// Whether a request went on at another replica while the one before was at work on it.
auto Overlaps(const Index& index, const std::vector<const Arrival*>& arrivals) -> bool {
  for (std::size_t i = 1; i < arrivals.size(); ++i) {
    const auto& before = *arrivals[i - 1];
    const auto until = arrivals[i]->at + kOverlap;
    if (!arrivals[i]->resume_after.empty() && before.replica != arrivals[i]->replica &&
        before.sound && IsAtWork(index, before, until) &&
        InTouch(*index.history, EntryOf(index, before), until)) {
      return true;
    }
  }
  return false;
}

auto JudgeRuns(const Index& index, std::vector<Finding>& findings) -> void {
  Counted refused;
  Counted twice;
  Counted overlapping;
  for (const auto& attempt : index.history->attempts) {
    const auto& arrivals = ArrivalsOf(index, attempt);
    const auto runs = std::count_if(arrivals.begin(), arrivals.end(),
                                    [](const Arrival* arrival) { return arrival->ran; });
    if (RunsOnce(attempt)) {
      if (runs > 0 && IsOneOf(attempt.status, {408, 421, 429, 503})) {
        Count(refused, attempt.id, attempt.ended_at);
      }
      if (runs > 1) Count(twice, attempt.id, attempt.began_at);
    }
    if (Overlaps(index, arrivals)) Count(overlapping, attempt.id, attempt.began_at);
  }
  AddAbove(0, Rule::refused, Form::refused_and_ran, refused, "refused, and ran", findings);
  AddAbove(0, Rule::twice, Form::ran_again, twice, "ran more than once", findings);
  AddAbove(0, Rule::twice, Form::overlap, overlapping, "went on while still at work", findings);
}

// Whether the arrival came too late after the replica's leaving was acknowledged.
auto IsAfter(const Index& index, const Departure& departure, const Arrival& arrival) -> bool {
  const auto& history = *index.history;
  if (departure.replica != arrival.replica ||
      arrival.at <= departure.at + history.bounds.drain_timeout ||
      (departure.until > 0 && arrival.at >= departure.until)) {
    return false;
  }
  if (departure.entry >= 0) return departure.entry == EntryOf(index, arrival);
  return !IsDisturbed(history, -1, departure.at - history.bounds.contact, departure.at,
                      {DisturbanceKind::store}) &&
         !IsDisturbed(history, -1, arrival.at - history.bounds.contact, arrival.at,
                      {DisturbanceKind::store});
}

auto JudgeDrain(const Index& index, std::vector<Finding>& findings) -> void {
  Counted counted;
  const auto& departures = index.history->departures;
  for (const auto* arrival : index.arrivals) {
    const auto* attempt = AttemptOf(index, *arrival);
    if (attempt == nullptr || arrival->status == 421) continue;
    if (std::any_of(departures.begin(), departures.end(),
                    [&](const Departure& d) { return IsAfter(index, d, *arrival); }) &&
        IsCalm(*index.history, attempt->entry, arrival->at) &&
        IsCalm(*index.history, EntryOf(index, *arrival), arrival->at)) {
      Count(counted, arrival->id, arrival->at);
    }
  }
  AddAbove(0, Rule::drain, Form::left_replica, counted, "sent to a replica that had left",
           findings);
}

auto JudgeGone(const Index& index, std::vector<Finding>& findings) -> void {
  Counted sent;
  Counted at_work;
  std::size_t ended = 0;
  for (const auto& attempt : index.history->attempts) {
    const auto until = attempt.ended_at + kEndSlack;
    if (!attempt.gave_up) continue;
    for (const auto* arrival : ArrivalsOf(index, attempt)) {
      const auto entry = EntryOf(index, *arrival);
      if (arrival->at > until) {
        if (InTouch(*index.history, entry, arrival->at)) Count(sent, attempt.id, arrival->at);
      } else if (attempt.kind != RequestKind::unsafe && InTouch(*index.history, entry, until)) {
        if (IsAtWork(index, *arrival, until)) {
          Count(at_work, attempt.id, until);
        } else if (arrival->end == ArrivalEnd::abandoned && arrival->ended_at >= attempt.ended_at) {
          ++ended;
        }
      }
    }
  }
  AddAbove(kGoneLimit, Rule::gone, Form::sent_after_close, sent, "sent after the client's close",
           findings);
  // More than a quarter.
  if (at_work.requests.size() * 3 > ended) {
    AddAbove(0, Rule::gone, Form::work_after_close, at_work,
             "at work after the client's close, and " + std::to_string(ended) + " ended", findings);
  }
}

auto JudgeTimeouts(const Index& index, std::vector<Finding>& findings) -> void {
  Counted late;
  std::size_t reached = 0;
  for (const auto& attempt : index.history->attempts) {
    const auto end = attempt.began_at + attempt.timeout;
    const bool is_late = attempt.ended_at > end + kEndSlack;
    if (attempt.timeout == 0 || attempt.ended_at <= end || (attempt.gave_up && !is_late) ||
        !InTouch(*index.history, attempt.entry, end + kEndSlack)) {
      continue;
    }
    ++reached;
    if (is_late) Count(late, attempt.id, end);
  }
  const auto count = late.requests.size();
  if (count * 2 <= reached && (count <= kTimeoutsLimit || count * 4 <= reached)) return;
  AddAbove(0, Rule::config, Form::timeouts, late,
           std::to_string(count) + " of " + std::to_string(reached) +
               " that reached their timeout had no answer after it",
           findings);
}

auto JudgeOrder(const Index& index, std::vector<Finding>& findings) -> void {
  Counted counted;
  for (const auto& attempt : index.history->attempts) {
    auto next = attempt.first_piece;
    const bool ordered = std::all_of(attempt.pieces.begin(), attempt.pieces.end(),
                                     [&](int piece) { return piece == next++; });
    const bool ended = !attempt.complete || attempt.status != 200 || next >= attempt.piece_count;
    if (!ordered || !ended) Count(counted, attempt.id, attempt.ended_at);
  }
  AddAbove(0, Rule::order, Form::pieces, counted, "pieces missing or repeated", findings);
}

auto JudgeDenied(const Index& index, std::vector<Finding>& findings) -> void {
  Counted all;
  Counted out_of_touch;
  for (const auto& attempt : index.history->attempts) {
    if (attempt.status < 300 || attempt.status >= 500 || attempt.from_replica || !attempt.allowed ||
        IsOneOf(attempt.status, {408, 421, 429})) {
      continue;
    }
    const bool in_touch = InTouch(*index.history, attempt.entry, attempt.ended_at);
    if (!in_touch && !IsOneOf(attempt.status, {401, 403, 404})) continue;
    Count(all, attempt.id, attempt.ended_at);
    if (!in_touch) Count(out_of_touch, attempt.id, attempt.ended_at);
  }
  AddAbove(kDeniedLimit + index.history->attempts.size() / kDeniedShare, Rule::denied, Form::denied,
           all, "proper requests denied", findings);
  AddAbove(kDeniedOutOfTouchLimit, Rule::denied, Form::denied_out_of_touch, out_of_touch,
           "proper requests denied out of touch", findings);
}

auto JudgeRecovery(const Index& index, std::vector<Finding>& findings) -> void {
  Time final_from = 0;
  Time back_at = 0;
  for (const auto& d : index.history->disturbances) {
    if (d.kind == DisturbanceKind::reload || d.kind == DisturbanceKind::configuration) continue;
    final_from = std::max(final_from, d.from);
    back_at = std::max({back_at, d.from, d.until});
  }
  std::size_t before = 0;
  std::size_t served_before = 0;
  std::size_t after = 0;
  Counted unserved;
  for (const auto& attempt : index.history->attempts) {
    const bool served = attempt.complete && attempt.status / 100 == 2;
    if (attempt.ended_at < final_from) {
      ++before;
      if (served) ++served_before;
    } else if (attempt.began_at > back_at + index.history->bounds.recovery) {
      ++after;
      if (!served) Count(unserved, attempt.id, attempt.began_at);
    }
  }
  const auto served_after = after - unserved.requests.size();
  if (served_before * 4 < before || before == 0 || served_after * 4 >= after) return;
  AddAbove(0, Rule::recover, Form::not_served, unserved,
           std::to_string(served_after) + " of " + std::to_string(after) + " served", findings);
}

}  // namespace

auto JudgeRequests(const Index& index, std::vector<Finding>& findings) -> void {
  JudgeRuns(index, findings);
  JudgeDrain(index, findings);
  JudgeGone(index, findings);
  JudgeTimeouts(index, findings);
  JudgeOrder(index, findings);
  JudgeDenied(index, findings);
  JudgeRecovery(index, findings);
}

}  // namespace filbertstair::judge::detail
