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

// Seconds with three decimals, without trailing zeros.
auto FormatSeconds(core::Duration duration) -> std::string {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  auto text = std::to_string(ms / 1000);
  if (ms % 1000 == 0) return text;
  auto fraction = std::to_string(1000 + ms % 1000).substr(1);
  while (fraction.back() == '0') fraction.pop_back();
  return text + "." + fraction;
}

}  // namespace

auto ToRefused(net::RequestFault fault) -> Refused {
  Refused refused;
  refused.step = core::Step::read;
  switch (fault) {
    case net::RequestFault::body_too_large:
      refused.reason = Reason::request_too_large;
      refused.message = "the body is larger than any service allows";
      break;
    case net::RequestFault::header_too_large:
      refused.reason = Reason::request_too_large;
      refused.message = "the header is too large";
      break;
    case net::RequestFault::malformed:
    case net::RequestFault::none:
      refused.reason = Reason::malformed_request;
      refused.message = "the request is not valid HTTP/1.1";
      break;
  }
  return refused;
}

auto ToReply(Node& node, const std::string& id, const std::string& workspace,
             const Refused& refused) -> net::HttpResponse {
  const auto reason = core::Name(refused.reason);
  const auto outcome = core::Name(refused.outcome);
  node.metrics.Count(Metric::refusals, reason);
  node.metrics.Count(Metric::requests, outcome);
  telemetry::Log(Level::info, Event::request_refused,
                 {{"request", id},
                  {"workspace", workspace},
                  {"step", core::Name(refused.step)},
                  {"peer", refused.peer},
                  {"reason", reason},
                  {"outcome", outcome},
                  {"error", refused.message}});
  const boost::json::object body = {{"error",
                                     {{"reason", reason},
                                      {"message", refused.message},
                                      {"outcome", outcome},
                                      {"request_id", id},
                                      {"step", core::Name(refused.step)},
                                      {"peer", refused.peer}}}};
  net::Headers headers = {{"Content-Type", "application/json"},
                          {"X-Request-Id", id},
                          {"X-Outcome", std::string(outcome)}};
  const int status = core::HttpStatus(refused.reason);
  if (status == 429 || status == 503) {
    headers.emplace_back("Retry-After", FormatSeconds(refused.retry_after));
  }
  return {status, std::move(headers), boost::json::serialize(body) + "\n"};
}

auto AnswerRefused(Node& node, const std::string& id, const std::string& workspace,
                   const Refused& refused, net::Responder& responder) -> void {
  const auto reply = ToReply(node, id, workspace, refused);
  responder.Respond(reply.status, reply.headers, reply.body);
}

auto LogCut(Node& node, const std::string& id, const std::string& workspace, const Refused& refused)
    -> void {
  node.metrics.Count(Metric::refusals, core::Name(refused.reason));
  telemetry::Log(Level::warning, Event::answer_cut,
                 {{"request", id},
                  {"workspace", workspace},
                  {"step", core::Name(refused.step)},
                  {"peer", refused.peer},
                  {"reason", core::Name(refused.reason)},
                  {"error", refused.message}});
}

auto RecordEnd(Node& node, const std::string& id, const Refused* refused) -> void {
  TraceEvent event{.kind = TraceKind::ended, .outcome = core::Outcome::ran};
  if (refused != nullptr) {
    event.peer = refused->peer;
    event.step = refused->step;
    event.outcome = refused->outcome;
    event.reason = refused->reason;
  }
  RecordEvent(node, id, std::move(event));
}

auto NextRequestId(const Node& node) -> std::string {
  static std::atomic<std::uint64_t> last = 0;
  return node.settings.id + "-" + std::to_string(node.incarnation) + "-" + std::to_string(++last);
}

}  // namespace filbertstair::node
