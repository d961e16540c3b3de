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
// Limit of the wait for the endpoint process to report the outcome of an attempt whose stream
// broke.
constexpr std::chrono::milliseconds kWithdrawTimeout{2000};
constexpr auto* kStoppedMessage = "this entry was stopped before the response arrived";
// Hop-by-hop headers, and headers that this process sets itself.
constexpr std::array<std::string_view, 10> kDroppedHeaders = {
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te",
    "trailer",    "upgrade",    "x-request-id",     "x-endpoint",        "x-outcome"};

auto AddressOf(const node::Snapshot& snapshot, const std::string& endpoint) -> std::string {
  for (const auto& vm : snapshot.vms.vms) {
    if (vm.id == endpoint) return vm.address;
  }
  throw core::Error(Step::connect, endpoint, "endpoint is not in the VM list");
}

// Returns this worker's connection for requests to the endpoint process.
auto GetConnection(Entry& entry, const Call& call, const std::string& endpoint,
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
  // Another fiber may have connected meanwhile; its connection may already carry requests, so it is
  // not replaced.
  if (auto other = usable()) return other;
  connections[address] = connection;
  return connection;
}

auto ReceiveMessage(Call& call, Clock::time_point deadline) -> std::optional<wire::RequestMessage> {
  const auto bytes = call.stream->ReceiveUntil(deadline);
  if (!bytes) return std::nullopt;
  return wire::DecodeRequest(*bytes, call.stream->Peer());
}

// Withdraws an attempt whose stream broke before the verdict and returns the outcome that the
// endpoint process reports, or Outcome::unknown if it does not reply.
auto QueryOutcome(Entry& entry, Call& call, const AttemptTarget& target) -> Outcome {
  // Leaves time to answer the caller before this process exits.
  const auto reply_deadline = std::min(node::Now() + core::Duration(kWithdrawTimeout),
                                       entry.node.exit_at.load() - node::kFinalAnswerTime / 2);
  const auto time_left =
      std::chrono::duration_cast<std::chrono::milliseconds>(reply_deadline - node::Now());
  if (time_left <= std::chrono::milliseconds(0)) return Outcome::unknown;
  try {
    const auto connection =
        GetConnection(entry, call, target.endpoint, std::min(kConnectTimeout, time_left));
    const auto stream = connection->StartStream(std::string(node::kRequestPath));
    stream->Send(wire::Encode(wire::Withdraw{call.submit.attempt, call.submit.endpoint}));
    stream->Finish();
    const auto bytes = stream->ReceiveUntil(reply_deadline);
    if (!bytes) return Outcome::unknown;
    const auto message = wire::DecodeRequest(*bytes, stream->Peer());
    if (const auto* withdrawn = std::get_if<wire::Withdrawn>(&message)) return withdrawn->status;
  } catch (const core::Error&) {
    return Outcome::unknown;
  }
  return Outcome::unknown;
}

auto MakeFailure(Reason reason, Outcome outcome, Step step, std::string message,
                 bool response_started = false) -> AttemptFailure {
  return {{reason, outcome, response_started}, step, std::move(message)};
}

// Builds the failure of an attempt whose stream broke.
auto MakeStreamFailure(const Call& call, Outcome outcome, const core::Error& error)
    -> AttemptFailure {
  if (!call.stopped) {
    return MakeFailure(Reason::connection_lost, outcome, error.GetStep(), error.what(),
                       call.response_started);
  }
  // The HTTP status of `draining` guarantees that the request did not run.
  const auto reason = outcome == Outcome::not_run ? Reason::draining : Reason::connection_lost;
  return MakeFailure(reason, outcome, error.GetStep(), kStoppedMessage, call.response_started);
}

auto MakeResponseHeaders(const Call& call, const AttemptTarget& target, const wire::Head& head)
    -> net::Headers {
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

// Returns how the end of the replica's response was marked. The endpoint process forwards the
// replica's headers unchanged, so they show it.
auto FramingOf(const wire::Head& head) -> net::Framing {
  const bool self_delimited =
      !net::FindHeader(head.headers, "Content-Length").empty() ||
      boost::beast::iequals(net::FindHeader(head.headers, "Transfer-Encoding"), "chunked");
  return self_delimited ? net::Framing::self_delimited : net::Framing::close_delimited;
}

// Opens the stream of the attempt and fills in its submission. Returns a failure if the endpoint
// process can't be reached.
auto OpenAttemptStream(Entry& entry, Call& call, const AttemptTarget& target)
    -> std::optional<AttemptFailure> {
  std::shared_ptr<net::Connection> connection;
  try {
    connection = GetConnection(entry, call, target.endpoint);
    call.stream = connection->StartStream(std::string(node::kRequestPath));
  } catch (const core::Error& error) {
    return MakeFailure(Reason::endpoint_unreachable, Outcome::not_run, error.GetStep(),
                       error.what());
  }
  if (call.stopped) {
    return MakeFailure(Reason::draining, Outcome::not_run, Step::connect, kStoppedMessage);
  }
  call.submit.attempt = {entry.node.settings.id, entry.node.incarnation,
                         ++entry.last_attempt_serial};
  call.submit.grant = target.grant;
  call.submit.endpoint = target.granter;
  // Work that the replica does after this process exits is wasted.
  call.submit.remaining =
      std::min(call.deadline, node::ResponseStartDeadline(entry.node)) - node::Now();
  return std::nullopt;
}

// Sends the submission and waits for the verdict. Returns a failure unless the attempt was
// admitted.
auto SubmitAttempt(Entry& entry, Call& call, const AttemptTarget& target)
    -> std::optional<AttemptFailure> {
  try {
    call.stream->Send(wire::Encode(call.submit));
    call.stream->Finish();
    const auto message = ReceiveMessage(call, call.deadline);
    const auto* verdict = message ? std::get_if<wire::Verdict>(&*message) : nullptr;
    if (verdict == nullptr) throw core::Error(Step::decode, target.endpoint, "expected a verdict");
    if (verdict->admitted) return std::nullopt;
    return MakeFailure(verdict->reason, verdict->status, Step::admit,
                       "refused: " + std::string(core::Name(verdict->reason)));
  } catch (const core::Error& error) {
    call.stream->Reset();
    return MakeStreamFailure(call, QueryOutcome(entry, call, target), error);
  }
}

// Tracks the time of the last chunk, to measure the gaps between chunks of a response.
struct ChunkTimes {
  core::Time previous{};
  bool has_previous = false;
};

auto RecordChunkTime(Entry& entry, const Call& call, ChunkTimes& times) -> void {
  const auto now = node::Now();
  if (times.has_previous) {
    entry.node.metrics.Observe(Metric::part_gap, now - times.previous);
  } else {
    entry.node.metrics.Observe(Metric::first_byte, now - call.arrived_at);
  }
  times = {now, true};
}

auto HandleEnd(const wire::End& end, net::Responder& responder) -> std::optional<AttemptFailure> {
  if (end.complete) {
    responder.End();
    return std::nullopt;
  }
  return MakeFailure(end.reason, end.outcome, Step::engine, end.message, responder.HasBegun());
}

// Relays the response of an admitted attempt to the caller.
auto RelayResponse(Entry& entry, Call& call, const AttemptTarget& target, net::Responder& responder)
    -> std::optional<AttemptFailure> {
  ChunkTimes times;
  while (true) {
    std::optional<wire::RequestMessage> message;
    try {
      message = ReceiveMessage(call, call.deadline);
      if (!message) throw core::Error(Step::read, target.endpoint, "missing End message");
    } catch (const core::Error& error) {
      call.stream->Reset();
      return MakeStreamFailure(call, call.response_started ? Outcome::ran : Outcome::unknown,
                               error);
    }
    if (const auto* head = std::get_if<wire::Head>(&*message)) {
      call.response_started = true;
      responder.Begin(head->status, MakeResponseHeaders(call, target, *head), FramingOf(*head));
    } else if (const auto* chunk = std::get_if<wire::Chunk>(&*message)) {
      RecordChunkTime(entry, call, times);
      responder.Write(chunk->data);
    } else if (const auto* end = std::get_if<wire::End>(&*message)) {
      return HandleEnd(*end, responder);
    }
  }
}

}  // namespace

auto RunAttempt(Entry& entry, Call& call, const AttemptTarget& target, net::Responder& responder)
    -> std::optional<AttemptFailure> {
  node::RecordEvent(entry.node, call.id,
                    {.kind = node::TraceKind::attempted, .peer = target.endpoint});
  auto failure = OpenAttemptStream(entry, call, target);
  if (!failure) failure = SubmitAttempt(entry, call, target);
  if (!failure) {
    entry.node.metrics.Observe(Metric::queue_wait, node::Now() - call.arrived_at);
    failure = RelayResponse(entry, call, target, responder);
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
