#include "tests/soak/convert.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

namespace filbertstair::soak {
namespace {

namespace json = boost::json;

constexpr judge::Time kMillisecond = 1000;

auto Text(const json::object& object, const char* name) -> std::string {
  return std::string(object.at(name).as_string());
}

auto ToArrival(const json::object& object) -> judge::Arrival {
  judge::Arrival out;
  out.id = Text(object, "id");
  out.service = Text(object, "service");
  out.replica = Text(object, "replica");
  out.at = object.at("arrived_at").to_number<judge::Time>();
  const auto deadline = Text(object, "deadline_ms");
  if (!deadline.empty()) out.deadline = std::stoll(deadline) * kMillisecond;
  out.expected_replica = Text(object, "expected");
  out.resume_after = Text(object, "resume_after");
  return out;
}

auto ReadEnd(const json::object& object, judge::Arrival& out) -> void {
  out.ended_at = object.at("at").to_number<judge::Time>();
  out.end = core::ParseName<judge::ArrivalEnd>(Text(object, "end")).value();
  out.status = object.at("status").to_number<int>();
  out.retry_after = object.at("retry_after_ms").to_number<judge::Time>() * kMillisecond;
}

// Name of an arrival in the lines of its replica.
auto KeyOf(const std::string& id, const json::object& object) -> std::string {
  return id + " " + std::to_string(object.at("arrived_at").to_number<judge::Time>());
}

auto KindOf(CallKind kind) -> judge::RequestKind {
  switch (kind) {
    case CallKind::stream:
    case CallKind::abandoned:
      return judge::RequestKind::resumable_stream;
    case CallKind::once:
      return judge::RequestKind::unsafe;
    default:
      return judge::RequestKind::safe;
  }
}

auto ToAttempt(const CallRecord& call) -> judge::ClientAttempt {
  judge::ClientAttempt out;
  out.id = call.id;
  out.kind = KindOf(call.kind);
  out.service = ServiceOf(call.kind);
  out.attempts = call.attempts;
  out.entry = call.entry;
  out.connection = std::to_string(call.connection);
  out.order = call.order;
  out.began_at = call.began_at;
  out.sent_at = call.sent_at;
  out.deadline = call.deadline_ms * kMillisecond;
  out.timeout = call.timeout_ms * kMillisecond;
  out.ended_at = call.ended_at;
  out.status = call.status;
  // Whether a revoked key or a large body is refused depends on the configuration in force.
  out.allowed = !call.second_key && call.kind != CallKind::large_upload;
  out.complete = call.complete;
  out.gave_up = call.gave_up;
  return out;
}

// What the judge calls the fault; nothing for stops and starts, which the runs of processes tell.
auto KindOf(FaultKind kind) -> std::optional<judge::DisturbanceKind> {
  switch (kind) {
    case FaultKind::terminate:
    case FaultKind::kill:
      return std::nullopt;
    case FaultKind::freeze:
    case FaultKind::terminate_frozen:
      return judge::DisturbanceKind::freeze;
    case FaultKind::throttle:
      return judge::DisturbanceKind::slow;
    case FaultKind::hold_port:
      return judge::DisturbanceKind::kill;
    case FaultKind::reload:
    case FaultKind::reload_at_start:
    case FaultKind::spoil_settings:
      return judge::DisturbanceKind::reload;
    case FaultKind::cut_callers:
      return judge::DisturbanceKind::reset_connections;
    case FaultKind::delay_callers:
      return judge::DisturbanceKind::cut_link;
    case FaultKind::silence_store:
    case FaultKind::restart_store:
    case FaultKind::cut_store:
      return judge::DisturbanceKind::store;
    case FaultKind::publish_configuration:
    case FaultKind::revoke_key:
      return judge::DisturbanceKind::configuration;
    default:
      return judge::DisturbanceKind::replica;
  }
}

auto AddRun(const EntryRun& run, std::vector<judge::Disturbance>& out) -> void {
  const auto add = [&](judge::DisturbanceKind kind, judge::Time from, judge::Time until) {
    if (from > 0) out.push_back({kind, run.entry, "", from, until});
  };
  add(judge::DisturbanceKind::start, run.started_at, run.started_at);
  add(judge::DisturbanceKind::terminate, run.terminated_at, run.terminated_at);
  add(judge::DisturbanceKind::kill, run.killed_at, run.killed_at);
}

// Time at which a replica that drains since `from` is ready again: when a fault that made it drain
// ends, or the store starts with all replicas ready.
auto ReturnOf(const Observations& observed, const std::string& replica, judge::Time from)
    -> judge::Time {
  judge::Time out = 0;
  for (const auto& fault : observed.disturbances) {
    const bool returns = fault.kind == FaultKind::drain_replica && fault.replica == replica;
    const auto at = returns ? fault.until : fault.from;
    if ((returns || fault.kind == FaultKind::restart_store) && at > from) {
      out = out == 0 ? at : std::min(out, at);
    }
  }
  return out;
}

}  // namespace

auto ReadReplicas(const std::vector<std::string>& lines, Observations& out) -> void {
  std::map<std::string, std::size_t> arrivals;
  for (const auto& line : lines) {
    const auto value = json::parse(line);
    const auto& object = value.as_object();
    const auto kind = Text(object, "kind");
    const auto id = Text(object, "id");
    if (kind == "arrive") {
      arrivals[KeyOf(id + " " + Text(object, "replica"), object)] = out.arrivals.size();
      out.arrivals.push_back(ToArrival(object));
      continue;
    }
    const auto* replica = kind == "start" ? "endpoint" : "replica";
    auto& arrival = out.arrivals.at(arrivals.at(KeyOf(id + " " + Text(object, replica), object)));
    if (kind == "start") {
      ++out.starts[id];
      arrival.ran = true;
    } else {
      ReadEnd(object, arrival);
    }
  }
}

auto ToHistory(const Observations& observed) -> judge::History {
  judge::History out;
  std::map<std::string, int> entries;
  for (const auto& call : observed.calls) {
    out.attempts.push_back(ToAttempt(call));
    entries[call.id] = call.entry;
  }
  out.arrivals = observed.arrivals;
  for (auto& arrival : out.arrivals) {
    const auto found = entries.find(arrival.id);
    if (found != entries.end()) arrival.entry = found->second;
  }
  for (const auto& run : observed.runs) AddRun(run, out.disturbances);
  for (const auto& fault : observed.disturbances) {
    if (fault.kind == FaultKind::drain_replica && fault.from > 0) {
      out.departures.push_back(
          {fault.replica, fault.from, ReturnOf(observed, fault.replica, fault.from)});
    }
    const auto kind = KindOf(fault.kind);
    if (kind && fault.from > 0) {
      out.disturbances.push_back({*kind, fault.entry, fault.replica, fault.from, fault.until});
    }
  }
  return out;
}

}  // namespace filbertstair::soak
