#include <algorithm>
#include <cctype>
#include <functional>

#include "filbertstair/core/error.h"
#include "filbertstair/core/hex.h"
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

// Fraction of a request's latency objective that it may wait for a replica. Beyond it the response
// would be late anyway, and the caller learns at once that it may retry.
constexpr double kMaxQueueShare = 0.4;
// Replicas that may fail to accept a connection before the request is refused.
constexpr int kMaxUnreached = 3;
// Interval at which a successor is looked for while a replica stays silent.
constexpr core::Duration kSuccessorRetryInterval = std::chrono::milliseconds(250);
// Retry delay for callers of an entry that has no configuration, or a stale one.
constexpr core::Duration kUnconfiguredRetryDelay = std::chrono::milliseconds(500);

// Interval at which the max-min shares of admitted service are recomputed, the same as that of the
// timer delay.
constexpr core::Duration kShareRefreshInterval = std::chrono::milliseconds(50);
// Retry delay for callers of an entry that is being stopped, which then reach another entry. The
// balancer knows of the stop by the time most of these refusals are given.
constexpr core::Duration kDrainRetryDelay = std::chrono::milliseconds(100);

// Minimum retry delay for callers that come back when a replica reopens.
constexpr core::Duration kMinReopenRetryDelay = std::chrono::milliseconds(50);

auto MakeRefusal(Reason reason, Step step, std::string message,
                 core::Duration retry_after = std::chrono::seconds(1)) -> RequestRefusal {
  return {reason, Outcome::not_run, step, "", std::move(message), retry_after};
}

auto RefuseStaleConfiguration(const Call& call) -> RequestRefusal {
  return MakeRefusal(
      Reason::stale_configuration, Step::document,
      "version " + std::to_string(call.fleet->version) + " was not confirmed in time",
      kUnconfiguredRetryDelay);
}

// Finds the workspace that owns the request's credential.
auto Authorize(Relay& relay, const Call& call, std::string& workspace)
    -> std::optional<RequestRefusal> {
  if (call.route->is_public || !call.fleet->requires_credential) return std::nullopt;
  if (!HasCurrentFleet(relay)) return RefuseStaleConfiguration(call);
  const auto* owner = direct::FindWorkspace(*call.fleet, call.head.credential);
  if (owner == nullptr) {
    return MakeRefusal(
        Reason::unknown_credential, Step::route,
        "no workspace holds the credential in version " + std::to_string(call.fleet->version));
  }
  workspace = *owner;
  return std::nullopt;
}

// Returns the max-min share of the service that this entry admits. Scanning all workspaces for each
// request would add to the overload.
auto AdmissionShareOf(Relay& relay, DispatchTable& table, const std::string& service,
                      core::Time now) -> double {
  auto& share = table.shares[service];
  if (now >= share.valid_until) {
    share = {direct::AdmissionShare(table.queues[service], relay.policies.queue, now),
             now + kShareRefreshInterval};
  }
  return share.service;
}

auto RefuseOverloaded(const WorkerState& worker, const std::string& detail,
                      core::Duration retry_after) -> RequestRefusal {
  return MakeRefusal(
      Reason::overloaded, Step::queue,
      "timers run late by " + std::to_string(worker.overload.mean_delay.count()) + " us" + detail,
      retry_after);
}

// Returns a uniform sample from [0, 1) that is the same for the same request.
auto UniformSampleOf(const Call& call) -> double {
  constexpr std::size_t steps = 1000;
  return static_cast<double>(std::hash<std::string>()(call.head.request_id) % steps) / steps;
}

// Service that a workspace recently requested from this entry and was admitted for, and its max-min
// share.
struct AdmissionUse {
  double requested_service = 0;
  double admitted_service = 0;
  double share = 0;
};

auto FindAdmissionUse(Relay& relay, const Call& call, core::Time now) -> AdmissionUse {
  return relay.dispatch.With([&](DispatchTable& table) {
    const auto& account = table.queues[call.service].accounts[call.workspace];
    return AdmissionUse{direct::RecentService(account.requested, relay.policies.queue, now),
                        direct::RecentService(account.admitted, relay.policies.queue, now),
                        AdmissionShareOf(relay, table, call.service, now)};
  });
}

// Refuses a request that exceeds the admission rate of this entry.
auto RefuseBeyondRate(Relay& relay, Call& call) -> std::optional<RequestRefusal> {
  auto& worker = ThisWorker(relay);
  const auto& policy = relay.policies.admission;
  const auto now = node::Now();
  if (relay.capacity_varies && call.head.prompt) {
    call.admission_cost =
        direct::RecordOutput(worker.limiter, policy, call.head.prompt->tokens_out);
  }
  if (direct::IsStalled(worker.overload, relay.policies.overload)) {
    return RefuseOverloaded(worker, "", policy.short_retry_delay);
  }
  if (!direct::IsRateLimited(worker.limiter, policy, now)) return std::nullopt;
  const auto use = FindAdmissionUse(relay, call, now);
  const auto share_class = direct::ClassifyShare(policy, use.admitted_service, use.share);
  if (direct::MayAdmit(worker.limiter, policy, share_class, now, call.admission_cost)) {
    return std::nullopt;
  }
  return RefuseOverloaded(
      worker, "; the workspace is " + std::string(core::Name(share_class)) + " its share",
      direct::ChooseRetryDelay(policy, use.requested_service, use.share, UniformSampleOf(call)));
}

auto EstimateCost(const RequestHead& head) -> double {
  if (!head.prompt) return 1;
  // A generated token counts twice.
  return head.prompt->tokens_in + 2.0 * head.prompt->tokens_out;
}

auto RecordAdmission(Relay& relay, const Call& call) -> void {
  direct::RecordAdmission(ThisWorker(relay).limiter, relay.policies.admission, node::Now(),
                          call.admission_cost);
}

// Refuses a request that would be truncated by the exit of this process.
auto RefuseIfDraining(Relay& relay, const Call& call) -> std::optional<RequestRefusal> {
  if (!relay.node.draining && !call.stopped) return std::nullopt;
  const auto now = node::Now();
  core::RequestProfile profile;
  // The latency objective of a stream says nothing about its end.
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
  return MakeRefusal(Reason::draining, Step::queue,
                     "this entry is shutting down and would truncate the request",
                     kDrainRetryDelay);
}

// Refuses a request whose time had passed before it was read. The reason is one whose status
// promises that the request did not run.
auto RefuseExpired(const Call& call) -> std::optional<RequestRefusal> {
  if (node::Now() < call.deadline) return std::nullopt;
  return MakeRefusal(Reason::overloaded, Step::read,
                     "the time of the request had passed when it was read");
}

// Refuses a request whose prompt would crash a replica.
auto RefuseQuarantined(Relay& relay, const Call& call) -> std::optional<RequestRefusal> {
  const auto quarantine = FindQuarantine(relay, call);
  if (!quarantine) return std::nullopt;
  return MakeRefusal(Reason::prompt_quarantined, Step::queue,
                     std::to_string(quarantine->crashes) + " replicas crashed under block " +
                         core::FormatHex(quarantine->block) + " of the prompt",
                     quarantine->until - node::Now());
}

// Refuses a request that must not be sent to any replica, however much capacity there is.
auto RefuseOnArrival(Relay& relay, const Call& call) -> std::optional<RequestRefusal> {
  if (auto refused = RefuseExpired(call)) return refused;
  if (auto refused = RefuseIfDraining(relay, call)) return refused;
  return RefuseQuarantined(relay, call);
}

auto ResolveRequest(Relay& relay, const net::HttpRequest& request, Call& call)
    -> std::optional<RequestRefusal> {
  if (call.fleet == nullptr) {
    return MakeRefusal(Reason::no_configuration, Step::document,
                       "no configuration has been accepted yet", kUnconfiguredRetryDelay);
  }
  if (call.head.request_id.empty()) {
    return MakeRefusal(Reason::malformed_request, Step::read, "the request has no id");
  }
  call.route =
      direct::FindRoute(*call.fleet, net::FindHeader(request.headers, "Host"), request.target);
  if (call.route == nullptr) {
    // A newer version may have the route.
    if (!HasCurrentFleet(relay)) return RefuseStaleConfiguration(call);
    return MakeRefusal(
        Reason::unknown_service, Step::route,
        "no route for the host and path in version " + std::to_string(call.fleet->version));
  }
  if (auto refused = Authorize(relay, call, call.workspace)) return refused;
  call.residency = direct::FindResidency(*call.fleet, *call.route, call.workspace);
  call.service = direct::PickService(*call.route, std::hash<std::string>()(call.head.request_id));
  call.cost = EstimateCost(call.head);
  call.deadline = call.began_at +
                  std::min(call.route->timeout, call.head.remaining.value_or(call.route->timeout));
  return std::nullopt;
}

auto ToRetryReason(const Failure& failure) -> core::RetryReason {
  if (!failure.reached_replica) return core::RetryReason::unreachable;
  if (failure.outcome == Outcome::not_run) return core::RetryReason::no_room;
  if (failure.reason == Reason::engine_error) return core::RetryReason::engine_error;
  return core::RetryReason::connection_lost;
}

// Releases the assignment, if there is one, at the end of its scope, also after an exception.
struct AssignmentGuard {
  ~AssignmentGuard() {
    if (this->assignment) ReleaseAssignment(this->relay, *this->assignment);
  }
  Relay& relay;
  std::optional<Assignment>& assignment;
};

// Progress of a request over its attempts.
struct RequestProgress {
  int unreached = 0;
  bool may_have_run = false;
  std::optional<Failure> last;
};

auto DescribeWait(const Call& call) -> std::string {
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(node::Now() - call.arrived);
  return "no replica had free capacity within " + std::to_string(waited.count()) + " ms; " +
         std::to_string(call.pending->queued_ahead) +
         " requests of the service were queued on arrival";
}

auto ToRefused(Relay& relay, const RequestProgress& progress, const Call& call) -> RequestRefusal {
  RequestRefusal refused;
  refused.peer = call.replica;
  refused.retry_after = call.route->latency_objective;
  const auto reopens_at = relay.dispatch.With([&](const DispatchTable& table) {
    return direct::FindReopening(table.replicas, relay.origin, call.service, call.residency,
                                 node::Now());
  });
  if (progress.last) {
    refused.reason = progress.last->reason;
    refused.step = progress.last->step;
    refused.message = progress.last->message;
  } else {
    const bool has_replica = reopens_at || !call.pending->unassignable;
    refused.reason = has_replica ? Reason::no_room : Reason::no_endpoint;
    refused.step = Step::queue;
    refused.message = "the service has no usable replica";
    if (has_replica) refused.message = DescribeWait(call);
    if (reopens_at) refused.message = "all replicas of the service have asked for no requests now";
    if (direct::IsRestricted(call.residency)) {
      refused.reason = Reason::no_allowed_region;
      refused.message += "; the request may be served in some regions only";
    }
  }
#ifdef FILBERTSTAIR_BROKEN_unknown_outcome
  const bool may_have_run = false;
#else
  const bool may_have_run = progress.may_have_run;
#endif
  refused.outcome = may_have_run ? Outcome::unknown : Outcome::not_run;
  // A status that promises that the request did not run is sent if and only if that is certain.
  const bool promises_not_run = core::HttpStatus(refused.reason) == 503;
  if (promises_not_run && may_have_run) refused.reason = Reason::connection_lost;
  if (!promises_not_run && !may_have_run) refused.reason = Reason::no_room;
  if (reopens_at) {
    const auto wait = std::max(*reopens_at - node::Now(), kMinReopenRetryDelay);
    const auto spread = relay.capacity_varies ? call.route->latency_objective : core::Duration{};
    refused.retry_after = direct::ReopenRetryDelay(wait, spread, UniformSampleOf(call));
  }
  if (refused.reason == Reason::draining) refused.retry_after = kDrainRetryDelay;
  return refused;
}

// Returns whether the request may be sent to another replica after the failure.
auto CanRetryAfter(Relay& relay, const Call& call, const RequestProgress& progress,
                   const Failure& failure) -> bool {
  if (call.caller_disconnected || call.stopped || node::Now() >= call.deadline) return false;
  if (progress.unreached >= kMaxUnreached || failure.reason == Reason::overloaded) return false;
  if (!failure.reached_replica) return true;
  if (failure.crashed_replica && !MayRetryAfterCrash(relay, call)) return false;
#ifdef FILBERTSTAIR_BROKEN_run_once
  return !call.response_started && call.tried.size() < 2;
#endif
  if (call.tried.size() >= call.route->attempts) return false;
  if (call.response_started && !(call.route->streaming && call.route->resumable)) return false;
  return failure.outcome == Outcome::not_run || direct::IsRetryable(*call.route);
}

auto ConsumeRetryBudget(Relay& relay, const Call& call) -> bool {
  const auto entries = CountEntries(relay);
  const bool consumed = relay.dispatch.With([&](DispatchTable& table) {
    return direct::TryConsumeRetry(FindOrAddBudget(relay, table, call.service),
                                   relay.policies.budget, entries, node::Now());
  });
  if (!consumed) relay.node.metrics.Count(Metric::retry_budget_refusals, call.service);
  return consumed;
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
  const auto max_wait =
      std::chrono::duration_cast<core::Duration>(call.route->latency_objective * kMaxQueueShare);
  return std::min(call.deadline, (first ? call.arrived : node::Now()) + max_wait);
}

// Returns whether the request may be sent to another replica at this moment.
auto MayMove(Relay& relay, const Call& call) -> bool {
  if (call.caller_disconnected || call.stopped || node::Now() >= call.deadline) return false;
  return !RefuseIfDraining(relay, call) && !RefuseQuarantined(relay, call);
}

// Attempts the request until the caller has a response or no attempt remains.
auto RunAttempts(Relay& relay, Call& call, const net::HttpRequest& request,
                 net::Responder& responder) -> std::optional<RequestRefusal> {
  RequestProgress progress;
  const AssignmentGuard successor_guard{relay, call.successor};
  while (true) {
    // A successor comes with a retry.
    const bool has_retry = call.successor.has_value();
    auto assignment = has_retry
                          ? std::exchange(call.successor, std::nullopt)
                          : AcquireReplica(relay, call, QueueDeadline(call, call.tried.empty()));
    const AssignmentGuard assignment_guard{relay, assignment};
    if (call.caller_disconnected) {
      return MakeRefusal(Reason::withdrawn, Step::queue, "the caller closed its connection");
    }
    if (auto refused = RefuseIfDraining(relay, call)) {
      return progress.last ? ToRefused(relay, progress, call) : refused;
    }
    if (auto refused = RefuseQuarantined(relay, call)) {
      return progress.may_have_run ? ToRefused(relay, progress, call) : refused;
    }
    if (!assignment) {
      // A failed attempt that did not run the request does not say why no further one was made.
      const bool restricted = direct::IsRestricted(call.residency);
      if (restricted && !progress.may_have_run) progress.last.reset();
      return ToRefused(relay, progress, call);
    }
    if (!call.tried.empty() && !has_retry && !ConsumeRetryBudget(relay, call)) {
      if (progress.last) progress.last->message += "; the retry budget is exhausted";
      return ToRefused(relay, progress, call);
    }
    if (call.tried.empty()) {
      relay.node.metrics.Observe(Metric::queue_wait, node::Now() - call.arrived);
    }
    call.replica = assignment->replica;
    auto failure = RunAttempt(relay, call, request, *assignment, responder);
    if (!failure) return std::nullopt;
    node::RecordEvent(relay.node, call.id,
                      {.kind = node::TraceKind::failed,
                       .peer = assignment->replica,
                       .step = failure->step,
                       .outcome = failure->outcome,
                       .reason = failure->reason});
    if (failure->reached_replica) {
      call.tried.insert(assignment->replica);
    } else {
      ++progress.unreached;
    }
    progress.may_have_run = progress.may_have_run || failure->outcome != Outcome::not_run;
    progress.last = failure;
    if (!CanRetryAfter(relay, call, progress, *failure)) return ToRefused(relay, progress, call);
    LogRetry(relay, call, *assignment, *failure);
  }
}

auto WatchCaller(const std::shared_ptr<Call>& call, net::Responder& responder) -> void {
  responder.OnCallerDisconnect([call] {
    call->caller_disconnected = true;
    call->pending->changed.Notify();
    if (call->exchange) call->exchange->Cancel();
  });
}

// Records the duration of a request that was answered or reached its deadline.
auto RecordRequestDuration(Relay& relay, const Call& call,
                           const std::optional<RequestRefusal>& refused) -> void {
  if (refused && (call.stopped || refused->reason != Reason::deadline_exceeded)) return;
  const double size = call.head.prompt ? call.head.prompt->tokens_out : 0;
  relay.dispatch.With([&](DispatchTable& table) {
    core::RecordDuration(table.durations[call.route->name], node::Now() - call.arrived, size);
  });
}

auto HandleCall(Relay& relay, const net::HttpRequest& request, const std::shared_ptr<Call>& call,
                net::Responder& responder) -> std::optional<RequestRefusal> {
  if (auto refused = ResolveRequest(relay, request, *call)) return refused;
  relay.node.traces.With([&](node::TraceTable& table) {
    node::SetTraceTarget(table, call->id, call->service, call->workspace);
  });
  CountArrival(relay, *call);
  if (auto refused = RefuseOnArrival(relay, *call)) {
    CountRefusal(relay, *call, refused->reason);
    return refused;
  }
  if (!request.admitted) {
    if (auto refused = RefuseBeyondRate(relay, *call)) {
      CountRefusal(relay, *call, refused->reason);
      return refused;
    }
    RecordAdmission(relay, *call);
  }
  CountAdmission(relay, *call);
  WatchCaller(call, responder);
  auto refused = RunAttempts(relay, *call, request, responder);
  RecordRequestDuration(relay, *call, refused);
  if (refused && call->buffered && !responder.HasBegun() && !call->caller_disconnected) {
    call->response_started = true;
    SendBufferedResponse(responder, *call->buffered);
    return std::nullopt;
  }
  if (refused && !responder.HasBegun()) CountRefusal(relay, *call, refused->reason);
  return refused;
}

// Returns whether a caller's request id can be used unchanged in log lines and in the path of a
// trace.
auto IsSafeId(std::string_view id) -> bool {
  constexpr std::size_t max_size = 64;
  return !id.empty() && id.size() <= max_size &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

auto FinishCall(Relay& relay, const Call& call, const std::optional<RequestRefusal>& refused,
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
  } else if (!call.caller_disconnected) {
    node::SendRefusal(relay.node, call.id, call.workspace, *refused, responder);
  }
}

auto ParseCall(Relay& relay, const net::HttpRequest& request, Call& call) -> void {
  call.head = relay.dialect.parse_request(request);
  // Uses the caller's own id, so that a reported problem can be matched to the log lines of the
  // request.
  call.id = IsSafeId(call.head.request_id) ? call.head.request_id : node::NextRequestId(relay.node);
  call.arrived = node::Now();
  call.began_at = request.began_at == core::Time{} ? call.arrived : request.began_at;
  call.fleet = CurrentFleet(relay);
}

}  // namespace

auto ScreenRequest(Relay& relay, const net::HttpRequest& head, bool full) -> net::ScreenResult {
  Call call;
  ParseCall(relay, head, call);
  const bool resolved = !ResolveRequest(relay, head, call);
  if (!resolved && !full) return {};
  const auto refused =
      full ? MakeRefusal(Reason::overloaded, Step::allocate, "no memory for further connections",
                         relay.policies.admission.short_retry_delay)
           : RefuseBeyondRate(relay, call);
  if (!refused) {
    RecordAdmission(relay, call);
    return {.admitted = true};
  }
  if (resolved) {
    CountArrival(relay, call);
    CountRefusal(relay, call, refused->reason);
  }
  return {.refusal = node::MakeRefusalResponse(relay.node, call.id, call.workspace, *refused)};
}

auto CheckHead(Relay& relay, const net::HttpRequest& head) -> net::ScreenResult {
  Call call;
  ParseCall(relay, head, call);
  auto refused = ResolveRequest(relay, head, call);
  const bool resolved = !refused;
  if (!refused) refused = RefuseOnArrival(relay, call);
  if (!refused) refused = RefuseBeyondRate(relay, call);
  if (!refused) {
    RecordAdmission(relay, call);
    return {.admitted = true};
  }
  if (resolved) {
    CountArrival(relay, call);
    CountRefusal(relay, call, refused->reason);
  }
  node::RecordEvent(relay.node, call.id, {.kind = node::TraceKind::arrived});
  node::RecordRequestEnd(relay.node, call.id, &*refused);
  return {.refusal = node::MakeRefusalResponse(relay.node, call.id, call.workspace, *refused)};
}

auto EndSilentAttempts(Relay& relay) -> void {
  const auto now = node::Now();
  for (const auto& call : ThisWorker(relay).calls) {
    if (now < call->silent_at) continue;
    // After this VM was suspended or busy, what has arrived meanwhile is read before the next look.
    if (!std::exchange(call->seen_silent, true)) continue;
    if (!std::exchange(call->silence_counted, true)) {
      CountFailure(relay, *call, direct::ReplicaFault::bad_answer);
    }
    if (MayMove(relay, *call)) call->successor = AssignSuccessor(relay, *call);
    if (call->successor) {
      call->silent_at = core::Time::max();
      call->exchange->Cancel();
    } else {
      call->silent_at = now + kSuccessorRetryInterval;
      call->seen_silent = false;
    }
  }
}

auto StopCalls(WorkerState& worker, node::StopScope scope) -> void {
  for (const auto& call : worker.calls) {
    if (call->response_started && scope == node::StopScope::unanswered) continue;
    call->stopped = true;
    call->pending->changed.Notify();
    if (call->exchange) call->exchange->Cancel();
  }
}

auto HandleRequest(Relay& relay, const net::HttpRequest& request, net::Responder& responder)
    -> void {
  const auto call = std::make_shared<Call>();
  const node::RegistrationGuard listed(ThisWorker(relay).calls, call);
  ParseCall(relay, request, *call);
  relay.node.metrics.Observe(Metric::unread_wait, request.unread_wait);
  node::RecordEvent(relay.node, call->id, {.kind = node::TraceKind::arrived});
  try {
    FinishCall(relay, *call, HandleCall(relay, request, call, responder), responder);
  } catch (const core::Error& error) {
    if (call->exchange) call->exchange->Cancel();
    node::LogError(Level::debug, Event::answer_cut, error, call->id);
    node::RecordEvent(relay.node, call->id,
                      {.kind = node::TraceKind::ended,
                       .peer = error.Peer(),
                       .step = error.GetStep(),
                       .reason = Reason::answer_cut});
    responder.Abort();
  } catch (const std::exception& error) {
    // A fault of this program, or memory that was refused: a replica may have run the request.
    if (call->exchange) call->exchange->Cancel();
    node::LogError(Level::error, Event::internal_error, error, call->id);
    FinishCall(relay, *call,
               RequestRefusal{Reason::connection_lost, Outcome::unknown, Step::respond, "",
                              "the request failed unexpectedly", std::chrono::seconds(1)},
               responder);
  }
}

}  // namespace filbertstair::relay
