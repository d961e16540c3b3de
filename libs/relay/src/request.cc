#include <algorithm>
#include <cctype>
#include <functional>

#include "filbertstair/core/error.h"
#include "state.h"

namespace filbertstair::relay {
namespace {

using core::Outcome;
using core::Reason;
using core::Step;
using node::RequestRefusal;
using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Share of a request's objective that it may wait for a replica. Past it the answer would be late
// anyway, and the caller learns at once that it may come back.
constexpr double kQueueShare = 0.4;
// Replicas that may refuse a connection before the request is refused.
constexpr int kMaxConnects = 3;
// Time after which a caller comes back to an entry that has no configuration, or a stale one.
constexpr core::Duration kRetryConfigured = std::chrono::milliseconds(500);

// Interval at which the shares of what the entry takes in are computed anew, as that of the delay.
constexpr core::Duration kShareInterval = std::chrono::milliseconds(50);
// Time after which a caller comes back to another entry if this one is being stopped. The balancer
// knows by the time at which most of these refusals are given.
constexpr core::Duration kRetryStopping = std::chrono::milliseconds(100);

auto Refuse(Reason reason, Step step, std::string message,
            core::Duration retry_after = std::chrono::seconds(1)) -> RequestRefusal {
  return {reason, Outcome::not_run, step, "", std::move(message), retry_after};
}

auto RefuseStale(const Call& call) -> RequestRefusal {
  return Refuse(Reason::stale_configuration, Step::document,
                "version " + std::to_string(call.fleet->version) + " was not confirmed in time",
                kRetryConfigured);
}

// Finds the workspace that holds the request's credential.
auto Authorize(Relay& relay, const Call& call, std::string& workspace)
    -> std::optional<RequestRefusal> {
  if (call.route->is_public || call.fleet->credentials.empty()) return std::nullopt;
  if (!HasCurrentFleet(relay)) return RefuseStale(call);
  const auto* holder = direct::FindWorkspace(*call.fleet, call.head.credential);
  if (holder == nullptr) {
    return Refuse(
        Reason::unknown_credential, Step::route,
        "no workspace holds the credential in version " + std::to_string(call.fleet->version));
  }
  workspace = *holder;
  return std::nullopt;
}

// Returns the max-min share of what this entry takes in of the service. Looking at all workspaces
// for each request would add to the overload.
auto ShareOf(Relay& relay, DispatchTable& table, const std::string& service, core::Time now)
    -> double {
  auto& share = table.shares[service];
  if (now >= share.until) {
    share = {direct::AdmissionShare(table.queues[service], relay.policies.queue, now),
             now + kShareInterval};
  }
  return share.service;
}

auto RefuseOverloaded(const WorkerState& worker, const std::string& why, core::Duration retry_after)
    -> RequestRefusal {
  return Refuse(
      Reason::overloaded, Step::queue,
      "timers run late by " + std::to_string(worker.pressure.mean_delay.count()) + " us" + why,
      retry_after);
}

// Returns an even draw from 0 to 1, the same one for the same request.
auto DrawOf(const Call& call) -> double {
  constexpr std::size_t steps = 1000;
  return static_cast<double>(std::hash<std::string>()(call.head.attempt) % steps) / steps;
}

// What a workspace asked of this entry and had taken in lately, and its max-min share of that.
struct IntakeUse {
  double asked = 0;
  double taken = 0;
  double share = 0;
};

auto FindIntakeUse(Relay& relay, const Call& call, core::Time now) -> IntakeUse {
  return relay.dispatch.With([&](DispatchTable& table) {
    const auto& account = table.queues[call.service].accounts[call.workspace];
    return IntakeUse{direct::RecentService(account.requested, relay.policies.queue, now),
                     direct::RecentService(account.admitted, relay.policies.queue, now),
                     ShareOf(relay, table, call.service, now)};
  });
}

// Refuses a request beyond the rate that this entry takes in.
auto RefuseBeyondIntake(Relay& relay, const Call& call) -> std::optional<RequestRefusal> {
  const auto& worker = ThisWorker(relay);
  const auto& policy = relay.policies.intake;
  const auto now = node::Now();
  if (direct::IsStalled(worker.pressure, relay.policies.pressure)) {
    return RefuseOverloaded(worker, "", policy.short_retry_delay);
  }
  if (!direct::IsRateLimited(worker.intake, policy, now)) return std::nullopt;
  const auto use = FindIntakeUse(relay, call, now);
  const auto standing = direct::ClassifyShare(policy, use.taken, use.share);
  if (direct::MayAdmit(worker.intake, policy, standing, now)) return std::nullopt;
  return RefuseOverloaded(worker,
                          "; the workspace is " + std::string(core::Name(standing)) + " its share",
                          direct::ChooseRetryDelay(policy, use.asked, use.share, DrawOf(call)));
}

auto CostOf(const CallHead& head) -> double {
  if (!head.prompt) return 1;
  // A generated token counts twice.
  return head.prompt->tokens_in + 2.0 * head.prompt->tokens_out;
}

// Refuses a request that the end of this process would cut.
auto RefuseStopping(Relay& relay, const Call& call) -> std::optional<RequestRefusal> {
  if (!relay.node.draining && !call.stopped) return std::nullopt;
  const auto now = node::Now();
  core::RequestProfile profile;
  // The objective of a stream says nothing about its end.
  if (!call.route->streaming) profile.objective = call.route->latency_objective;
  profile.remaining = call.deadline - now;
  if (call.head.prompt) profile.size = call.head.prompt->tokens_out;
  if (direct::IsRetryable(*call.route)) profile.call_class = core::CallClass::repeatable;
  const auto end = node::ResponseStartDeadline(relay.node);
  const auto durations =
      relay.dispatch.With([&](DispatchTable& table) { return table.durations[call.route->name]; });
  if (!call.stopped &&
      core::CanFinishBeforeExit(relay.policies.drain, durations, profile, now, end)) {
    return std::nullopt;
  }
  return Refuse(Reason::draining, Step::queue,
                "this entry is being stopped and would cut the request", kRetryStopping);
}

auto Resolve(Relay& relay, const net::HttpRequest& request, Call& call)
    -> std::optional<RequestRefusal> {
  if (call.fleet == nullptr) {
    return Refuse(Reason::no_configuration, Step::document, "no configuration is in force yet",
                  kRetryConfigured);
  }
  if (call.head.attempt.empty()) {
    return Refuse(Reason::malformed_request, Step::read, "the request has no id");
  }
  call.route =
      direct::FindRoute(*call.fleet, net::FindHeader(request.headers, "Host"), request.target);
  if (call.route == nullptr) {
    // A newer version may have the route.
    if (!HasCurrentFleet(relay)) return RefuseStale(call);
    return Refuse(
        Reason::unknown_service, Step::route,
        "no route for the host and path in version " + std::to_string(call.fleet->version));
  }
  if (auto refused = Authorize(relay, call, call.workspace)) return refused;
  call.service = direct::PickService(*call.route, std::hash<std::string>()(call.head.attempt));
  call.cost = CostOf(call.head);
  call.deadline = call.arrived +
                  std::min(call.route->timeout, call.head.remaining.value_or(call.route->timeout));
  return std::nullopt;
}

auto ToRetryReason(const Failure& failure) -> core::RetryReason {
  if (!failure.sent) return core::RetryReason::unreachable;
  if (failure.outcome == Outcome::not_run) return core::RetryReason::no_room;
  if (failure.reason == Reason::engine_error) return core::RetryReason::engine_error;
  return core::RetryReason::connection_lost;
}

// Progress of a request over its attempts.
struct Progress {
  int connects = 0;
  bool may_have_run = false;
  std::optional<Failure> last;
};

auto DescribeWait(const Call& call) -> std::string {
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(node::Now() - call.arrived);
  return "no replica had room within " + std::to_string(waited.count()) + " ms; " +
         std::to_string(call.pending->ahead) + " requests of the service waited on arrival";
}

auto ToRefused(const Progress& progress, const Call& call) -> RequestRefusal {
  RequestRefusal refused;
  refused.peer = call.replica;
  refused.retry_after = call.route->latency_objective;
  if (progress.last) {
    refused.reason = progress.last->reason;
    refused.step = progress.last->step;
    refused.message = progress.last->message;
  } else {
    refused.reason = call.pending->hopeless ? Reason::no_endpoint : Reason::no_room;
    refused.step = Step::queue;
    refused.message =
        call.pending->hopeless ? "the service has no usable replica" : DescribeWait(call);
  }
  refused.outcome = progress.may_have_run ? Outcome::unknown : Outcome::not_run;
  // A status that promises that the request did not run is given exactly if that is proved.
  const bool promises = core::HttpStatus(refused.reason) == 503;
  if (promises && progress.may_have_run) refused.reason = Reason::connection_lost;
  if (!promises && !progress.may_have_run) refused.reason = Reason::no_room;
  if (refused.reason == Reason::draining) refused.retry_after = kRetryStopping;
  return refused;
}

// Whether the request may be sent to another replica after the failure.
auto MayContinue(const Call& call, const Progress& progress, const Failure& failure) -> bool {
  if (call.caller_gone || call.stopped || node::Now() >= call.deadline) return false;
  if (progress.connects >= kMaxConnects || failure.reason == Reason::overloaded) return false;
  if (!failure.sent) return true;
  if (call.tried.size() >= call.route->attempts) return false;
  if (call.begun && !(call.route->streaming && call.route->resumable)) return false;
  return failure.outcome == Outcome::not_run || direct::IsRetryable(*call.route);
}

auto TakeRepeat(Relay& relay, const Call& call) -> bool {
  const auto entries = CountEntries(relay);
  return relay.dispatch.With([&](DispatchTable& table) {
    return direct::TryConsumeRetry(table.budgets[call.service], relay.policies.budget, entries,
                                   node::Now());
  });
}

auto LogRetry(Relay& relay, const Call& call, const Assignment& assignment, const Failure& failure)
    -> void {
  const auto reason = core::Name(ToRetryReason(failure));
  relay.node.metrics.Count(Metric::retries, reason);
  telemetry::Log(Level::info, Event::request_retried,
                 {{"request", call.id},
                  {"peer", assignment.replica},
                  {"reason", reason},
                  {"outcome", core::Name(failure.outcome)},
                  {"error", failure.message}});
}

auto QueueDeadline(const Call& call, bool first) -> core::Time {
  const auto patience =
      std::chrono::duration_cast<core::Duration>(call.route->latency_objective * kQueueShare);
  return std::min(call.deadline, (first ? call.arrived : node::Now()) + patience);
}

// Attempts the request until the caller has an answer or no attempt is left.
auto RunAttempts(Relay& relay, Call& call, const net::HttpRequest& request,
                 net::Responder& responder) -> std::optional<RequestRefusal> {
  Progress progress;
  while (true) {
    auto assignment = Acquire(relay, call, QueueDeadline(call, call.tried.empty()));
    if (call.caller_gone) {
      if (assignment) Release(relay, *assignment);
      return Refuse(Reason::withdrawn, Step::queue, "the caller closed its connection");
    }
    if (auto refused = RefuseStopping(relay, call)) {
      if (assignment) Release(relay, *assignment);
      return progress.last ? ToRefused(progress, call) : refused;
    }
    if (!assignment) return ToRefused(progress, call);
    if (!call.tried.empty() && !TakeRepeat(relay, call)) {
      Release(relay, *assignment);
      if (progress.last) progress.last->message += "; the retry budget is used up";
      return ToRefused(progress, call);
    }
    if (call.tried.empty()) {
      relay.node.metrics.Observe(Metric::queue_wait, node::Now() - call.arrived);
    }
    call.replica = assignment->replica;
    auto failure = Attempt(relay, call, request, *assignment, responder);
    Release(relay, *assignment);
    if (!failure) return std::nullopt;
    node::RecordEvent(relay.node, call.id,
                      {.kind = node::TraceKind::failed,
                       .peer = assignment->replica,
                       .step = failure->step,
                       .outcome = failure->outcome,
                       .reason = failure->reason});
    if (failure->sent) {
      call.tried.insert(assignment->replica);
    } else {
      ++progress.connects;
    }
    progress.may_have_run = progress.may_have_run || failure->outcome != Outcome::not_run;
    progress.last = failure;
    if (!MayContinue(call, progress, *failure)) return ToRefused(progress, call);
    LogRetry(relay, call, *assignment, *failure);
  }
}

auto WatchCaller(const std::shared_ptr<Call>& call, net::Responder& responder) -> void {
  responder.OnCallerDisconnect([call] {
    call->caller_gone = true;
    call->pending->changed.Notify();
    if (call->exchange) call->exchange->Cancel();
  });
}

// Records how long a request took that was answered, or that reached its deadline.
auto NoteDuration(Relay& relay, const Call& call, const std::optional<RequestRefusal>& refused)
    -> void {
  if (refused && (call.stopped || refused->reason != Reason::deadline_exceeded)) return;
  const double size = call.head.prompt ? call.head.prompt->tokens_out : 0;
  relay.dispatch.With([&](DispatchTable& table) {
    core::RecordDuration(table.durations[call.route->name], node::Now() - call.arrived, size);
  });
}

auto Handle(Relay& relay, const net::HttpRequest& request, const std::shared_ptr<Call>& call,
            net::Responder& responder) -> std::optional<RequestRefusal> {
  if (auto refused = Resolve(relay, request, *call)) return refused;
  relay.node.traces.With([&](node::TraceTable& table) {
    node::SetTraceTarget(table, call->id, call->service, call->workspace);
  });
  CountAsked(relay, *call);
  if (auto refused = RefuseStopping(relay, *call)) {
    CountRefused(relay, *call, refused->reason);
    return refused;
  }
  if (!request.admitted) {
    if (auto refused = RefuseBeyondIntake(relay, *call)) {
      CountRefused(relay, *call, refused->reason);
      return refused;
    }
    direct::RecordAdmission(ThisWorker(relay).intake, relay.policies.intake, node::Now());
  }
  CountTaken(relay, *call);
  WatchCaller(call, responder);
  auto refused = RunAttempts(relay, *call, request, responder);
  NoteDuration(relay, *call, refused);
  if (refused && call->held && !responder.HasBegun() && !call->caller_gone) {
    call->begun = true;
    RespondHeld(responder, *call->held);
    return std::nullopt;
  }
  if (refused && !responder.HasBegun()) CountRefused(relay, *call, refused->reason);
  return refused;
}

// Whether a caller's id can stand in log lines and in the target of a trace as it is.
auto IsPlain(std::string_view id) -> bool {
  constexpr std::size_t max_size = 64;
  return !id.empty() && id.size() <= max_size &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

auto Finish(Relay& relay, const Call& call, const std::optional<RequestRefusal>& refused,
            net::Responder& responder) -> void {
  node::RecordRequestEnd(relay.node, call.id, refused ? &*refused : nullptr);
  if (!refused) {
    relay.node.metrics.Count(Metric::requests, core::Name(Outcome::ran));
    telemetry::Log(Level::info, Event::request_finished,
                   {{"request", call.id},
                    {"workspace", call.workspace},
                    {"service", call.service},
                    {"peer", call.replica},
                    {"version", std::to_string(call.fleet->version)}});
  } else if (responder.HasBegun()) {
    node::LogTruncatedResponse(relay.node, call.id, call.workspace, *refused);
    responder.Abort();
  } else if (!call.caller_gone) {
    node::SendRefusal(relay.node, call.id, call.workspace, *refused, responder);
  }
}

auto ReadCall(Relay& relay, const net::HttpRequest& request, Call& call) -> void {
  call.head = relay.dialect.read_call(request);
  // The caller's own id, so that a complaint leads straight to the lines of the request.
  call.id = IsPlain(call.head.attempt) ? call.head.attempt : node::NextRequestId(relay.node);
  call.arrived = node::Now();
  call.fleet = CurrentFleet(relay);
}

}  // namespace

auto ScreenRequest(Relay& relay, const net::HttpRequest& head, bool full) -> net::ScreenResult {
  Call call;
  ReadCall(relay, head, call);
  if (Resolve(relay, head, call)) return {};
  const auto refused =
      full ? Refuse(Reason::overloaded, Step::allocate, "no memory is left for further connections",
                    relay.policies.intake.short_retry_delay)
           : RefuseBeyondIntake(relay, call);
  if (!refused) {
    direct::RecordAdmission(ThisWorker(relay).intake, relay.policies.intake, node::Now());
    return {.admitted = true};
  }
  CountAsked(relay, call);
  CountRefused(relay, call, refused->reason);
  return {.refusal = node::MakeRefusalResponse(relay.node, call.id, call.workspace, *refused)};
}

auto StopCalls(WorkerState& worker, node::StopScope scope) -> void {
  for (const auto& call : worker.calls) {
    if (call->begun && scope == node::StopScope::unanswered) continue;
    call->stopped = true;
    call->pending->changed.Notify();
    if (call->exchange) call->exchange->Cancel();
  }
}

auto HandleRequest(Relay& relay, const net::HttpRequest& request, net::Responder& responder)
    -> void {
  const node::InFlightGuard in_flight(relay.node.in_flight);
  const auto call = std::make_shared<Call>();
  const node::RegistrationGuard listed(ThisWorker(relay).calls, call);
  ReadCall(relay, request, *call);
  node::RecordEvent(relay.node, call->id, {.kind = node::TraceKind::arrived});
  try {
    Finish(relay, *call, Handle(relay, request, call, responder), responder);
  } catch (const core::Error& error) {
    if (call->exchange) call->exchange->Cancel();
    node::LogError(Level::debug, Event::answer_cut, error, call->id);
    node::RecordEvent(relay.node, call->id,
                      {.kind = node::TraceKind::ended,
                       .peer = error.Peer(),
                       .step = error.GetStep(),
                       .reason = Reason::answer_cut});
    responder.Abort();
  }
}

}  // namespace filbertstair::relay
