#include "filbertstair/node/admin.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "filbertstair/node/refusal.h"
#include "filbertstair/node/trace.h"
#include "filbertstair/settings/settings.h"

namespace filbertstair::node {
namespace {

// Followed by the value of X-Request-Id, whose characters need no encoding.
constexpr std::string_view kTraceTarget = "/trace?id=";

// Limits of the admin listener, which is open to the same clients as the others. The balancer,
// monitoring and an operator's commands need a handful of connections and send no bodies.
constexpr std::size_t kMaxAdminConnections = 64;
constexpr std::uint64_t kMaxAdminBodyBytes = 4096;
constexpr std::chrono::milliseconds kMaxAdminReadTime{5000};

auto ListObjects(Node& node) -> boost::json::array {
  boost::json::array objects;
  node.config.With([&](const ConfigState& state) {
    for (const auto& [key, slot] : state.table.object_states) {
      if (!slot.current) continue;
      const auto age =
          std::chrono::duration_cast<std::chrono::milliseconds>(Now() - slot.accepted_at);
      objects.push_back({{"name", key.name},
                         {"version", slot.current->stamp.version},
                         {"hash", std::to_string(slot.current->stamp.hash)},
                         {"age_ms", age.count()}});
    }
  });
  return objects;
}

auto ListMembers(Node& node) -> boost::json::array {
  boost::json::array members;
  node.members.With([&](const membership::MemberTable& table) {
    for (const auto& [id, member] : table.members) {
      const auto state = core::Name(membership::StateOf(table, id));
      members.push_back({{"id", id}, {"state", state}, {"connected", member.link.connected}});
    }
  });
  return members;
}

auto SetGauges(Node& node) -> void {
  std::map<membership::MemberState, int> counts;
  node.members.With([&](const membership::MemberTable& table) {
    for (const auto& [id, member] : table.members) ++counts[membership::StateOf(table, id)];
  });
  for (const auto& [state, name] : core::kNames<membership::MemberState>) {
    node.metrics.Set(telemetry::Metric::members, counts[state], name);
  }
  for (const auto& [use, name] : core::kNames<net::ByteUse>) {
    node.metrics.Set(telemetry::Metric::client_bytes, static_cast<double>(node.budget->Held(use)),
                     name);
  }
  const auto age = node.config.With(
      [](const ConfigState& state) { return config::ContactAge(state.watch, Now()); });
  node.metrics.Set(telemetry::Metric::config_age, static_cast<double>(age.count()) * 1e-6);
}

auto RespondWithTrace(Node& node, std::string_view request, net::Responder& responder) -> void {
  const auto trace = node.traces.With([&](const TraceTable& table) {
    const auto* found = FindTrace(table, request);
    return found == nullptr ? std::nullopt : std::optional(*found);
  });
  if (!trace) {
    responder.Respond(404, {{"Content-Type", "text/plain; charset=utf-8"}}, "not found\n");
    return;
  }
  responder.Respond(200, {{"Content-Type", "application/json"}},
                    ToJson(*trace, node.settings.id) + "\n");
}

// Returns the members of the /status object that all roles share.
auto CommonStatus(Node& node) -> boost::json::object {
  const auto& s = node.settings;
  return {{"id", s.id},
          {"role", core::Name(s.role)},
          {"region", s.region},
          {"failure_domain", s.failure_domain},
          {"incarnation", node.incarnation},
          {"draining", node.draining.load()},
          {"in_flight", node.in_flight.Count()},
          {"objects", ListObjects(node)},
          {"members", ListMembers(node)}};
}

auto HandleRequest(Node& node, const AdminHandlers& handlers, const net::HttpRequest& request,
                   net::Responder& responder) -> void {
  const net::Headers text = {{"Content-Type", "text/plain; charset=utf-8"}};
  const net::Headers json = {{"Content-Type", "application/json"}};
  if (request.target == "/healthz") {
    responder.Respond(200, text, "ok\n");
  } else if (request.target == "/readyz") {
    const bool ready = handlers.is_ready();
    responder.Respond(ready ? 200 : 503, text, ready ? "ready\n" : "not ready\n");
  } else if (request.target == "/metrics") {
    SetGauges(node);
    if (handlers.refresh_gauges) handlers.refresh_gauges();
    responder.Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, node.metrics.Render());
  } else if (request.target == "/status") {
    auto status = CommonStatus(node);
    handlers.add_status(status);
    responder.Respond(200, json, boost::json::serialize(status) + "\n");
  } else if (request.target.starts_with(kTraceTarget)) {
    RespondWithTrace(node, request.target.substr(kTraceTarget.size()), responder);
  } else if (request.target == "/drain" && request.method == "POST") {
    handlers.begin_drain();
    responder.Respond(202, text, "draining\n");
  } else {
    responder.Respond(404, text, "not found\n");
  }
}

}  // namespace

auto ListenAdmin(Node& node, AdminHandlers handlers) -> void {
  const auto address = settings::FormatAddress(node.settings.admin);
  net::HttpHandlers http;
  http.request = [&node, handlers = std::move(handlers)](const net::HttpRequest& request,
                                                         net::Responder& responder) {
    HandleRequest(node, handlers, request, responder);
  };
  http.fault = [](net::RequestFault fault, net::Responder& responder) {
    const int status = core::HttpStatus(ToRequestRefusal(fault).reason);
    responder.Respond(status, {}, "malformed or too large request\n");
  };
  http.should_close = [] { return false; };
  http.should_screen = [] { return false; };
  http.screen = [](const net::HttpRequest&, bool) {
    return net::ScreenResult{.refusal = {{503, {{"Retry-After", "1"}}, "too many connections\n"}}};
  };
  http.budget = node.budget;
  http.on_limit = MakeLimitObserver(node, "admin");
  net::HttpLimits limits;
  limits.max_body_bytes = kMaxAdminBodyBytes;
  limits.max_header_time = kMaxAdminReadTime;
  limits.max_body_read_time = kMaxAdminReadTime;
  limits.max_connections = kMaxAdminConnections;
  net::ListenHttp(address, limits, std::move(http));
  telemetry::Log(telemetry::Level::info, telemetry::Event::listening,
                 {{"purpose", "admin"}, {"address", address}});
}

}  // namespace filbertstair::node
