#include "filbertstair/wire/request.h"

#include <utility>

#include "filbertstair/core/error.h"
#include "state.h"

namespace filbertstair::endpoint {
namespace {

using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

constexpr std::chrono::milliseconds kConnectTimeout{2000};
// Idle timeout for services without a document in the current configuration.
constexpr core::Duration kDefaultIdleTimeout = std::chrono::seconds(60);

// A request that the endpoint process handles.
struct Call {
  wire::Submit submit;
  std::shared_ptr<net::Stream> stream;
  std::shared_ptr<PendingRequest> pending = std::make_shared<PendingRequest>();
  shares::ChargeId charge = 0;
  core::Time started_at{};
};

auto SendMessage(net::Stream& stream, const wire::RequestMessage& message) -> void {
  stream.Send(wire::Encode(message));
}

auto ToSubmission(const wire::Submit& submit) -> admission::Submission {
  admission::Submission out;
  out.attempt = submit.attempt;
  out.endpoint = submit.endpoint;
  out.grant = submit.grant;
  out.service = submit.service;
  out.workspace = submit.workspace;
  out.deadline = node::Now() + submit.remaining;
  if (!submit.key.empty()) {
    const std::chrono::milliseconds issued(static_cast<std::int64_t>(submit.key_issued_ms));
    out.key = admission::IdempotencyKey{submit.key, admission::WallTime(issued)};
  }
  return out;
}

auto ChargeWithoutGrant(Endpoint& endpoint, AdmissionTable& table, const wire::Submit& submit)
    -> shares::ChargeId {
  const auto charge = ++table.last_charge;
  endpoint.shares.With([&](shares::ShareTable& shares) {
    const auto workspace =
        shares::InternWorkspace(shares, AccountName(submit.service, submit.workspace));
    const auto service = shares::InternService(shares, submit.service);
    const auto hint = submit.cost_hint > 0 ? std::optional(submit.cost_hint) : std::nullopt;
    const auto estimate = shares::EstimateCost(shares, workspace, service, hint);
    shares::AddCharge(shares, charge, workspace, service, estimate);
  });
  return charge;
}

// Removes the charge of the submission's grant from the table and returns it, or 0 if there is
// none. Updates the round trip of the entry's grants.
auto ClaimGrantCharge(AdmissionTable& table, const wire::Submit& submit) -> shares::ChargeId {
  const auto found = table.grant_charges.find(submit.grant);
  if (found == table.grant_charges.end()) return 0;
  const auto [issued, charge] = found->second;
  table.grant_charges.erase(found);
  const auto link = table.entries.find(submit.attempt.entry);
  if (link != table.entries.end()) {
    // Moving average over about eight grants, so that one late Submit does not raise the allowance.
    link->second.round_trip += (node::Now() - issued - link->second.round_trip) / 8;
  }
  return charge;
}

auto AdmitCall(Endpoint& endpoint, Call& call) -> admission::Decision {
  return endpoint.admission.With([&](AdmissionTable& table) {
    if (!call.submit.key.empty()) UpdateContact(table, false);
    const auto decision = admission::AdmitSubmission(table.admission, table.policy,
                                                     ToSubmission(call.submit), ReadClocks());
    const auto charge = ClaimGrantCharge(table, call.submit);
    if (decision.verdict == admission::Verdict::refused) {
      if (charge != 0) {
        endpoint.shares.With(
            [&](shares::ShareTable& shares) { shares::RefundCharge(shares, charge); });
      }
      return decision;
    }
    call.charge = charge != 0 ? charge : ChargeWithoutGrant(endpoint, table, call.submit);
    ObserveInFlight(table);
    if (decision.verdict == admission::Verdict::staged) {
      table.pending[call.submit.attempt] = call.pending;
    }
    return decision;
  });
}

// Adds an event to the trace of the request.
auto RecordTraceEvent(Endpoint& endpoint, const Call& call, node::TraceEvent event) -> void {
  node::RecordEvent(endpoint.node, call.submit.request_id, std::move(event));
}

// Adds the admission verdict to the trace, with the service and workspace of the request.
auto RecordVerdict(Endpoint& endpoint, const Call& call, node::TraceEvent event) -> void {
  const auto& submit = call.submit;
  event.peer = submit.attempt.entry;
  RecordTraceEvent(endpoint, call, std::move(event));
  endpoint.node.traces.With([&](node::TraceTable& table) {
    node::SetTraceTarget(table, submit.request_id, submit.service, submit.workspace);
  });
}

auto RefuseCall(Endpoint& endpoint, Call& call, core::Reason reason, core::Outcome status) -> void {
  endpoint.node.metrics.Count(Metric::refusals, core::Name(reason));
  RecordVerdict(endpoint, call,
                {.kind = node::TraceKind::refused, .outcome = status, .reason = reason});
  SendMessage(*call.stream, wire::Verdict{false, reason, status});
  call.stream->Finish();
}

// Ends an admitted request: frees its slot for the next one, settles its charge and returns its
// cost in microseconds.
auto FinishCall(Endpoint& endpoint, const Call& call, core::Outcome outcome) -> core::Cost {
  const auto now = node::Now();
  const bool ran = call.started_at != core::Time{};
  const core::Cost cost = ran ? (now - call.started_at).count() : 0;
  endpoint.admission.With([&](AdmissionTable& table) {
    table.pending.erase(call.submit.attempt);
    admission::FinishAttempt(table.admission, table.policy, call.submit.attempt, outcome,
                             ReadClocks());
    if (ran) {
      admission::ObserveCompletion(table.completions, now);
      admission::ObserveWork(table.limit, 1);
    }
    endpoint.shares.With([&](shares::ShareTable& shares) {
      if (ran) {
        shares::SettleCharge(shares, call.charge, cost);
      } else {
        shares::RefundCharge(shares, call.charge);
      }
    });
    StartStagedRequests(table);
    ObserveInFlight(table);
  });
  endpoint.node.metrics.Count(Metric::service_time, call.submit.workspace,
                              static_cast<double>(cost) * 1e-6);
  DispatchGrants(endpoint);
  NotifyLoadChange(endpoint);
  return cost;
}

// Waits until the staged request gets a slot. Returns false if it expired or was cancelled first.
auto WaitForSlot(Endpoint& endpoint, Call& call) -> bool {
  auto& pending = *call.pending;
  const auto is_resolved = [&] {
    return pending.started || pending.expired || pending.cancelled || pending.closed ||
           pending.stopped;
  };
  while (!is_resolved()) pending.changed.Wait();
  if (pending.started) return true;
  if (!pending.expired) {
    endpoint.admission.With([&](AdmissionTable& table) {
      admission::WithdrawSubmission(table.admission, table.policy, call.submit.attempt,
                                    call.submit.endpoint, ReadClocks());
    });
  }
  return false;
}

// Returns why a staged request got no slot.
auto ReasonWithoutSlot(const PendingRequest& pending) -> core::Reason {
  if (pending.stopped) return core::Reason::draining;
  return pending.closed ? core::Reason::no_room : core::Reason::deadline_exceeded;
}

auto ToHttpRequest(const wire::Submit& submit) -> net::HttpRequest {
  net::HttpRequest request;
  request.method = submit.method;
  request.target = submit.target;
  request.headers = submit.headers;
  request.body = submit.body;
  return request;
}

auto IdleTimeout(Endpoint& endpoint, const std::string& service) -> std::chrono::milliseconds {
  const auto snapshot = node::CurrentSnapshot(endpoint.node);
  const auto found = snapshot->services.find(service);
  const auto idle =
      found == snapshot->services.end() ? kDefaultIdleTimeout : found->second->timeouts.idle;
  return std::chrono::duration_cast<std::chrono::milliseconds>(idle);
}

// Sends the request to the replica and streams the response to the entry as it arrives.
// Returns false if the replica refused the request without running it.
auto RelayResponse(Endpoint& endpoint, Call& call, net::HttpExchange& exchange) -> bool {
  if (call.pending->stopped) {
    throw core::Error(core::Step::connect, call.stream->Peer(),
                      "the endpoint process was stopped before the request was sent");
  }
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.submit.remaining);
  const auto idle = IdleTimeout(endpoint, call.submit.service);
  const auto response = exchange.StartRequest(
      settings::FormatAddress(endpoint.node.settings.replica), ToHttpRequest(call.submit),
      std::min(kConnectTimeout, remaining), remaining);
  const auto word = ReadReplicaWord(response);
  ApplyReplicaWord(endpoint, word);
  if (word.refused) return false;
  call.pending->response_started = true;
  SendMessage(*call.stream, wire::Head{response.status, response.headers});
  for (auto chunk = exchange.ReadBody(idle); !chunk.empty(); chunk = exchange.ReadBody(idle)) {
    SendMessage(*call.stream, wire::Chunk{std::move(chunk)});
  }
  return true;
}

auto OutcomeOf(net::Progress progress) -> core::Outcome {
  switch (progress) {
    case net::Progress::not_sent:
      return core::Outcome::not_run;
    case net::Progress::sent:
      return core::Outcome::unknown;
    case net::Progress::head_received:
      break;
  }
  return core::Outcome::ran;
}

// Returns the failure reason of a request that was cancelled by the shutdown. The HTTP status of
// `draining` guarantees that the request did not run.
auto StopReason(core::Outcome outcome) -> core::Reason {
  if (outcome == core::Outcome::not_run) return core::Reason::draining;
  return outcome == core::Outcome::ran ? core::Reason::answer_cut : core::Reason::connection_lost;
}

// Runs an admitted request. Ends the attempt and frees its slot even if the exchange with the
// replica fails.
auto RunCall(Endpoint& endpoint, Call& call) -> void {
  net::HttpExchange exchange;
  wire::End end{true, core::Reason::internal_error, core::Outcome::ran, 0, ""};
  call.pending->exchange = &exchange;
  // Cancels the exchange when the entry resets the stream, for example after its caller
  // disconnected.
  runtime::Spawn([stream = call.stream, pending = call.pending] {
    stream->WaitClosed();
    pending->cancelled = true;
    if (pending->exchange != nullptr) pending->exchange->Cancel();
  });
  call.started_at = node::Now();
  RecordTraceEvent(endpoint, call, {.kind = node::TraceKind::started});
  endpoint.shares.With([&](shares::ShareTable& shares) {
    shares::StartCharge(shares, call.charge, call.started_at);
  });
  try {
    if (!RelayResponse(endpoint, call, exchange)) {
      end = {false, core::Reason::no_room, core::Outcome::not_run, 0, "the replica refused"};
    }
  } catch (const core::Error& error) {
    end.complete = false;
    end.outcome = OutcomeOf(exchange.GetProgress());
    end.reason = exchange.GetProgress() == net::Progress::head_received
                     ? core::Reason::answer_cut
                     : core::Reason::engine_unreachable;
    end.message = error.what();
    if (call.pending->stopped) {
      end.reason = StopReason(end.outcome);
      end.message = "the endpoint process was stopped before the response was complete";
    } else if (!call.pending->cancelled) {
      node::LogError(Level::warning, Event::answer_cut, error, call.submit.request_id);
    }
  }
  call.pending->exchange = nullptr;
  end.cost = FinishCall(endpoint, call, end.outcome);
  RecordTraceEvent(endpoint, call,
                   {.kind = node::TraceKind::finished,
                    .outcome = end.outcome,
                    .reason = end.complete ? std::nullopt : std::optional(end.reason),
                    .cost = end.cost});
  SendMessage(*call.stream, end);
  call.stream->Finish();
  // Keeps the request in flight until the End message is sent, so that a graceful shutdown does not
  // end the process earlier.
  call.stream->WaitClosed();
}

auto HandleSubmit(Endpoint& endpoint, Call& call) -> void {
  // Counted before the decision; otherwise a graceful shutdown could end the process between the
  // two.
  const node::InFlightGuard in_flight(endpoint.node.in_flight);
  const auto decision = AdmitCall(endpoint, call);
  if (decision.verdict == admission::Verdict::refused) {
    RefuseCall(endpoint, call, decision.refusal->reason,
               admission::ToOutcome(decision.refusal->status));
    if (call.submit.grant != 0) DispatchGrants(endpoint);
    return;
  }
  const node::RegistrationGuard listed(endpoint.workers[runtime::WorkerIndex()].calls,
                                       call.pending);
  RecordVerdict(endpoint, call, {.kind = node::TraceKind::admitted});
  endpoint.work_started.Notify();
  if (call.submit.grant != 0) endpoint.node.metrics.Count(Metric::grants, "redeemed");
  NotifyLoadChange(endpoint);
  if (decision.verdict == admission::Verdict::staged) {
    runtime::Spawn([stream = call.stream, pending = call.pending] {
      stream->WaitClosed();
      pending->cancelled = true;
      pending->changed.Notify();
    });
    if (!WaitForSlot(endpoint, call)) {
      FinishCall(endpoint, call, core::Outcome::not_run);
      RefuseCall(endpoint, call, ReasonWithoutSlot(*call.pending), core::Outcome::not_run);
      return;
    }
  }
  try {
    SendMessage(*call.stream, wire::Verdict{true});
  } catch (const core::Error&) {
    FinishCall(endpoint, call, core::Outcome::not_run);
    throw;
  }
  RunCall(endpoint, call);
}

auto HandleWithdraw(Endpoint& endpoint, net::Stream& stream, const wire::Withdraw& withdraw)
    -> void {
  const auto status = endpoint.admission.With([&](AdmissionTable& table) {
    return admission::WithdrawSubmission(table.admission, table.policy, withdraw.attempt,
                                         withdraw.endpoint, ReadClocks());
  });
  SendMessage(stream, wire::Withdrawn{admission::ToOutcome(status)});
  stream.Finish();
}

}  // namespace

auto CancelWorkerRequests(WorkerState& worker, node::StopScope scope) -> void {
  for (const auto& pending : worker.calls) {
    if (pending->response_started && scope == node::StopScope::unanswered) continue;
    pending->stopped = true;
    pending->changed.Notify();
    if (pending->exchange != nullptr) pending->exchange->Cancel();
  }
}

auto ServeRequestStream(Endpoint& endpoint, const std::shared_ptr<net::Stream>& stream) -> void {
  const auto bytes = stream->Receive();
  if (!bytes) return;
  auto message = wire::DecodeRequest(*bytes, stream->Peer());
  if (const auto* withdraw = std::get_if<wire::Withdraw>(&message)) {
    HandleWithdraw(endpoint, *stream, *withdraw);
  } else if (auto* submit = std::get_if<wire::Submit>(&message)) {
    Call call;
    call.submit = std::move(*submit);
    call.stream = stream;
    HandleSubmit(endpoint, call);
  }
}

}  // namespace filbertstair::endpoint
