#include "filbertstair/node/refusal.h"

#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace filbertstair::node {
namespace {

using core::Reason;
using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Formats a duration in seconds with up to three decimals and without trailing zeros.
auto FormatSeconds(core::Duration duration) -> std::string {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  auto text = std::to_string(ms / 1000);
  if (ms % 1000 == 0) return text;
  auto fraction = std::to_string(1000 + ms % 1000).substr(1);
  while (fraction.back() == '0') fraction.pop_back();
  return text + "." + fraction;
}

}  // namespace

auto ToRequestRefusal(net::RequestFault fault) -> RequestRefusal {
  RequestRefusal refusal;
  refusal.step = core::Step::read;
  switch (fault) {
    case net::RequestFault::body_too_large:
      refusal.reason = Reason::request_too_large;
      refusal.message = "the body is larger than any service allows";
      break;
    case net::RequestFault::header_too_large:
      refusal.reason = Reason::request_too_large;
      refusal.message = "the header is too large";
      break;
    case net::RequestFault::too_many_fields:
      refusal.reason = Reason::request_too_large;
      refusal.message = "the header has too many fields";
      break;
    case net::RequestFault::no_memory:
      refusal.reason = Reason::overloaded;
      refusal.message = "no memory for the body";
      break;
    case net::RequestFault::malformed:
    case net::RequestFault::none:
      refusal.reason = Reason::malformed_request;
      refusal.message = "the request is not valid HTTP/1.1";
      break;
  }
  return refusal;
}

auto MakeRefusalResponse(Node& node, const std::string& id, const std::string& workspace,
                         const RequestRefusal& refusal) -> net::HttpResponse {
  const auto reason = core::Name(refusal.reason);
  const auto outcome = core::Name(refusal.outcome);
  node.metrics.Count(Metric::refusals, reason);
  node.metrics.Count(Metric::requests, outcome);
  telemetry::Log(Level::info, Event::request_refused,
                 {{"request", id},
                  {"workspace", workspace},
                  {"step", core::Name(refusal.step)},
                  {"peer", refusal.peer},
                  {"reason", reason},
                  {"outcome", outcome},
                  {"error", refusal.message}});
  const boost::json::object body = {{"error",
                                     {{"reason", reason},
                                      {"message", refusal.message},
                                      {"outcome", outcome},
                                      {"request_id", id},
                                      {"step", core::Name(refusal.step)},
                                      {"peer", refusal.peer}}}};
  net::Headers headers = {{"Content-Type", "application/json"},
                          {"X-Request-Id", id},
                          {"X-Outcome", std::string(outcome)}};
  const int status = core::HttpStatus(refusal.reason);
  if (status == 429 || status == 503) {
    headers.emplace_back("Retry-After", FormatSeconds(refusal.retry_after));
  }
  return {status, std::move(headers), boost::json::serialize(body) + "\n"};
}

auto SendRefusal(Node& node, const std::string& id, const std::string& workspace,
                 const RequestRefusal& refusal, net::Responder& responder) -> void {
  const auto reply = MakeRefusalResponse(node, id, workspace, refusal);
  responder.Respond(reply.status, reply.headers, reply.body);
}

auto LogTruncatedResponse(Node& node, const std::string& id, const std::string& workspace,
                          const RequestRefusal& refusal) -> void {
  node.metrics.Count(Metric::refusals, core::Name(refusal.reason));
  telemetry::Log(Level::warning, Event::answer_cut,
                 {{"request", id},
                  {"workspace", workspace},
                  {"step", core::Name(refusal.step)},
                  {"peer", refusal.peer},
                  {"reason", core::Name(refusal.reason)},
                  {"error", refusal.message}});
}

auto RecordRequestEnd(Node& node, const std::string& id, const RequestRefusal* refusal) -> void {
  TraceEvent event{.kind = TraceKind::ended, .outcome = core::Outcome::ran};
  if (refusal != nullptr) {
    event.peer = refusal->peer;
    event.step = refusal->step;
    event.outcome = refusal->outcome;
    event.reason = refusal->reason;
  }
  RecordEvent(node, id, std::move(event));
}

auto NextRequestId(const Node& node) -> std::string {
  static std::atomic<std::uint64_t> last = 0;
  return node.settings.id + "-" + std::to_string(node.incarnation) + "-" + std::to_string(++last);
}

}  // namespace filbertstair::node
