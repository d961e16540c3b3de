#include "tests/soak/plan.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <random>
#include <stdexcept>

namespace filbertstair::soak {
namespace {

namespace json = boost::json;

// Mean time between two faults.
constexpr int kFaultIntervalMs = 600;
// The last faults end before the traffic does, so that recovery is observed.
constexpr int kQuietEndMs = 4000;
// Durations cover bounds of the deployment on both sides: the drain notice of 2.5 s, the lease of
// 4.6 s and the header timeout of 3 s.
constexpr int kMinDurationMs = 100;
constexpr int kMaxDurationMs = 6000;

// Kinds without a profile. Those added since would change the faults of all seeds.
constexpr std::size_t kSingleKinds = 25;
// Kinds of series.
constexpr std::array kSeriesKinds = {FaultKind::kill,
                                     FaultKind::kill,
                                     FaultKind::terminate,
                                     FaultKind::terminate,
                                     FaultKind::freeze,
                                     FaultKind::throttle,
                                     FaultKind::reload,
                                     FaultKind::publish_configuration,
                                     FaultKind::kill_replica,
                                     FaultKind::freeze_replica,
                                     FaultKind::cut_answers,
                                     FaultKind::cut_answers,
                                     FaultKind::garble_answers,
                                     FaultKind::drain_replica,
                                     FaultKind::cut_replica,
                                     FaultKind::silence_replica,
                                     FaultKind::silence_store,
                                     FaultKind::refuse_requests,
                                     FaultKind::refuse_requests,
                                     FaultKind::misdirect_requests,
                                     FaultKind::slow_answers};
// Mean time between two series, their length, and the time between two faults of one.
constexpr int kSeriesIntervalMs = 4000;
constexpr int kMinSeries = 2;
constexpr int kMaxSeries = 10;
constexpr int kMinGapMs = 150;
constexpr int kMaxGapMs = 1200;

auto ToJson(const Fault& fault) -> json::object {
  return {{"kind", core::Name(fault.kind)},
          {"at_ms", fault.at_ms},
          {"for_ms", fault.for_ms},
          {"target", fault.target}};
}

auto ToInt(const json::object& object, const char* name) -> int {
  return object.at(name).to_number<int>();
}

auto ToFault(const json::object& object) -> Fault {
  const auto kind = core::ParseName<FaultKind>(std::string(object.at("kind").as_string()));
  if (!kind) throw std::runtime_error("unknown kind of fault");
  return {*kind, ToInt(object, "at_ms"), ToInt(object, "for_ms"), ToInt(object, "target")};
}

auto DrawSeries(Plan plan, int last) -> Plan {
  std::mt19937_64 random(plan.seed);
  const auto draw = [&](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  plan.faults.clear();
  for (int series = last / kSeriesIntervalMs; series > 0; --series) {
    const auto kind =
        kSeriesKinds[static_cast<std::size_t>(draw(0, static_cast<int>(kSeriesKinds.size()) - 1))];
    const int gap = draw(kMinGapMs, kMaxGapMs);
    const int duration = draw(kMinDurationMs, kMaxDurationMs);
    int at = draw(0, last);
    int target = draw(0, 1000);
    for (int left = draw(kMinSeries, kMaxSeries); left > 0 && at < last; --left, at += gap) {
      plan.faults.push_back({kind, at, std::min(duration, last - at), target++});
    }
  }
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at_ms < b.at_ms; });
  return plan;
}

}  // namespace

auto ScopeOf(FaultKind kind) -> Scope {
  switch (kind) {
    case FaultKind::silence_store:
    case FaultKind::restart_store:
    case FaultKind::publish_configuration:
    case FaultKind::revoke_key:
    case FaultKind::cut_store:
      return Scope::store;
    case FaultKind::kill_replica:
    case FaultKind::freeze_replica:
    case FaultKind::cut_answers:
    case FaultKind::double_answers:
    case FaultKind::garble_answers:
    case FaultKind::endless_answers:
    case FaultKind::drain_replica:
    case FaultKind::cut_replica:
    case FaultKind::silence_replica:
    case FaultKind::refuse_requests:
    case FaultKind::misdirect_requests:
    case FaultKind::slow_answers:
      return Scope::replica;
    default:
      return Scope::entry;
  }
}

auto DrawFaults(Plan plan) -> Plan {
  std::mt19937_64 random(plan.seed);
  const int last = std::max(0, plan.traffic_ms - kQuietEndMs);
  if (!plan.profile.empty()) return DrawSeries(std::move(plan), last);
  const int count = last / kFaultIntervalMs;
  std::uniform_int_distribution<std::size_t> kind(0, kSingleKinds - 1);
  std::uniform_int_distribution<int> at(0, last);
  std::uniform_int_distribution<int> duration(kMinDurationMs, kMaxDurationMs);
  std::uniform_int_distribution<int> target(0, 1000);
  plan.faults.clear();
  for (int i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = core::kNames<FaultKind>[kind(random)].first;
    fault.at_ms = at(random);
    fault.for_ms = std::min(duration(random), last - fault.at_ms + kMinDurationMs);
    fault.target = target(random);
    plan.faults.push_back(fault);
  }
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at_ms < b.at_ms; });
  return plan;
}

auto FormatPlan(const Plan& plan) -> std::string {
  std::string faults;
  for (const auto& fault : plan.faults) {
    faults += (faults.empty() ? "\n    " : ",\n    ") + json::serialize(ToJson(fault));
  }
  json::object head = {{"seed", plan.seed},
                       {"traffic_ms", plan.traffic_ms},
                       {"entries", plan.entries},
                       {"replicas", plan.replicas},
                       {"callers", plan.callers}};
  if (!plan.profile.empty()) head["profile"] = plan.profile;
  if (!plan.cause.empty()) head["cause"] = plan.cause;
  auto text = json::serialize(head);
  text.pop_back();
  return text + ",\n  \"faults\":[" + faults + "]}\n";
}

auto ParsePlan(const std::string& text) -> Plan {
  const auto value = json::parse(text);
  const auto& object = value.as_object();
  Plan plan;
  plan.seed = object.at("seed").to_number<std::uint64_t>();
  plan.traffic_ms = ToInt(object, "traffic_ms");
  plan.entries = ToInt(object, "entries");
  plan.replicas = ToInt(object, "replicas");
  plan.callers = ToInt(object, "callers");
  if (const auto* profile = object.if_contains("profile")) plan.profile = profile->as_string();
  if (const auto* cause = object.if_contains("cause")) plan.cause = cause->as_string();
  for (const auto& fault : object.at("faults").as_array()) {
    plan.faults.push_back(ToFault(fault.as_object()));
  }
  return plan;
}

}  // namespace filbertstair::soak
