#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

#include "filbertstair/core/error.h"
#include "state.h"

namespace filbertstair::entry {
namespace {

using core::Outcome;
using core::Reason;
using core::Step;
using telemetry::Metric;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeout{1000};
// Longest wait for the endpoint process's word on an attempt whose stream broke.
constexpr std::chrono::milliseconds kWithdrawTimeout{2000};
constexpr auto* kStopped = "this entry was stopped before the answer came";
// Headers that concern one connection, and those that this process sets itself.
constexpr std::array<std::string_view, 10> kDroppedHeaders = {
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te",
    "trailer",    "upgrade",    "x-request-id",     "x-endpoint",        "x-outcome"};

auto AddressOf(const node::Snapshot& snapshot, const std::string& endpoint) -> std::string {
  for (const auto& vm : snapshot.vms.vms) {
    if (vm.id == endpoint) return vm.address;
  }
  throw core::Error(Step::connect, endpoint, "not in the VM list");
}

// Returns this worker's connection for requests to the endpoint process.
auto ConnectionTo(Entry& entry, const Call& call, const std::string& endpoint,
                  std::chrono::milliseconds timeout = kConnectTimeout)
    -> std::shared_ptr<net::Connection> {
  const auto address = AddressOf(*call.snapshot, endpoint);
  auto& connections = entry.workers[runtime::WorkerIndex()].connections;
  const auto usable = [&] {
    const auto found = connections.find(address);
    return found != connections.end() && found->second->IsOpen() ? found->second : nullptr;
  };
  if (auto connection = usable()) return connection;
  auto connection = net::Connect(address, timeout);
  // Another fiber may have connected meanwhile, and its connection may carry requests.
  if (auto other = usable()) return other;
  connections[address] = connection;
  return connection;
}

auto Receive(Call& call, Clock::time_point deadline) -> std::optional<wire::RequestMessage> {
  const auto bytes = call.stream->ReceiveUntil(deadline);
  if (!bytes) return std::nullopt;
  return wire::DecodeRequest(*bytes, call.stream->Peer());
}

// Asks the endpoint process what became of an attempt whose stream broke before its verdict.
// Without an answer nothing is known.
auto AskOutcome(Entry& entry, Call& call, const Target& target) -> Outcome {
  // A process that ends must still answer its caller.
  const auto latest = std::min(node::Now() + core::Duration(kWithdrawTimeout),
                               entry.node.exit_at.load() - node::kFinalAnswerTime / 2);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(latest - node::Now());
  if (left <= std::chrono::milliseconds(0)) return Outcome::unknown;
  try {
    const auto connection =
        ConnectionTo(entry, call, target.endpoint, std::min(kConnectTimeout, left));
    const auto stream = connection->StartStream(std::string(node::kRequestPath));
    stream->Send(wire::Encode(wire::Withdraw{call.submit.attempt, call.submit.endpoint}));
    stream->Finish();
    const auto bytes = stream->ReceiveUntil(latest);
    if (!bytes) return Outcome::unknown;
    const auto message = wire::DecodeRequest(*bytes, stream->Peer());
    if (const auto* withdrawn = std::get_if<wire::Withdrawn>(&message)) return withdrawn->status;
  } catch (const core::Error&) {
    return Outcome::unknown;
  }
  return Outcome::unknown;
}

auto Fail(Reason reason, Outcome outcome, Step step, std::string message, bool begun = false)
    -> AttemptFailure {
  return {{reason, outcome, begun}, step, std::move(message)};
}

// Failure of an attempt whose stream broke.
auto FailLost(const Call& call, Outcome outcome, const core::Error& error) -> AttemptFailure {
  if (!call.stopped) {
    return Fail(Reason::connection_lost, outcome, error.GetStep(), error.what(), call.begun);
  }
  // The status of `draining` promises that the request did not run.
  const auto reason = outcome == Outcome::not_run ? Reason::draining : Reason::connection_lost;
  return Fail(reason, outcome, error.GetStep(), kStopped, call.begun);
}

auto AnswerHeaders(const Call& call, const Target& target, const wire::Head& head) -> net::Headers {
  net::Headers headers;
  for (const auto& [name, value] : head.headers) {
    const auto dropped = [&name = name](std::string_view other) {
      return boost::beast::iequals(name, other);
    };
    if (std::none_of(kDroppedHeaders.begin(), kDroppedHeaders.end(), dropped)) {
      headers.emplace_back(name, value);
    }
  }
  headers.emplace_back("X-Request-Id", call.id);
  headers.emplace_back("X-Endpoint", target.endpoint);
  headers.emplace_back("X-Outcome", core::Name(Outcome::ran));
  return headers;
}

// The endpoint process passes the replica's headers on as they came, so that they tell what marked
// the end of the replica's answer.
auto FramingOf(const wire::Head& head) -> net::Framing {
  const bool stated =
      !net::FindHeader(head.headers, "Content-Length").empty() ||
      boost::beast::iequals(net::FindHeader(head.headers, "Transfer-Encoding"), "chunked");
  return stated ? net::Framing::self_delimited : net::Framing::close_delimited;
}

// Opens the stream of the attempt. Returns a failure if the endpoint process can't be reached.
auto OpenStream(Entry& entry, Call& call, const Target& target) -> std::optional<AttemptFailure> {
  std::shared_ptr<net::Connection> connection;
  try {
    connection = ConnectionTo(entry, call, target.endpoint);
    call.stream = connection->StartStream(std::string(node::kRequestPath));
  } catch (const core::Error& error) {
    return Fail(Reason::endpoint_unreachable, Outcome::not_run, error.GetStep(), error.what());
  }
  if (call.stopped) return Fail(Reason::draining, Outcome::not_run, Step::connect, kStopped);
  call.submit.attempt = {entry.node.settings.id, entry.node.incarnation, ++entry.last_serial};
  call.submit.grant = target.grant;
  call.submit.endpoint = target.granter;
  // A replica that works on after this process has ended works in vain.
  call.submit.remaining =
      std::min(call.deadline, node::ResponseStartDeadline(entry.node)) - node::Now();
  return std::nullopt;
}

// Sends the submission and waits for the verdict. Returns a failure unless the attempt was
// admitted.
auto Submit(Entry& entry, Call& call, const Target& target) -> std::optional<AttemptFailure> {
  try {
    call.stream->Send(wire::Encode(call.submit));
    call.stream->Finish();
    const auto message = Receive(call, call.deadline);
    const auto* verdict = message ? std::get_if<wire::Verdict>(&*message) : nullptr;
    if (verdict == nullptr) throw core::Error(Step::decode, target.endpoint, "expected a verdict");
    if (verdict->admitted) return std::nullopt;
    return Fail(verdict->reason, verdict->status, Step::admit,
                "refused: " + std::string(core::Name(verdict->reason)));
  } catch (const core::Error& error) {
    call.stream->Reset();
    return FailLost(call, AskOutcome(entry, call, target), error);
  }
}

// Records the times between the parts of an answer.
struct PartTimes {
  core::Time last{};
  bool any = false;
};

auto ObservePart(Entry& entry, const Call& call, PartTimes& times) -> void {
  const auto now = node::Now();
  if (times.any) {
    entry.node.metrics.Observe(Metric::part_gap, now - times.last);
  } else {
    entry.node.metrics.Observe(Metric::first_byte, now - call.arrived);
  }
  times = {now, true};
}

auto HandleEnd(const wire::End& end, net::Responder& responder) -> std::optional<AttemptFailure> {
  if (end.complete) {
    responder.End();
    return std::nullopt;
  }
  return Fail(end.reason, end.outcome, Step::engine, end.message, responder.HasBegun());
}

// Passes the answer of an admitted attempt on to the caller.
auto RelayAnswer(Entry& entry, Call& call, const Target& target, net::Responder& responder)
    -> std::optional<AttemptFailure> {
  PartTimes times;
  while (true) {
    std::optional<wire::RequestMessage> message;
    try {
      message = Receive(call, call.deadline);
      if (!message) throw core::Error(Step::read, target.endpoint, "answer without an end");
    } catch (const core::Error& error) {
      call.stream->Reset();
      return FailLost(call, call.begun ? Outcome::ran : Outcome::unknown, error);
    }
    if (const auto* head = std::get_if<wire::Head>(&*message)) {
      call.begun = true;
      responder.Begin(head->status, AnswerHeaders(call, target, *head), FramingOf(*head));
    } else if (const auto* chunk = std::get_if<wire::Chunk>(&*message)) {
      ObservePart(entry, call, times);
      responder.Write(chunk->data);
    } else if (const auto* end = std::get_if<wire::End>(&*message)) {
      return HandleEnd(*end, responder);
    }
  }
}

}  // namespace

auto Attempt(Entry& entry, Call& call, const Target& target, net::Responder& responder)
    -> std::optional<AttemptFailure> {
  node::RecordEvent(entry.node, call.id,
                    {.kind = node::TraceKind::attempted, .peer = target.endpoint});
  auto failure = OpenStream(entry, call, target);
  if (!failure) failure = Submit(entry, call, target);
  if (!failure) {
    entry.node.metrics.Observe(Metric::queue_wait, node::Now() - call.arrived);
    failure = RelayAnswer(entry, call, target, responder);
  }
  if (failure) {
    node::RecordEvent(entry.node, call.id,
                      {.kind = node::TraceKind::failed,
                       .peer = target.endpoint,
                       .step = failure->step,
                       .outcome = failure->failure.outcome,
                       .reason = failure->failure.reason});
  }
  return failure;
}

}  // namespace filbertstair::entry
