#include <algorithm>

#include "filbertstair/core/error.h"
#include "state.h"

namespace filbertstair::relay {
namespace {

using core::Outcome;
using core::Reason;
using core::Step;
using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Longest wait for a connection. A replica answers within the round trip between two regions unless
// it is gone.
constexpr std::chrono::milliseconds kConnectTimeout{400};
constexpr std::chrono::milliseconds kSendTimeout{1000};
// Answers to other requests that may stand before the right one on a connection.
constexpr int kMaxStrayAnswers = 3;
// Plain answers up to this size are read to their end before any byte is passed on, so that one
// that breaks off can be repeated.
constexpr std::size_t kMaxHeldBody = std::size_t{256} << 10;
// Wait for the first event, as a multiple of the objective, before another replica is tried; a
// request that waits in a replica's queue is still answered well before.
constexpr int kFirstEventPatience = 3;
// Longest pause between two events before the replica is taken for dead. Callers give up after 2 s
// at the earliest.
constexpr std::chrono::milliseconds kEventPause{1500};

constexpr int kOk = 200;
constexpr auto* kStopped = "this entry was stopped before the answer came";

// Bounds of reading a body that nobody gets. A refusal takes less than a kilobyte, and arrives with
// its head; a new connection costs two round trips, 80 ms between regions.
constexpr std::size_t kMaxSkipped = std::size_t{64} << 10;
constexpr core::Duration kSkipTime = std::chrono::milliseconds(80);
// Pieces of up to 16 KB that are still read after a wait has ended.
constexpr int kMaxLatePieces = 16;

auto Fail(Reason reason, Outcome outcome, Step step, std::string message) -> Failure {
  return {reason, outcome, step, std::move(message)};
}

// Rounded up, so that a wait that ends at a deadline ends no sooner, and at least 1 ms.
auto RoundUp(core::Duration duration) -> std::chrono::milliseconds {
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration),
                  std::chrono::milliseconds(1));
}

auto Remaining(const Call& call) -> std::chrono::milliseconds {
  return RoundUp(call.deadline - node::Now());
}

auto CanTryAnother(const Call& call) -> bool {
  return direct::IsRetryable(*call.route) && call.tried.size() + 1 < call.route->attempts;
}

// Latest time for the next event of the answer, or for its head.
auto Latest(const Call& call, bool first) -> core::Time {
  if (!CanTryAnother(call)) return call.deadline;
  const core::Duration patience =
      first ? call.route->latency_objective * kFirstEventPatience : kEventPause;
  return std::min(call.deadline, node::Now() + patience);
}

// Wait for a part of an answer.
struct Wait {
  core::Time latest{};
  // Pieces read after that time.
  int late = 0;
};

// Reads the next piece of the body. Bytes that keep coming do not renew the wait; what has arrived
// when it ends is still read, as after this VM was suspended, up to a bound.
auto ReadPiece(net::HttpExchange& exchange, const Assignment& assignment, Wait& wait)
    -> std::string {
  const auto now = node::Now();
  if (now >= wait.latest && ++wait.late > kMaxLatePieces) {
    throw core::Error(Step::read, assignment.address, "timed out");
  }
  return exchange.ReadBody(RoundUp(wait.latest - now));
}

// Reads the rest of a body that is not passed on, so that the connection can carry another request.
// Returns false if it is too long for that.
auto SkipBody(net::HttpExchange& exchange, const Assignment& assignment, core::Time latest)
    -> bool {
  Wait wait{std::min(latest, node::Now() + kSkipTime)};
  std::size_t skipped = 0;
  try {
    while (skipped <= kMaxSkipped) {
      const auto piece = ReadPiece(exchange, assignment, wait);
      if (piece.empty()) return true;
      skipped += piece.size();
    }
  } catch (const core::Error&) {
    return false;
  }
  return false;
}

// Applies `use` to the replica if it is still known.
template <typename Use>
auto WithReplica(Relay& relay, const Assignment& assignment, Use&& use) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    auto* replica = direct::FindReplica(table.replicas, assignment.service, assignment.replica);
    if (replica != nullptr) use(*replica);
  });
}

auto NoteFailed(Relay& relay, const Call& call, const Assignment& assignment,
                direct::ReplicaFault fault) -> void {
  const auto now = node::Now();
  std::uint32_t failures = 0;
  bool aside = false;
  WithReplica(relay, assignment, [&](direct::Replica& replica) {
    direct::RecordFailure(replica, relay.policies.replicas, fault, now);
    failures = replica.failures;
    aside = replica.ejected_until > now;
  });
  if (!aside) return;
  telemetry::Log(
      Level::warning, Event::replica_set_aside,
      {{"request", call.id}, {"peer", assignment.replica}, {"failures", std::to_string(failures)}});
}

auto NoteAnswer(Relay& relay, const Assignment& assignment, const AnswerHead& head) -> void {
  const auto now = node::Now();
  WithReplica(relay, assignment, [&](direct::Replica& replica) {
    direct::RecordSuccess(replica);
    if (head.load) direct::RecordLoadReport(replica, *head.load, now);
  });
}

auto Connect(Relay& relay, Call& call, const Assignment& assignment, bool& reused)
    -> std::optional<Failure> {
  call.exchange = TakeIdle(relay, assignment.address);
  reused = call.exchange != nullptr;
  if (reused) return std::nullopt;
  call.exchange = std::make_shared<net::HttpExchange>();
  try {
    call.exchange->Connect(assignment.address, std::min(kConnectTimeout, Remaining(call)));
  } catch (const core::Error& error) {
    const bool local = error.GetStep() == Step::allocate;
    auto failure = Fail(local ? Reason::overloaded : Reason::endpoint_unreachable, Outcome::not_run,
                        error.GetStep(), error.what());
    failure.sent = false;
    return failure;
  }
  return std::nullopt;
}

auto ToForwarded(Relay& relay, const Call& call, const net::HttpRequest& request,
                 const Assignment& assignment) -> net::HttpRequest {
  Forward forward;
  // A replica that works on after this process has ended works in vain.
  const auto end =
      call.route->streaming ? relay.node.exit_at.load() : node::ResponseStartDeadline(relay.node);
  forward.remaining = RoundUp(std::min(call.deadline, end) - node::Now());
  forward.replica = assignment.replica;
  forward.workspace = call.workspace;
  forward.last_event =
      call.events.last_event_id.empty() ? call.head.last_event : call.events.last_event_id;
  net::HttpRequest forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.headers = relay.dialect.forward_headers(request, forward);
  forwarded.body = request.body;
  return forwarded;
}

struct Answer {
  net::HttpResponseHead answer;
  AnswerHead head;
  // Whether answers that belong to no request of this entry stood before it on the connection.
  bool after_stray = false;
};

// Reads the head of the answer to this request. A replica may send an answer to an earlier request
// late; the id tells them apart.
auto ReadAnswer(Relay& relay, Call& call, const Assignment& assignment, bool reused) -> Answer {
  for (int stray = 0; stray < kMaxStrayAnswers; ++stray) {
    const auto latest = Latest(call, true);
    Answer out;
    out.after_stray = stray > 0;
    out.answer = call.exchange->ReadHead(RoundUp(latest - node::Now()));
    out.head = relay.dialect.read_answer(out.answer);
    if (out.head.attempt == call.head.attempt) return out;
    if (out.head.attempt.empty() && out.head.refused && !reused) return out;
    if (!SkipBody(*call.exchange, assignment, latest)) break;
  }
  throw core::Error(Step::read, assignment.address, "answers to other requests only");
}

auto ObservePart(Relay& relay, const Call& call, core::Time& last) -> void {
  const auto now = node::Now();
  if (last == core::Time{}) {
    relay.node.metrics.Observe(Metric::first_byte, now - call.arrived);
  } else {
    relay.node.metrics.Observe(Metric::part_gap, now - last);
  }
  last = now;
}

auto BeginAnswer(Relay& relay, Call& call, const net::HttpResponseHead& answer,
                 net::Responder& responder) -> void {
  // A continued stream keeps the head of its first replica.
  if (call.begun) return;
  call.begun = true;
  call.framing = answer.framing;
  responder.Begin(answer.status, relay.dialect.answer_headers(answer), answer.framing);
}

// Passes events on as they complete. Returns normally after the end of the stream.
auto RelayEvents(Relay& relay, Call& call, Assignment& assignment,
                 const net::HttpResponseHead& answer, net::Responder& responder) -> void {
  core::Time last{};
  call.events.partial_event.clear();
  Wait wait{Latest(call, true)};
  while (true) {
    const auto piece = ReadPiece(*call.exchange, assignment, wait);
    if (piece.empty()) break;
    const auto events = direct::ExtractEvents(call.events, piece);
    if (call.events.partial_event.size() > direct::kMaxEventBytes) {
      throw core::Error(Step::read, assignment.address,
                        "event of more than " + std::to_string(direct::kMaxEventBytes) + " bytes");
    }
    if (events.empty()) continue;
    wait = {Latest(call, false), wait.late};
    NoteBegun(relay, assignment);
    ObservePart(relay, call, last);
    BeginAnswer(relay, call, answer, responder);
    responder.Write(events);
  }
  if (!call.events.partial_event.empty()) {
    throw core::Error(Step::read, assignment.address, "stream ended inside an event");
  }
  // The caller's last chunk would vouch for an end that nothing but this connection marks.
  if (call.begun && call.framing == net::Framing::self_delimited &&
      answer.framing == net::Framing::close_delimited) {
    throw core::Error(Step::read, assignment.address,
                      "nothing states the end of the stream's rest");
  }
  BeginAnswer(relay, call, answer, responder);
  responder.End();
}

// Passes a plain answer on, or keeps a failed one in case no other replica gives a better one.
auto RelayBody(Relay& relay, Call& call, const Assignment& assignment, const Answer& answer,
               net::Responder& responder) -> std::optional<Failure> {
  std::string body;
  Wait wait{call.deadline};
  while (body.size() <= kMaxHeldBody) {
    const auto piece = ReadPiece(*call.exchange, assignment, wait);
    if (piece.empty()) {
      core::Time last{};
      ObservePart(relay, call, last);
      const int status = answer.answer.status;
      HeldAnswer held{status, relay.dialect.answer_headers(answer.answer), std::move(body),
                      answer.answer.framing};
      if (status >= 500 && CanTryAnother(call)) {
        call.held = std::move(held);
        return Fail(Reason::engine_error, Outcome::ran, Step::engine,
                    "status " + std::to_string(status));
      }
      call.begun = true;
      RespondHeld(responder, held);
      return std::nullopt;
    }
    body += piece;
  }
  BeginAnswer(relay, call, answer.answer, responder);
  while (!body.empty()) {
    responder.Write(body);
    body = ReadPiece(*call.exchange, assignment, wait);
  }
  responder.End();
  return std::nullopt;
}

// Connections to one replica that this worker keeps idle, so that those of all entries together
// stay below what the replica accepts.
auto MaxIdle(const Call& call) -> std::size_t {
  constexpr std::size_t unstated = 16;
  constexpr std::size_t share = 8;
  const auto service = call.fleet->services.find(call.service);
  if (service == call.fleet->services.end() || service->second.max_connections == 0) {
    return unstated;
  }
  return std::max<std::size_t>(1, service->second.max_connections / share);
}

auto IsSuccess(int status) -> bool { return status >= 200 && status < 300; }

auto PassOn(Relay& relay, Call& call, Assignment& assignment, const Answer& answer,
            net::Responder& responder) -> std::optional<Failure> {
  const auto& head = answer.head;
  if (head.refused) {
    // The head states the refusal; a body without end must not hold it back.
    if (!SkipBody(*call.exchange, assignment, call.deadline)) call.exchange->Cancel();
    if (head.other_replica) NoteFailed(relay, call, assignment, direct::ReplicaFault::unreachable);
    if (head.load) {
      WithReplica(relay, assignment, [&](direct::Replica& replica) {
        direct::RecordLoadReport(replica, *head.load, node::Now());
      });
    }
    return Fail(Reason::no_room, Outcome::not_run, Step::engine,
                head.other_replica
                    ? "another replica has the address"
                    : "the replica refused with status " + std::to_string(answer.answer.status));
  }
  if (IsSuccess(answer.answer.status) && (!head.receipt || head.encoded)) {
    throw core::Error(Step::decode, assignment.address, "success that no replica vouches for");
  }
  NoteAnswer(relay, assignment, head);
  const bool events = call.route->streaming && answer.answer.status == kOk;
  if (call.begun && !events) {
    call.exchange->Cancel();
    return Fail(Reason::engine_error, Outcome::ran, Step::engine,
                "status " + std::to_string(answer.answer.status) + " instead of the stream's rest");
  }
  if (events) {
    RelayEvents(relay, call, assignment, answer.answer, responder);
    return std::nullopt;
  }
  NoteBegun(relay, assignment);
  return RelayBody(relay, call, assignment, answer, responder);
}

}  // namespace

auto RespondHeld(net::Responder& responder, const HeldAnswer& held) -> void {
  if (held.framing == net::Framing::self_delimited) {
    responder.Respond(held.status, held.headers, held.body);
    return;
  }
  responder.Begin(held.status, held.headers, held.framing);
  responder.Write(held.body);
  responder.End();
}

auto Attempt(Relay& relay, Call& call, const net::HttpRequest& request, Assignment& assignment,
             net::Responder& responder) -> std::optional<Failure> {
  node::RecordEvent(relay.node, call.id,
                    {.kind = node::TraceKind::attempted, .peer = assignment.replica});
  bool reused = false;
  if (auto failure = Connect(relay, call, assignment, reused)) {
    if (call.stopped) {
      failure->reason = Reason::draining;
      failure->message = kStopped;
    } else if (failure->reason != Reason::overloaded) {
      NoteFailed(relay, call, assignment, direct::ReplicaFault::unreachable);
    }
    return failure;
  }
  if (responder.IsCallerDisconnected()) {
    call.caller_gone = true;
    auto failure =
        Fail(Reason::withdrawn, Outcome::not_run, Step::queue, "the caller closed its connection");
    failure.sent = false;
    return failure;
  }
  try {
    call.exchange->Send(ToForwarded(relay, call, request, assignment), kSendTimeout);
    const auto answer = ReadAnswer(relay, call, assignment, reused);
    auto failure = PassOn(relay, call, assignment, answer, responder);
    // A replica that writes answers unasked may do so again, and the next may have no id.
    if (answer.after_stray) call.exchange->Cancel();
    PutIdle(relay, assignment.address, std::move(call.exchange), answer.head.keep_alive,
            MaxIdle(call));
    return failure;
  } catch (const core::Error& error) {
    call.exchange->Cancel();
    if (error.GetStep() == Step::respond) throw;
    if (call.stopped) return Fail(Reason::draining, Outcome::unknown, error.GetStep(), kStopped);
    if (!call.caller_gone && node::Now() < call.deadline) {
      NoteFailed(relay, call, assignment, direct::ReplicaFault::bad_answer);
    }
    return Fail(node::Now() < call.deadline ? Reason::connection_lost : Reason::deadline_exceeded,
                Outcome::unknown, error.GetStep(), error.what());
  }
}

}  // namespace filbertstair::relay
