#include <utility>

#include "tests/judge/index.h"

namespace filbertstair::judge::detail {
namespace {

// Requests whose kept connection may be closed though a sound replica had them.
constexpr std::size_t kClosesLimit = 3;
// Time after the grace and after a configuration is in force for which work counts as planned.
constexpr Time kAfterPlanned = kSecond;
// Requests sent no later than this after SIGTERM need not be ended within the grace.
constexpr Time kSentBeforeStop = 3 * kSecond;
// A cut beside a configuration counts up to this share of the request's time.
constexpr double kUsedTime = 0.7;
// Cuts beside configurations count if they are more often than this times those at other times.
constexpr double kMoreOften = 3;

// Whether a sound replica had the request and did not end it by itself.
auto HadSoundReplica(const Index& index, const ClientAttempt& attempt) -> bool {
  const auto& arrivals = ArrivalsOf(index, attempt);
  return std::any_of(arrivals.begin(), arrivals.end(), [&](const Arrival* arrival) {
    return arrival->sound && arrival->end != ArrivalEnd::refused &&
           arrival->end != ArrivalEnd::cut &&
           !IsReplicaDisturbed(*index.history, arrival->replica, arrival->at, attempt.ended_at) &&
           InTouch(*index.history, attempt.entry, arrival->at);
  });
}

auto JudgeKeptCloses(const Index& index, std::vector<Finding>& findings) -> void {
  Counted counted;
  for (const auto& attempt : index.history->attempts) {
    if (attempt.order > 0 && attempt.status == 0 && !attempt.gave_up &&
        HadSoundReplica(index, attempt) &&
        InTouch(*index.history, attempt.entry, attempt.ended_at)) {
      Count(counted, attempt.id, attempt.ended_at);
    }
  }
  AddAbove(kClosesLimit, Rule::lost, Form::kept_close, counted,
           "kept connections closed without an answer though a sound replica had the request",
           findings);
}

auto HasReached(Time used, Time limit) -> bool { return limit > 0 && used >= limit; }

auto BrokeOff(const Index& index, const ClientAttempt& attempt) -> bool {
  const auto& arrivals = ArrivalsOf(index, attempt);
  if (arrivals.empty()) return false;
  const auto& last = *arrivals.back();
  return last.end == ArrivalEnd::cut ||
         IsReplicaDisturbed(*index.history, last.replica, last.at, attempt.ended_at);
}

// Whether an entry had read the whole request and ended it without a complete answer, and nothing
// but planned work explains it.
auto IsCut(const Index& index, const ClientAttempt& attempt) -> bool {
  const auto& history = *index.history;
  if (attempt.complete || attempt.gave_up || attempt.sent_at == 0) return false;
  if (ArrivalsOf(index, attempt).empty() &&
      attempt.ended_at - attempt.sent_at <= history.bounds.loss_slack) {
    return false;
  }
  const auto used = attempt.ended_at - attempt.began_at;
  if (HasReached(used, attempt.deadline) || HasReached(used, attempt.timeout) ||
      BrokeOff(index, attempt)) {
    return false;
  }
  const auto from = attempt.began_at - history.bounds.contact;
  // Disturbance of the store alone excuses nothing for safe and unsafe requests.
  const bool stream =
      attempt.kind == RequestKind::stream || attempt.kind == RequestKind::resumable_stream;
  return !IsDisturbed(history, attempt.entry, from, attempt.ended_at,
                      {DisturbanceKind::kill, DisturbanceKind::start, DisturbanceKind::freeze,
                       DisturbanceKind::slow, DisturbanceKind::reset_connections,
                       DisturbanceKind::cut_link}) &&
         !(stream &&
           IsDisturbed(history, attempt.entry, from, attempt.ended_at, {DisturbanceKind::store}));
}

// Whether the replica was still at work in the last sixth of the grace, on a request that was sent
// before the stop or shortly after it.
auto OutlastsStop(const Index& index, const ClientAttempt& attempt, Time stopped_at) -> bool {
  const auto& arrivals = ArrivalsOf(index, attempt);
  return attempt.sent_at <= stopped_at + kSentBeforeStop &&
         std::any_of(arrivals.begin(), arrivals.end(), [&](const Arrival* arrival) {
           const auto last_sixth = stopped_at + index.history->bounds.grace / 6 * 5;
           return arrival->end == ArrivalEnd::none || arrival->ended_at >= last_sixth;
         });
}

// Whether the request was cut around this planned work.
auto IsAround(const Index& index, const ClientAttempt& attempt, const Disturbance& work) -> bool {
  const auto& bounds = index.history->bounds;
  if (attempt.ended_at < work.from || (work.entry >= 0 && work.entry != attempt.entry)) {
    return false;
  }
  switch (work.kind) {
    case DisturbanceKind::terminate:
      return attempt.ended_at <= work.from + bounds.grace + kAfterPlanned &&
             !OutlastsStop(index, attempt, work.from);
    case DisturbanceKind::reload:
      return attempt.sent_at <= work.from + bounds.config_apply;
    case DisturbanceKind::configuration:
      return attempt.ended_at <= work.until + bounds.config_apply + kAfterPlanned;
    default:
      return false;
  }
}

auto IsAroundAny(const Index& index, const ClientAttempt& attempt, DisturbanceKind kind) -> bool {
  const auto& works = index.history->disturbances;
  return std::any_of(works.begin(), works.end(), [&](const Disturbance& work) {
    return work.kind == kind && IsAround(index, attempt, work);
  });
}

// Requests of an entry beside configurations and at other times, and those of them that were cut.
struct CutShares {
  int beside = 0;
  int others = 0;
  int cut_beside = 0;
  int cut_others = 0;
};

auto IsMoreOften(const CutShares& shares) -> bool {
  if (shares.beside == 0) return false;
  const double others = shares.others == 0 ? 0 : 1.0 * shares.cut_others / shares.others;
  return 1.0 * shares.cut_beside / shares.beside > kMoreOften * others;
}

// Adds the requests that were cut beside a configuration, by entry.
auto JudgeConfigurations(const Index& index, const std::vector<const ClientAttempt*>& cuts,
                         std::vector<Finding>& findings) -> void {
  std::map<int, CutShares> shares;
  for (const auto& attempt : index.history->attempts) {
    auto& share = shares[attempt.entry];
    ++(IsAroundAny(index, attempt, DisturbanceKind::configuration) ? share.beside : share.others);
  }
  std::map<int, Counted> counted;
  for (const auto* attempt : cuts) {
    auto& share = shares[attempt->entry];
    if (!IsAroundAny(index, *attempt, DisturbanceKind::configuration)) {
      ++share.cut_others;
      continue;
    }
    ++share.cut_beside;
    const auto limits = {attempt->deadline, attempt->timeout};
    const double used = static_cast<double>(attempt->ended_at - attempt->began_at);
    if (std::all_of(limits.begin(), limits.end(), [&](Time limit) {
          return limit == 0 || used < kUsedTime * static_cast<double>(limit);
        })) {
      Count(counted[attempt->entry], attempt->id, attempt->ended_at);
    }
  }
  for (const auto& [entry, requests] : counted) {
    if (!IsMoreOften(shares[entry])) continue;
    AddAbove(0, Rule::lost, Form::configuration, requests,
             "entry " + std::to_string(entry) + " cut requests beside a configuration", findings);
  }
}

}  // namespace

auto JudgeLost(const Index& index, std::vector<Finding>& findings) -> void {
  JudgeKeptCloses(index, findings);
  std::vector<const ClientAttempt*> cuts;
  for (const auto& attempt : index.history->attempts) {
    if (IsCut(index, attempt)) cuts.push_back(&attempt);
  }
  for (const auto& [kind, form] : {std::pair{DisturbanceKind::terminate, Form::stop},
                                   std::pair{DisturbanceKind::reload, Form::reload}}) {
    Counted counted;
    for (const auto* attempt : cuts) {
      if (IsAroundAny(index, *attempt, kind)) Count(counted, attempt->id, attempt->ended_at);
    }
    AddAbove(0, Rule::lost, form, counted, "cut around a planned " + std::string(core::Name(form)),
             findings);
  }
  JudgeConfigurations(index, cuts, findings);
}

}  // namespace filbertstair::judge::detail
