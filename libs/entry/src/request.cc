#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <charconv>

#include "filbertstair/core/error.h"
#include "filbertstair/core/rendezvous.h"
#include "filbertstair/document/calls.h"
#include "filbertstair/document/names.h"
#include "filbertstair/routing/choose.h"
#include "state.h"

namespace filbertstair::entry {
namespace {

using core::Outcome;
using core::Reason;
using core::Step;
using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Largest body that is searched for a `model` field; requests with larger bodies must name their
// service by host, path or header.
constexpr std::size_t kMaxModelBodyBytes = std::size_t{1} << 20;

// Delay after which a refused caller retries while this entry shuts down. Most of these refusals
// come after the load balancer has noticed the shutdown, so the retry reaches another entry.
constexpr core::Duration kStoppingRetryDelay = std::chrono::milliseconds(100);

auto ParseModelField(const net::HttpRequest& request) -> std::string {
  if (request.body.empty() || request.body.size() > kMaxModelBodyBytes) return {};
  if (net::FindHeader(request.headers, "Content-Type").find("json") == std::string_view::npos) {
    return {};
  }
  boost::system::error_code error;
  const auto value = boost::json::parse(request.body, error);
  if (error || !value.is_object()) return {};
  const auto* model = value.get_object().if_contains("model");
  return model != nullptr && model->is_string() ? std::string(model->get_string()) : "";
}

auto FindService(const node::Snapshot& snapshot, const net::HttpRequest& request)
    -> document::LookupResult {
  document::NameQuery query;
  query.host = net::FindHeader(request.headers, "Host");
  query.path = request.target;
  query.logical = net::FindHeader(request.headers, "X-Service");
  auto result = document::LookupService(snapshot.names, query);
  if (result.failure != Reason::unknown_service) return result;
  const auto model = ParseModelField(request);
  if (model.empty()) return result;
  query.model = model;
  return document::LookupService(snapshot.names, query);
}

auto FindWorkspace(const document::Service& service, std::string_view id)
    -> const document::Workspace* {
  for (const auto& workspace : service.workspaces) {
    if (workspace.id == id) return &workspace;
  }
  return nullptr;
}

auto MakeRefusal(Reason reason, Step step, std::string message) -> RequestRefusal {
  return {reason, Outcome::not_run, step, "", std::move(message)};
}

// Refuses a request that is not expected to finish before this process exits. `outcome` is the
// combined outcome of earlier attempts.
auto RefuseIfStopping(Entry& entry, const Call& call, Outcome outcome)
    -> std::optional<RequestRefusal> {
  if (!entry.node.draining && !call.stopped) return std::nullopt;
  const auto now = node::Now();
  core::RequestProfile profile;
  profile.objective = core::Duration(call.submit.cost_hint);
  profile.remaining = call.deadline - now;
  profile.size = static_cast<double>(call.submit.cost_hint);
  profile.call_class = call.call_class;
  const auto durations =
      entry.queue.With([&](QueueState& state) { return state.durations[call.service->name]; });
  if (!call.stopped && core::CanFinishBeforeExit(entry.drain, durations, profile, now,
                                                 node::ResponseStartDeadline(entry.node))) {
    return std::nullopt;
  }
  auto refused = MakeRefusal(Reason::draining, Step::queue,
                             "this entry is shutting down and the request may not finish in time");
  refused.retry_after = kStoppingRetryDelay;
  refused.outcome = outcome;
  // The HTTP status of `draining` guarantees that the request did not run.
  if (outcome != Outcome::not_run) refused.reason = Reason::connection_lost;
  return refused;
}

// Determines service, workspace and class of the request. Returns a refusal if one of them is
// unknown or the body is too large.
auto ResolveRequest(Entry& entry, const net::HttpRequest& request, Call& call)
    -> std::optional<RequestRefusal> {
  if (!call.snapshot->configured) {
    return MakeRefusal(Reason::no_configuration, Step::document,
                       "this entry has not received any configuration yet");
  }
  const auto found = FindService(*call.snapshot, request);
  if (found.failure) return MakeRefusal(*found.failure, Step::route, document::Describe(found));
  call.service = call.snapshot->services.at(found.service);
  const auto id = net::FindHeader(request.headers, "X-Workspace");
  const auto* workspace = FindWorkspace(*call.service, id);
  if (workspace == nullptr) {
    return MakeRefusal(Reason::unknown_workspace, Step::route,
                       "service " + call.service->name + " has no workspace \"" + std::string(id) +
                           "\" (header X-Workspace)");
  }
  call.workspace = *workspace;
  entry.node.traces.With([&](node::TraceTable& table) {
    node::SetTraceTarget(table, call.id, call.service->name, call.workspace.id);
  });
  if (request.body.size() > call.service->max_body_bytes) {
    return MakeRefusal(Reason::request_too_large, Step::route,
                       "body of " + std::to_string(request.body.size()) + " bytes; allowed " +
                           std::to_string(call.service->max_body_bytes));
  }
  call.call_class = document::ClassifyCall(*call.service, request.method, found.path);
  call.submit.target = found.path;
  call.deadline = call.arrived_at + call.service->timeouts.request;
  return std::nullopt;
}

// Parses the idempotency key of a call that must run at most once and determines the endpoint that
// owns the key.
auto ResolveKey(const net::HttpRequest& request, Call& call) -> std::optional<RequestRefusal> {
  const auto text = net::FindHeader(request.headers, "Idempotency-Key");
  if (text.empty() || call.call_class != core::CallClass::once) return std::nullopt;
  const auto issued_header = net::FindHeader(request.headers, "Idempotency-Issued");
  call.key = admission::ParseIdempotencyKey(
      text, issued_header.empty() ? std::nullopt : std::optional(issued_header));
  if (!call.key) {
    return MakeRefusal(Reason::invalid_idempotency_key, Step::route,
                       "Idempotency-Key must be a UUIDv7, or come with Idempotency-Issued in "
                       "milliseconds since 1970");
  }
  const auto ids = node::LiveEndpointIds(*call.snapshot, *call.service);
  const auto scoped_key =
      admission::ScopedKeyText(call.service->name, call.workspace.id, *call.key);
  const auto owner = core::RendezvousOwner(scoped_key, ids);
  if (owner == ids.size()) {
    return MakeRefusal(Reason::no_endpoint, Step::route, "the service has no live endpoint");
  }
  call.key_owner = ids[owner];
  return std::nullopt;
}

auto FillSubmit(const net::HttpRequest& request, Call& call) -> void {
  auto& submit = call.submit;
  submit.service = call.service->name;
  submit.workspace = call.workspace.id;
  submit.document_version = call.service->version;
  submit.call_class = call.call_class;
  if (call.key) {
    submit.key = call.key->text;
    submit.key_issued_ms =
        static_cast<std::uint64_t>(call.key->issued_at.time_since_epoch().count());
  }
  submit.method = request.method;
  submit.headers = request.headers;
  std::erase_if(submit.headers, [](const auto& header) {
    return header.first == "Connection" || header.first == "Transfer-Encoding" ||
           header.first == "Content-Length" || header.first == "Expect";
  });
  submit.headers.emplace_back("X-Request-Id", call.id);
  submit.body = request.body;
  submit.request_id = call.id;
  const auto hint = net::FindHeader(request.headers, "X-Cost-Hint-Ms");
  core::Cost milliseconds = 0;
  std::from_chars(hint.data(), hint.data() + hint.size(), milliseconds);
  submit.cost_hint = std::max<core::Cost>(0, milliseconds) * 1000;
}

auto ListEndpointViews(Entry& entry, const Call& call) -> std::vector<routing::EndpointView> {
  std::vector<routing::EndpointView> views;
  for (const auto* vm : node::LiveEndpoints(*call.snapshot, *call.service)) {
    if (call.key_owner.empty() || call.key_owner == vm->id) views.push_back({vm->id, vm->region});
  }
  entry.node.members.With([&](const membership::MemberTable& table) {
    for (auto& view : views) {
      view.usable = membership::StateOf(table, view.id) == membership::MemberState::live;
    }
  });
  return views;
}

// Chooses an endpoint with a free slot, unless requests of the workspace are already queued.
auto ChooseWithoutGrant(Entry& entry, const Call& call, const std::set<std::string>& tried)
    -> std::optional<AttemptTarget> {
  auto views = ListEndpointViews(entry, call);
  return entry.queue.With([&](QueueState& state) -> std::optional<AttemptTarget> {
    if (routing::HasUnownedRequests(state.queues, call.service->name, call.workspace.id)) {
      return std::nullopt;
    }
    for (auto& view : views) {
      const auto link = state.endpoints.find(view.id);
      view.usable = view.usable && link != state.endpoints.end() && !link->second.draining;
      if (view.usable) view.free_slots = link->second.free_slots;
    }
    const auto chosen = routing::ChooseEndpoint(views, entry.node.settings.region,
                                                entry.last_attempt_serial.load(), tried);
    if (!chosen) return std::nullopt;
    auto& link = state.endpoints.at(views[*chosen].id);
    --link.free_slots;
    return AttemptTarget{views[*chosen].id, 0, link.incarnation};
  });
}

// Result of acquiring an endpoint: a target or a refusal.
struct AcquireResult {
  std::optional<AttemptTarget> target;
  std::optional<RequestRefusal> refused;
};

// Returns a refusal if the owner of the call's key is unreachable or draining. No other process may
// run the call, so it would wait in vain.
auto CheckOwner(Entry& entry, const Call& call) -> std::optional<RequestRefusal> {
  if (call.key_owner.empty()) return std::nullopt;
  return entry.queue.With([&](const QueueState& state) -> std::optional<RequestRefusal> {
    const auto link = state.endpoints.find(call.key_owner);
    const std::string owner =
        "the endpoint process " + call.key_owner + ", which owns the idempotency key,";
    if (link == state.endpoints.end()) {
      return MakeRefusal(Reason::owner_unreachable, Step::connect, owner + " is not reachable");
    }
    if (link->second.draining) {
      return MakeRefusal(Reason::draining, Step::queue, owner + " is draining");
    }
    return std::nullopt;
  });
}

// Waits in the queue until an endpoint grants a slot, the queue timeout passes, or the call is
// cancelled.
auto WaitForGrant(Entry& entry, Call& call) -> AcquireResult {
  const auto deadline = std::min(call.deadline, node::Now() + call.service->timeouts.queue);
  const routing::QueueKey key{call.service->name, call.workspace.id, call.key_owner};
  call.waiting = std::make_shared<WaitingRequest>();
  const auto waiting = call.waiting;
  const auto enqueued = entry.queue.With([&](QueueState& state) {
    auto result = routing::Enqueue(state.queues, key, call.workspace.max_waiting, deadline);
    if (!result.refusal) state.waiting[result.id] = waiting;
    return result;
  });
  if (enqueued.refusal) {
    return {std::nullopt, MakeRefusal(*enqueued.refusal, Step::queue,
                                      "workspace " + call.workspace.id + " has " +
                                          std::to_string(call.workspace.max_waiting) +
                                          " requests waiting at this entry")};
  }
  NotifyDemandChange(entry);
  const auto target_of = [&](QueueState&) { return waiting->target; };
  std::optional<RequestRefusal> owner_refusal;
  while (!call.caller_disconnected && !call.stopped && !entry.queue.With(target_of) &&
         !owner_refusal && waiting->changed.WaitUntil(deadline)) {
    owner_refusal = CheckOwner(entry, call);
  }
  const auto target = entry.queue.With([&](QueueState& state) {
    routing::RemoveWaiter(state.queues, key, enqueued.id);
    state.waiting.erase(enqueued.id);
    return waiting->target;
  });
  NotifyDemandChange(entry);
  if (target && (call.caller_disconnected || call.stopped)) {
    const wire::GrantReturn unused{target->grant, target->granter, key.service, key.workspace};
    entry.queue.With([&](QueueState& state) { ReturnGrant(state, target->endpoint, unused); });
  }
  if (target) return {target, std::nullopt};
  if (owner_refusal) return {std::nullopt, owner_refusal};
  return {std::nullopt, MakeRefusal(Reason::deadline_exceeded, Step::queue,
                                    "no endpoint granted a slot before the queue timeout")};
}

auto AcquireTarget(Entry& entry, Call& call, const std::set<std::string>& tried, bool queue_only)
    -> AcquireResult {
  if (node::LiveEndpoints(*call.snapshot, *call.service).empty()) {
    return {std::nullopt,
            MakeRefusal(Reason::no_endpoint, Step::route, "the service has no live endpoint")};
  }
  if (const auto refused = CheckOwner(entry, call)) return {std::nullopt, refused};
  if (!queue_only) {
    if (auto target = ChooseWithoutGrant(entry, call, tried)) return {target, std::nullopt};
  }
  return WaitForGrant(entry, call);
}

auto ToRefused(const AttemptTarget& target, const AttemptFailure& failure) -> RequestRefusal {
  return {failure.failure.reason, failure.failure.outcome, failure.step, target.endpoint,
          failure.message};
}

auto LogRetry(Entry& entry, const Call& call, const AttemptTarget& target,
              const AttemptFailure& failure) -> void {
  const auto reason = core::Name(routing::ToRetryReason(failure.failure.reason));
  entry.node.metrics.Count(Metric::retries, reason);
  telemetry::Log(Level::info, Event::request_retried,
                 {{"request", call.id},
                  {"workspace", call.workspace.id},
                  {"step", core::Name(failure.step)},
                  {"peer", target.endpoint},
                  {"reason", reason},
                  {"error", failure.message}});
}

// Submits the request, with retries, until it is answered or fails for good. Returns the refusal in
// the latter case.
auto RunWithRetries(Entry& entry, Call& call, net::Responder& responder)
    -> std::optional<RequestRefusal> {
  std::set<std::string> tried;
  bool queue_only = false;
  std::uint32_t attempts = 0;
  auto outcome = Outcome::not_run;
  while (true) {
    if (auto refused = RefuseIfStopping(entry, call, outcome)) return refused;
    auto acquired = AcquireTarget(entry, call, tried, queue_only);
    if (call.caller_disconnected) {
      return MakeRefusal(Reason::withdrawn, Step::queue, "the caller closed its connection");
    }
    if (call.stopped) return RefuseIfStopping(entry, call, outcome);
    if (acquired.refused) {
      acquired.refused->outcome = routing::CombineOutcomes(outcome, acquired.refused->outcome);
      return acquired.refused;
    }
    const auto failure = RunAttempt(entry, call, *acquired.target, responder);
    if (!failure) return std::nullopt;
    outcome = routing::CombineOutcomes(outcome, failure->failure.outcome);
    // The endpoint process had no capacity and did no work, so this does not count as an attempt.
    queue_only = failure->failure.reason == Reason::no_room;
    if (!queue_only) ++attempts;
    const auto verdict = entry.queue.With([&](QueueState& state) {
      return routing::DecideRetry(state.retries, call.service->name, call.workspace.id,
                                  call.service->retries, call.call_class, attempts,
                                  failure->failure);
    });
    if (verdict != routing::RetryVerdict::retry || call.caller_disconnected || call.stopped) {
      auto refused = ToRefused(*acquired.target, *failure);
      refused.outcome = outcome;
      if (verdict == routing::RetryVerdict::budget_exhausted) {
        refused.message += "; the retry budget is exhausted";
        refused.reason = Reason::retry_budget_exhausted;
      }
      return refused;
    }
    LogRetry(entry, call, *acquired.target, *failure);
    if (queue_only) continue;
    tried.insert(acquired.target->endpoint);
    runtime::SleepFor(routing::Backoff(attempts, node::RandomFraction()));
  }
}

// Records the duration of a request that was answered or reached its deadline.
auto RecordRequestDuration(Entry& entry, const Call& call,
                           const std::optional<RequestRefusal>& refused) -> void {
  if (refused && (call.stopped || refused->reason != Reason::deadline_exceeded)) return;
  entry.queue.With([&](QueueState& state) {
    core::RecordDuration(state.durations[call.service->name], node::Now() - call.arrived_at,
                         static_cast<double>(call.submit.cost_hint));
  });
}

auto WatchCaller(const std::shared_ptr<Call>& call, net::Responder& responder) -> void {
  responder.OnCallerDisconnect([call] {
    call->caller_disconnected = true;
    call->waiting->changed.Notify();
    if (call->stream) call->stream->Reset();
  });
}

auto ProcessRequest(Entry& entry, const net::HttpRequest& request,
                    const std::shared_ptr<Call>& shared, net::Responder& responder)
    -> std::optional<RequestRefusal> {
  auto& call = *shared;
  if (auto refused = ResolveRequest(entry, request, call)) return refused;
  if (auto refused = ResolveKey(request, call)) return refused;
  FillSubmit(request, call);
  entry.queue.With([&](QueueState& state) {
    routing::RecordFirstAttempt(state.retries, call.service->name, call.workspace.id,
                                call.service->retries);
  });
  WatchCaller(shared, responder);
  auto refused = RunWithRetries(entry, call, responder);
  RecordRequestDuration(entry, call, refused);
  return refused;
}

}  // namespace

auto CancelWorkerRequests(WorkerState& worker, node::StopScope scope) -> void {
  for (const auto& call : worker.calls) {
    if (call->response_started && scope == node::StopScope::unanswered) continue;
    call->stopped = true;
    call->waiting->changed.Notify();
    if (call->stream) call->stream->Reset();
  }
}

auto HandleRequest(Entry& entry, const net::HttpRequest& request, net::Responder& responder)
    -> void {
  const auto shared = std::make_shared<Call>();
  const node::RegistrationGuard listed(entry.workers[runtime::WorkerIndex()].calls, shared);
  auto& call = *shared;
  call.id = node::NextRequestId(entry.node);
  call.arrived_at = node::Now();
  call.snapshot = node::CurrentSnapshot(entry.node);
  entry.node.metrics.Observe(Metric::unread_wait, request.unread_wait);
  node::RecordEvent(entry.node, call.id, {.kind = node::TraceKind::arrived});
  try {
    const auto refused = ProcessRequest(entry, request, shared, responder);
    node::RecordRequestEnd(entry.node, call.id, refused ? &*refused : nullptr);
    if (!refused) {
      entry.node.metrics.Count(Metric::requests, core::Name(Outcome::ran));
      telemetry::Log(Level::debug, Event::request_finished,
                     {{"request", call.id}, {"workspace", call.workspace.id}});
    } else if (responder.HasBegun()) {
      node::LogTruncatedResponse(entry.node, call.id, call.workspace.id, *refused);
      responder.Abort();
    } else if (!call.caller_disconnected) {
      node::SendRefusal(entry.node, call.id, call.workspace.id, *refused, responder);
    }
  } catch (const core::Error& error) {
    if (call.stream) call.stream->Reset();
    node::LogError(Level::debug, Event::answer_cut, error, call.id);
    node::RecordEvent(entry.node, call.id,
                      {.kind = node::TraceKind::ended,
                       .peer = error.Peer(),
                       .step = error.GetStep(),
                       .reason = Reason::answer_cut});
    responder.Abort();
  }
}

}  // namespace filbertstair::entry
