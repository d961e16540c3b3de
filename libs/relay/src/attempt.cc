#include <algorithm>

#include "filbertstair/core/error.h"
#include "filbertstair/core/hex.h"
#include "state.h"

namespace filbertstair::relay {
namespace {

using core::Outcome;
using core::Reason;
using core::Step;
using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Maximum time to open a connection. A live replica responds within the round trip between two
// regions.
constexpr std::chrono::milliseconds kConnectTimeout{400};
// Time to send a request after which another replica may take over: one that is paused or busy
// stops reading long bodies.
constexpr std::chrono::milliseconds kMaxSendTime{1000};
// Maximum responses to other requests that are skipped on a connection.
constexpr int kMaxStrayResponses = 3;
// Plain responses up to this size are read to their end before any byte is forwarded, so that a
// truncated one can be retried.
constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{256} << 10;
// Time to wait for the first event before another replica may take over, as a multiple of the
// latency objective; a request queued at a replica is answered well before.
constexpr int kFirstEventObjectives = 3;
// Time between two events after which another replica may take over. Callers give up after 2 s at
// the earliest.
constexpr std::chrono::milliseconds kMaxEventGap{1500};

// Batches of events are read at multiples of this time.
constexpr core::Duration kBatchTick = std::chrono::milliseconds(20);

constexpr int kHttpOk = 200;
constexpr auto* kStopped = "this entry was stopped before the response arrived";
constexpr auto* kNoColdTurn = "the replica has become cold, and other requests have its turns";
constexpr auto* kSilent = "the replica was silent, and another one takes over";

// Limits on reading a body that is discarded. A refusal takes less than a kilobyte and arrives with
// its head; a new connection costs two round trips, 80 ms between regions.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{64} << 10;
constexpr core::Duration kMaxDiscardTime = std::chrono::milliseconds(80);
// Pieces of up to 16 KB that are still read after the deadline.
constexpr int kMaxLateReads = 16;
// Maximum blocks of a prompt in a log line; a header may name thousands.
constexpr std::size_t kMaxLoggedBlocks = 16;

auto Fail(Reason reason, Outcome outcome, Step step, std::string message) -> Failure {
  return {reason, outcome, step, std::move(message)};
}

// Rounds up, so that a wait for a deadline does not end before it, to at least 1 ms.
auto RoundUpToMilliseconds(core::Duration duration) -> std::chrono::milliseconds {
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration),
                  std::chrono::milliseconds(1));
}

auto TimeToDeadline(const Call& call) -> std::chrono::milliseconds {
  return RoundUpToMilliseconds(call.deadline - node::Now());
}

auto CanTryAnotherReplica(const Call& call) -> bool {
  return direct::IsRetryable(*call.route) && call.tried.size() + 1 < call.route->attempts;
}

// Marks that the replica is awaited, and that another one may take over after `max_silence`.
auto AwaitReplica(Call& call, core::Duration max_silence) -> void {
  if (!CanTryAnotherReplica(call)) return;
  call.silent_at = node::Now() + max_silence;
  call.seen_silent = false;
  call.silence_counted = false;
}

// Marks that the next event of the response is awaited, or its head if `first`.
auto AwaitNextPart(Call& call, bool first) -> void {
  AwaitReplica(call, first ? call.route->latency_objective * kFirstEventObjectives
                           : core::Duration(kMaxEventGap));
}

// Marks that the replica is not awaited, so that silence does not end the attempt.
auto EndAwait(Call& call) -> void { call.silent_at = core::Time::max(); }

// Deadline for reading a part of a response.
struct ReadDeadline {
  core::Time read_until{};
  // Pieces read after the deadline.
  int late_reads = 0;
};

// Reads the next piece of the body. Bytes that keep arriving do not extend the deadline; what has
// arrived by then is still read, for example after this VM was suspended, up to a limit.
auto ReadBodyPiece(net::HttpExchange& exchange, const Assignment& assignment,
                   ReadDeadline& read_limit) -> std::string {
  const auto now = node::Now();
  if (now >= read_limit.read_until && ++read_limit.late_reads > kMaxLateReads) {
    throw core::Error(Step::read, assignment.address, "timed out");
  }
  return exchange.ReadBody(RoundUpToMilliseconds(read_limit.read_until - now));
}

// Reads the rest of a body that is discarded, so that the connection can carry another request.
// Returns false if the body is too long for that.
auto DiscardBody(net::HttpExchange& exchange, const Assignment& assignment, core::Time read_until)
    -> bool {
  ReadDeadline read_limit{std::min(read_until, node::Now() + kMaxDiscardTime)};
  std::size_t discarded = 0;
  try {
    while (discarded <= kMaxDiscardedBytes) {
      const auto piece = ReadBodyPiece(exchange, assignment, read_limit);
      if (piece.empty()) return true;
      discarded += piece.size();
    }
  } catch (const core::Error&) {
    return false;
  }
  return false;
}

// Calls `apply` with the replica if it is still known.
template <typename Apply>
auto WithReplica(Relay& relay, const Assignment& assignment, Apply&& apply) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    auto* replica = direct::FindReplica(table.replicas, assignment.service, assignment.replica);
    if (replica != nullptr) apply(*replica);
  });
}

auto ApplyLoadReport(Relay& relay, const Assignment& assignment, const direct::LoadReport& report)
    -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    auto* replica = direct::FindReplica(table.replicas, assignment.service, assignment.replica);
    if (replica == nullptr) return;
    direct::RecordLoadReport(*replica, relay.policies.replicas, report, node::Now());
    if (report.pace) ServeNewestFirst(relay, table, assignment.service);
  });
}

auto RecordReplicaSuccess(Relay& relay, const Assignment& assignment, const ResponseHead& head)
    -> void {
  WithReplica(relay, assignment, [](direct::Replica& replica) { direct::RecordSuccess(replica); });
  if (head.load) ApplyLoadReport(relay, assignment, *head.load);
}

auto FindCutCause(const Call& call, core::Time now) -> CutCause {
  if (now >= call.deadline) return CutCause::deadline;
  return call.successor ? CutCause::silence : CutCause::replica;
}

auto ReportCutAttempt(Relay& relay, const Call& call, const Assignment& assignment, CutCause cause,
                      Step step, const std::string& message) -> void {
  relay.node.metrics.Count(Metric::attempts_cut, core::Name(cause));
  const auto head_age = assignment.stage == direct::AttemptStage::sent
                            ? core::Duration::zero()
                            : node::Now() - assignment.head_received_at;
  const auto blocks =
      call.head.prompt ? direct::ListBlockIds(*call.head.prompt) : std::vector<std::uint64_t>();
  telemetry::Log(
      Level::info, Event::attempt_cut,
      {{"request", call.id},
       {"peer", assignment.replica},
       {"step", core::Name(step)},
       {"cause", core::Name(cause)},
       {"stage", core::Name(assignment.stage)},
       {"head_age_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(head_age).count())},
       {"blocks", core::FormatHexList(blocks, kMaxLoggedBlocks)},
       {"error", message}});
}

auto DescribeWithheld(direct::SendVerdict verdict) -> std::string {
  if (verdict == direct::SendVerdict::evacuated) {
    return "the failure domain of the replica is evacuated";
  }
  if (verdict == direct::SendVerdict::region_not_allowed) {
    return "the replica is in no region where the request may be served";
  }
  return "the replica has asked for no further requests";
}

auto ConnectToReplica(Relay& relay, Call& call, const Assignment& assignment, bool& reused)
    -> std::optional<Failure> {
  call.exchange = TakeIdleConnection(relay, assignment.address);
  reused = call.exchange != nullptr;
  if (reused) return std::nullopt;
  call.exchange = std::make_shared<net::HttpExchange>();
  const auto timeout = std::min(kConnectTimeout, TimeToDeadline(call));
  const auto began_at = node::Now();
  try {
    call.exchange->Connect(assignment.address, timeout);
  } catch (const core::Error& error) {
    const bool local = error.GetStep() == Step::allocate;
    // A refusal comes before the timeout, which says nothing of the replica's process.
    const bool refused =
        !local && !call.stopped && !call.caller_disconnected && node::Now() - began_at < timeout;
    if (refused) RecordReplicaEnd(relay, assignment);
    auto failure = Fail(local ? Reason::overloaded : Reason::endpoint_unreachable, Outcome::not_run,
                        error.GetStep(), error.what());
    failure.reached_replica = false;
    return failure;
  }
  return std::nullopt;
}

// Returns the request without its body, which is sent from the caller's request.
auto MakeForwardedRequest(Relay& relay, const Call& call, const net::HttpRequest& request,
                          const Assignment& assignment) -> net::HttpRequest {
  ForwardContext forward;
  // After this process has exited, any further work of the replica is lost.
  const auto end =
      call.route->streaming ? relay.node.exit_at.load() : node::ResponseStartDeadline(relay.node);
  forward.remaining = RoundUpToMilliseconds(std::min(call.deadline, end) - node::Now());
  forward.replica = assignment.replica;
  forward.workspace = call.workspace;
  forward.resume_after = call.event_splitter.last_event_id.empty()
                             ? call.head.resume_after
                             : call.event_splitter.last_event_id;
  net::HttpRequest forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.headers = relay.dialect.make_request_headers(request, forward);
  return forwarded;
}

struct ReplicaResponse {
  net::HttpResponseHead http;
  ResponseHead head;
  // Whether responses to other requests preceded it on the connection.
  bool after_stray = false;
};

// Reads the head of the response to this request. A replica may send the response to an earlier
// request late; the request id distinguishes them.
auto ReadResponse(Relay& relay, Call& call, const Assignment& assignment, bool reused)
    -> ReplicaResponse {
  for (int stray = 0; stray < kMaxStrayResponses; ++stray) {
    AwaitNextPart(call, true);
    ReplicaResponse out;
    out.after_stray = stray > 0;
    out.http = call.exchange->ReadHead(TimeToDeadline(call));
    out.head = relay.dialect.parse_response(out.http);
    ApplyAvailability(relay, call, assignment, out.head);
    ApplyColdReport(relay, assignment, out.head);
#ifdef FILBERTSTAIR_BROKEN_answer_id
    return out;
#endif
    if (out.head.request_id == call.head.request_id) return out;
    if (out.head.request_id.empty() && out.head.refused && !reused) return out;
    if (!DiscardBody(*call.exchange, assignment, call.deadline)) break;
  }
  throw core::Error(Step::read, assignment.address, "received only responses to other requests");
}

auto ObservePartLatency(Relay& relay, const Call& call, core::Time& last) -> void {
  const auto now = node::Now();
  if (last == core::Time{}) {
    relay.node.metrics.Observe(Metric::first_byte, now - call.arrived);
  } else {
    relay.node.metrics.Observe(Metric::part_gap, now - last);
  }
  last = now;
}

auto BeginResponse(Relay& relay, Call& call, const net::HttpResponseHead& response,
                   net::Responder& responder) -> void {
  // A resumed stream keeps the head of its first replica.
  if (call.response_started) return;
  call.response_started = true;
  call.framing = response.framing;
  responder.Begin(response.status, relay.dialect.make_response_headers(response), response.framing);
}

// Waits for the next batch of events while the worker has little processor time left. All streams
// of the worker wait for the same moment, so that it wakes up once for all of them.
auto WaitForBatch(Relay& relay, const direct::Route& route) -> void {
  const auto interval = direct::EventBatchInterval(
      ThisWorker(relay).overload, relay.policies.overload, route.event_gap_objective);
  if (interval <= core::Duration{}) return;
  const auto now = node::Now().time_since_epoch();
  const auto latest = now + interval;
  runtime::SleepFor(latest - latest % kBatchTick - now);
}

// Forwards events as they complete. Returns normally after the end of the stream.
auto RelayEvents(Relay& relay, Call& call, Assignment& assignment,
                 const net::HttpResponseHead& response, net::Responder& responder) -> void {
  core::Time last{};
  const auto sound_at = assignment.head_received_at + relay.policies.quarantine.sound_after;
  bool is_sound = false;
  call.event_splitter.partial_event.clear();
  ReadDeadline read_limit{call.deadline};
  AwaitNextPart(call, true);
  while (true) {
    const auto piece = ReadBodyPiece(*call.exchange, assignment, read_limit);
    if (piece.empty()) break;
    const auto events = direct::ExtractEvents(call.event_splitter, piece);
    if (call.event_splitter.partial_event.size() > direct::kMaxEventBytes) {
      throw core::Error(Step::read, assignment.address,
                        "event of more than " + std::to_string(direct::kMaxEventBytes) + " bytes");
    }
    if (events.empty()) continue;
    // The time that the caller takes to receive the events is not the replica's.
    EndAwait(call);
    MarkResponseStarted(relay, assignment);
    ObservePartLatency(relay, call, last);
    BeginResponse(relay, call, response, responder);
    responder.Write(events);
    if (!is_sound && last >= sound_at) {
      is_sound = true;
      RecordSoundResponse(relay, call);
    }
    if (!call.exchange->IsBodyComplete()) WaitForBatch(relay, *call.route);
    AwaitNextPart(call, false);
  }
  EndAwait(call);
  if (!call.event_splitter.partial_event.empty()) {
    throw core::Error(Step::read, assignment.address, "stream ended in the middle of an event");
  }
  // A replica that ends as it begins to respond leaves a head and nothing else.
  if (response.framing == net::Framing::close_delimited &&
      assignment.stage != direct::AttemptStage::content) {
    throw core::Error(Step::read, assignment.address, "stream ended before its first event");
  }
  // The caller would take a final chunk as proof that the stream is complete, but only the closed
  // replica connection marked its end.
  if (call.response_started && call.framing == net::Framing::self_delimited &&
      response.framing == net::Framing::close_delimited) {
    throw core::Error(Step::read, assignment.address,
                      "the end of the resumed stream is not marked");
  }
  if (!is_sound) RecordSoundResponse(relay, call);
  BeginResponse(relay, call, response, responder);
  responder.End();
}

// Forwards a plain response, or buffers a failed one in case no other replica gives a better one.
auto RelayBody(Relay& relay, Call& call, const Assignment& assignment,
               const ReplicaResponse& response, net::Responder& responder)
    -> std::optional<Failure> {
  std::string body;
  ReadDeadline read_limit{call.deadline};
  while (body.size() <= kMaxBufferedBodyBytes) {
    const auto piece = ReadBodyPiece(*call.exchange, assignment, read_limit);
    if (piece.empty()) {
      core::Time last{};
      ObservePartLatency(relay, call, last);
      const int status = response.http.status;
      BufferedResponse buffered{status, relay.dialect.make_response_headers(response.http),
                                std::move(body), response.http.framing};
      if (status >= 500 && CanTryAnotherReplica(call)) {
        call.buffered = std::move(buffered);
        return Fail(Reason::engine_error, Outcome::ran, Step::engine,
                    "status " + std::to_string(status));
      }
      call.response_started = true;
      SendBufferedResponse(responder, buffered);
      return std::nullopt;
    }
    body += piece;
  }
  BeginResponse(relay, call, response.http, responder);
  while (!body.empty()) {
    responder.Write(body);
    body = ReadBodyPiece(*call.exchange, assignment, read_limit);
  }
  responder.End();
  return std::nullopt;
}

// Returns the number of idle connections to one replica that this worker keeps, so that those of
// all entries together stay below what the replica accepts.
auto MaxIdleConnections(const Call& call) -> std::size_t {
  constexpr std::size_t default_limit = 16;
  constexpr std::size_t limit_divisor = 8;
  const auto service = call.fleet->services.find(call.service);
  if (service == call.fleet->services.end() || service->second.max_connections == 0) {
    return default_limit;
  }
  return std::max<std::size_t>(1, service->second.max_connections / limit_divisor);
}

auto IsSuccess(int status) -> bool { return status >= 200 && status < 300; }

auto RelayResponse(Relay& relay, Call& call, Assignment& assignment,
                   const ReplicaResponse& response, net::Responder& responder)
    -> std::optional<Failure> {
  const auto& head = response.head;
  if (head.refused) {
    // The head alone states the refusal; an endless body must not delay it.
    if (!DiscardBody(*call.exchange, assignment, call.deadline)) call.exchange->Cancel();
    if (head.misdirected) CountFailure(relay, call, direct::ReplicaFault::unreachable);
    if (head.load) ApplyLoadReport(relay, assignment, *head.load);
    return Fail(Reason::no_room, Outcome::not_run, Step::engine,
                head.misdirected
                    ? "a different replica has the address"
                    : "the replica refused with status " + std::to_string(response.http.status));
  }
  if (IsSuccess(response.http.status) && (!head.has_receipt || head.is_encoded)) {
    throw core::Error(Step::decode, assignment.address, "success without a replica's receipt");
  }
  RecordReplicaSuccess(relay, assignment, head);
  const bool events = call.route->streaming && response.http.status == kHttpOk;
  if (call.response_started && !events) {
    call.exchange->Cancel();
    return Fail(
        Reason::engine_error, Outcome::ran, Step::engine,
        "status " + std::to_string(response.http.status) + " instead of the rest of the stream");
  }
  if (events) {
    RelayEvents(relay, call, assignment, response.http, responder);
    return std::nullopt;
  }
  MarkResponseStarted(relay, assignment);
  auto failure = RelayBody(relay, call, assignment, response, responder);
  if (!failure && IsSuccess(response.http.status)) RecordSoundResponse(relay, call);
  return failure;
}

// Handles that the connection to the replica failed during the attempt.
auto HandleCutAttempt(Relay& relay, Call& call, const Assignment& assignment,
                      const core::Error& error) -> Failure {
  if (call.stopped) return Fail(Reason::draining, Outcome::unknown, error.GetStep(), kStopped);
  if (call.quarantined) {
    return Fail(Reason::connection_lost, Outcome::unknown, error.GetStep(),
                "ended because a block of the prompt crashes replicas");
  }
  const auto cause = FindCutCause(call, node::Now());
  const bool in_time = cause != CutCause::deadline;
  auto failure =
      Fail(in_time ? Reason::connection_lost : Reason::deadline_exceeded, Outcome::unknown,
           error.GetStep(), cause == CutCause::silence ? kSilent : error.what());
  if (call.caller_disconnected) return failure;
  ReportCutAttempt(relay, call, assignment, cause, failure.step, failure.message);
  if (cause != CutCause::replica) return failure;
  failure.crashed_replica = RecordIfCrashed(relay, call, assignment);
  if (failure.crashed_replica) RecordReplicaEnd(relay, assignment);
  CountFailure(relay, call,
               failure.crashed_replica ? direct::ReplicaFault::unreachable
                                       : direct::ReplicaFault::bad_answer);
  return failure;
}

}  // namespace

auto CountFailure(Relay& relay, const Call& call, direct::ReplicaFault fault) -> void {
  const auto now = node::Now();
  std::uint32_t failures = 0;
  bool ejected = false;
  relay.dispatch.With([&](DispatchTable& table) {
    auto* replica = direct::FindReplica(table.replicas, call.service, call.replica);
    if (replica == nullptr) return;
    direct::RecordFailure(*replica, relay.policies.replicas, fault, now);
    failures = replica->failures;
    ejected = replica->ejected_until > now;
  });
  if (!ejected) return;
  telemetry::Log(
      Level::warning, Event::replica_set_aside,
      {{"request", call.id}, {"peer", call.replica}, {"failures", std::to_string(failures)}});
}

auto SendBufferedResponse(net::Responder& responder, const BufferedResponse& buffered) -> void {
  if (buffered.framing == net::Framing::self_delimited) {
    responder.Respond(buffered.status, buffered.headers, buffered.body);
    return;
  }
  responder.Begin(buffered.status, buffered.headers, buffered.framing);
  responder.Write(buffered.body);
  responder.End();
}

auto RunAttempt(Relay& relay, Call& call, const net::HttpRequest& request, Assignment& assignment,
                net::Responder& responder) -> std::optional<Failure> {
  node::RecordEvent(relay.node, call.id,
                    {.kind = node::TraceKind::attempted, .peer = assignment.replica});
  bool reused = false;
  if (auto failure = ConnectToReplica(relay, call, assignment, reused)) {
    if (call.stopped) {
      failure->reason = Reason::draining;
      failure->message = kStopped;
    } else if (failure->reason != Reason::overloaded && !call.quarantined) {
      CountFailure(relay, call, direct::ReplicaFault::unreachable);
    }
    return failure;
  }
  if (responder.IsCallerDisconnected()) {
    call.caller_disconnected = true;
    auto failure =
        Fail(Reason::withdrawn, Outcome::not_run, Step::queue, "the caller closed its connection");
    failure.reached_replica = false;
    return failure;
  }
  // The replica may have said meanwhile, to another request, that it wants no more, its entry may
  // name another failure domain, or the operator may have begun to evacuate that.
  const auto verdict = CheckSend(relay, call, assignment);
  const bool allowed = verdict == direct::SendVerdict::allowed;
  if (!allowed || !BeginColdSend(relay, assignment)) {
    call.exchange->Cancel();
    auto failure = Fail(Reason::no_room, Outcome::not_run, Step::queue,
                        allowed ? kNoColdTurn : DescribeWithheld(verdict));
    failure.reached_replica = false;
    return failure;
  }
  std::optional<core::Error> cut;
  try {
    AwaitReplica(call, kMaxSendTime);
    call.exchange->Send(MakeForwardedRequest(relay, call, request, assignment), request.body,
                        TimeToDeadline(call));
    RecordColdWritten(relay, assignment);
    const auto response = ReadResponse(relay, call, assignment, reused);
    EndAwait(call);
    direct::RecordResponseHead(assignment, node::Now());
    RecordColdAnswer(relay, assignment);
    auto failure = RelayResponse(relay, call, assignment, response, responder);
    // A replica that sends responses without a request may do so again, and the next may have no
    // id.
#ifndef FILBERTSTAIR_BROKEN_stray_connection
    if (response.after_stray || response.head.leaving) call.exchange->Cancel();
#endif
    StoreIdleConnection(relay, assignment.address, std::move(call.exchange),
                        response.head.keep_alive, MaxIdleConnections(call));
    return failure;
  } catch (const core::Error& error) {
    call.exchange->Cancel();
    EndAwait(call);
    if (error.GetStep() == Step::respond) throw;
    cut = error;
  }
  // Outside of the handler, because a fiber must not be suspended in one.
  return HandleCutAttempt(relay, call, assignment, *cut);
}

}  // namespace filbertstair::relay
