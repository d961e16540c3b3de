#include "tests/soak/check.h"

#include <algorithm>
#include <csignal>
#include <functional>

namespace filbertstair::soak {
namespace {

// `loss-slack-ms` of the deployments: a request whose last byte was sent later than this before the
// end of its connection counts as read.
constexpr std::int64_t kLossSlackUs = 200'000;
// A caller waits 6.5 s; the routes' timeout is 5 s.
constexpr std::int64_t kUnansweredUs = 6'000'000;
// `grace-period-s`.
constexpr std::int64_t kGraceUs = 8'000'000;
// `revoke-timeout-ms`.
constexpr std::int64_t kRevokeUs = 5'000'000;
// Part of the grace in which a planned stop waits for requests that are arriving: until the final
// answers are sent, 0.5 s before the `drain_grace` of 7.4 s.
constexpr std::int64_t kUploadGraceUs = 6'800'000;
// Time from the start of a process to its readiness, without faults.
constexpr std::int64_t kStartUs = 5'000'000;
// `ram-mb` of the small deployments.
constexpr std::int64_t kMemoryLimit = std::int64_t{260} << 20;
// Descriptors and threads that a process may have beyond those at its start.
constexpr int kMoreDescriptors = 60;
constexpr int kMoreThreads = 1;
// Effects of a fault on what callers see may follow it by this.
constexpr std::int64_t kAfterUs = 1'500'000;

// Most time that the dynamic loader takes on a busy machine, and for the end to be noticed.
constexpr std::int64_t kLoaderUs = 60'000;

// A caller that leaves at its deadline does so within this time.
constexpr std::int64_t kLeaveUs = 500'000;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kTooLarge = 413;

using Matches = std::function<bool(FaultKind)>;

// Whether a fault of a matching kind acted on the entry (or on all) during the time.
auto IsDisturbed(const Observations& observed, int entry, std::int64_t from, std::int64_t until,
                 const Matches& matches) -> bool {
  return std::any_of(observed.disturbances.begin(), observed.disturbances.end(),
                     [&](const Disturbance& d) {
                       return matches(d.kind) && (d.entry < 0 || entry < 0 || d.entry == entry) &&
                              d.from <= until && from <= d.until + kAfterUs;
                     });
}

auto IsPausing(FaultKind kind) -> bool {
  return kind == FaultKind::freeze || kind == FaultKind::terminate_frozen ||
         kind == FaultKind::throttle;
}

auto IsLinkFault(FaultKind kind) -> bool {
  return kind == FaultKind::cut_callers || kind == FaultKind::delay_callers;
}

auto IsReplicaFault(FaultKind kind) -> bool { return ScopeOf(kind) == Scope::replica; }

// Whether the soak killed the entry while the call's connection was open.
auto WasKilled(const Observations& observed, const CallRecord& call) -> bool {
  return std::any_of(observed.runs.begin(), observed.runs.end(), [&](const EntryRun& run) {
    return run.entry == call.entry && run.killed_at > 0 && run.started_at <= call.ended_at &&
           call.connected_at <= run.ended_at;
  });
}

auto StartsOf(const Observations& observed, const CallRecord& call) -> int {
  const auto found = observed.starts.find(call.id);
  return found == observed.starts.end() ? 0 : found->second;
}

auto IsOneOf(int status, std::initializer_list<int> statuses) -> bool {
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

auto Describe(const Observations& observed, const CallRecord& call) -> std::string {
  return call.id + " (" + std::string(core::Name(call.kind)) + (call.kept ? ", kept" : "") +
         (call.relayed ? ", relayed" : "") + ") at entry " + std::to_string(call.entry) +
         ": status " + std::to_string(call.status) + " " + call.outcome + ", " +
         std::to_string(call.received) + " bytes, starts " +
         std::to_string(StartsOf(observed, call)) + ", connected " +
         std::to_string(call.connected_at) + ", sent " + std::to_string(call.sent_at) + ", ended " +
         std::to_string(call.ended_at) + " " + call.error;
}

// Whether the caller left at its deadline. One that waits much longer found the entry silent.
auto LeftInTime(const CallRecord& call) -> bool {
  return call.gave_up &&
         call.ended_at - call.began_at <= std::int64_t{call.deadline_ms} * 1000 + kLeaveUs;
}

// Whether the connection ended without any part of an answer, and no fault explains it.
auto IsUnanswered(const Observations& observed, const CallRecord& call) -> bool {
  if (call.status != 0 || WasKilled(observed, call) || LeftInTime(call)) return false;
  const auto held = [](FaultKind kind) { return kind == FaultKind::hold_port; };
  if (IsDisturbed(observed, call.entry, call.connected_at, call.ended_at, held)) return false;
  if (call.relayed &&
      IsDisturbed(observed, call.entry, call.connected_at, call.ended_at, IsLinkFault)) {
    return false;
  }
  const bool gave_up = call.ended_at - call.began_at >= kUnansweredUs;
  return !gave_up || !IsDisturbed(observed, call.entry, call.began_at, call.ended_at, IsPausing);
}

// Whether the connection ended in a planned stop of its entry, with time of the grace left.
auto EndedInStop(const Observations& observed, const CallRecord& call) -> bool {
  return std::any_of(observed.runs.begin(), observed.runs.end(), [&](const EntryRun& run) {
    return run.entry == call.entry && run.terminated_at > 0 && call.ended_at >= run.terminated_at &&
           call.ended_at <= run.terminated_at + kUploadGraceUs;
  });
}

auto IsCrossing(const Observations& observed, const CallRecord& call) -> bool {
  // A relay accepts connections for an entry that is away.
  if (call.relayed) return true;
  // An upload that is cut before its end was not read whole, but a stop waits for one that it has
  // begun to read.
  if (call.sent_at == 0 && call.kind != CallKind::large_upload) {
    return call.ended_at - call.began_at <= kLossSlackUs || !EndedInStop(observed, call);
  }
  return StartsOf(observed, call) == 0 && call.sent_at > 0 &&
         call.ended_at - call.sent_at <= kLossSlackUs;
}

auto CheckCall(const Observations& observed, const CallRecord& call,
               std::vector<Violation>& violations) -> void {
  const auto add = [&](Promise promise) {
    violations.push_back({promise, Describe(observed, call)});
  };
  const int starts = StartsOf(observed, call);
  const bool late = observed.revoked_at > 0 && call.began_at > observed.revoked_at + kRevokeUs;
  if (call.second_key && late && starts > 0) add(Promise::key_is_revoked);
  if (call.kind == CallKind::abandoned) return;
  if (IsUnanswered(observed, call)) {
    if (starts > 0) {
      add(Promise::run_is_answered);
    } else if (!IsCrossing(observed, call)) {
      add(Promise::request_is_answered);
    }
    return;
  }
  if (call.status == 0) return;
  if (!call.complete) {
    const bool explained =
        WasKilled(observed, call) || LeftInTime(call) ||
        IsDisturbed(observed, -1, call.sent_at, call.ended_at, IsReplicaFault) ||
        (call.relayed &&
         IsDisturbed(observed, call.entry, call.connected_at, call.ended_at, IsLinkFault)) ||
        IsDisturbed(observed, call.entry, call.sent_at, call.ended_at, IsPausing);
    if (!explained) add(Promise::answer_is_whole);
    return;
  }
  if (call.status == kOk && !call.sound) add(Promise::answer_is_sound);
  if (call.outcome == "not_run" && starts > 0) add(Promise::refusal_is_true);
  const bool revoked =
      call.second_key && observed.revoke_began_at > 0 && call.ended_at >= observed.revoke_began_at;
  if (call.status == kUnauthorized && revoked) return;
  const bool improper =
      call.status >= 400 && call.status < 500 && !IsOneOf(call.status, {408, 421, 429});
  if (call.kind == CallKind::large_upload) {
    if (call.status != kTooLarge && call.status < 500) add(Promise::request_is_accepted);
  } else if (improper) {
    add(Promise::request_is_accepted);
  }
}

// Whether SIGHUP ended the process before the program's first instruction: no program can prevent
// that while the dynamic loader runs.
auto EndedInLoader(const Observations& observed, const EntryRun& run) -> bool {
  const auto early = [](FaultKind kind) { return kind == FaultKind::reload_at_start; };
  return run.status == 128 + SIGHUP && run.ended_at - run.started_at <= kLoaderUs &&
         IsDisturbed(observed, run.entry, run.started_at, run.ended_at, early);
}

auto CheckProcess(const Observations& observed, const EntryRun& run,
                  std::vector<Violation>& violations) -> void {
  const auto add = [&](Promise promise) {
    violations.push_back(
        {promise, "entry " + std::to_string(run.entry) + ": started " +
                      std::to_string(run.started_at) + ", ready " + std::to_string(run.ready_at) +
                      ", SIGTERM " + std::to_string(run.terminated_at) + ", SIGKILL " +
                      std::to_string(run.killed_at) + ", ended " + std::to_string(run.ended_at) +
                      ", status " + std::to_string(run.status)});
  };
  const auto spoiled = [](FaultKind kind) { return kind == FaultKind::spoil_settings; };
  // A process can't start with a settings file that the soak has spoiled.
  const bool excused = EndedInLoader(observed, run) ||
                       IsDisturbed(observed, run.entry, run.started_at, run.started_at, spoiled);
  if (run.ended_at > 0 && run.killed_at == 0 && !excused) {
    if (run.terminated_at == 0) add(Promise::process_stays);
    if (run.terminated_at > 0 && run.status != 0) add(Promise::stop_is_clean);
  }
  if (run.terminated_at > 0 && run.ended_at - run.terminated_at > kGraceUs &&
      !IsDisturbed(observed, run.entry, run.terminated_at, run.ended_at, IsPausing)) {
    add(Promise::stop_is_clean);
  }
  const auto delays_start = [](FaultKind kind) {
    return IsPausing(kind) || ScopeOf(kind) == Scope::store || kind == FaultKind::hold_port ||
           kind == FaultKind::spoil_settings;
  };
  const auto until = run.ready_at > 0 ? run.ready_at : run.ended_at;
  if (run.killed_at == 0 && run.terminated_at == 0 && until - run.started_at > kStartUs &&
      !IsDisturbed(observed, run.entry, run.started_at, until, delays_start)) {
    add(Promise::start_is_quick);
  }
}

auto CheckUsage(const EntryUsage& usage, std::vector<Violation>& violations) -> void {
  if (usage.peak_resident <= kMemoryLimit &&
      usage.after.descriptors <= usage.before.descriptors + kMoreDescriptors &&
      usage.after.threads <= usage.before.threads + kMoreThreads) {
    return;
  }
  violations.push_back({Promise::usage_is_bounded,
                        "entry " + std::to_string(usage.entry) + ": peak " +
                            std::to_string(usage.peak_resident >> 20) + " MB, descriptors " +
                            std::to_string(usage.before.descriptors) + " then " +
                            std::to_string(usage.after.descriptors) + ", threads " +
                            std::to_string(usage.before.threads) + " then " +
                            std::to_string(usage.after.threads)});
}

}  // namespace

auto CheckRun(const Observations& observed) -> std::vector<Violation> {
  std::vector<Violation> violations;
  for (const auto& call : observed.calls) CheckCall(observed, call, violations);
  for (const auto& run : observed.runs) CheckProcess(observed, run, violations);
  for (const auto& usage : observed.usages) CheckUsage(usage, violations);
  return violations;
}

auto CountLoaderEnds(const Observations& observed) -> int {
  return static_cast<int>(
      std::count_if(observed.runs.begin(), observed.runs.end(),
                    [&](const EntryRun& run) { return EndedInLoader(observed, run); }));
}

auto CountCrossings(const Observations& observed) -> int {
  return static_cast<int>(
      std::count_if(observed.calls.begin(), observed.calls.end(), [&](const CallRecord& call) {
        return call.kind != CallKind::abandoned && IsUnanswered(observed, call) && !call.relayed &&
               StartsOf(observed, call) == 0 && IsCrossing(observed, call);
      }));
}

}  // namespace filbertstair::soak
