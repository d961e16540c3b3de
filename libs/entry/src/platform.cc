#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <charconv>

#include "filbertstair/config/start.h"
#include "filbertstair/core/error.h"
#include "filbertstair/net/http_client.h"
#include "filbertstair/node/configuration.h"
#include "filbertstair/node/transfer.h"
#include "state.h"

namespace filbertstair::entry {
namespace {

using core::Step;
using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Time for which the platform holds a watch request when nothing has changed, and the timeout for
// any response beyond that time.
constexpr std::chrono::milliseconds kLongPollTime{20000};
constexpr std::chrono::milliseconds kResponseTimeout{5000};
constexpr std::chrono::milliseconds kColdStartPollInterval{100};
constexpr std::chrono::milliseconds kElectionInterval{1000};
constexpr std::chrono::milliseconds kPeerFetchTimeout{2000};

// Last revision read from the platform and whether it was reachable. Accessed by one fiber only.
struct PlatformState {
  std::uint64_t revision = 0;
  bool reachable = true;
};

struct ChangedObjects {
  std::uint64_t revision = 0;
  std::vector<std::string> names;
};

auto GetFromPlatform(Entry& entry, const std::string& target, std::chrono::milliseconds timeout)
    -> std::string {
  const auto address = settings::FormatAddress(entry.node.settings.platform);
  std::string body;
  net::HttpRequest request;
  request.method = "GET";
  request.target = target;
  try {
    const auto response = net::Fetch(address, request, timeout, body);
    if (response.status != 200) {
      throw core::Error(Step::platform, address,
                        target + " returned HTTP status " + std::to_string(response.status));
    }
  } catch (const core::Error&) {
    entry.node.metrics.Count(Metric::platform_calls, "failed");
    throw;
  }
  entry.node.metrics.Count(Metric::platform_calls, "ok");
  return body;
}

auto ParseChanges(const std::string& body, const std::string& address) -> ChangedObjects {
  boost::system::error_code error;
  const auto value = boost::json::parse(body, error);
  ChangedObjects changes;
  try {
    if (error) throw std::invalid_argument(error.message());
    const auto& object = value.as_object();
    changes.revision = object.at("revision").to_number<std::uint64_t>();
    for (const auto& item : object.at("objects").as_array()) {
      const auto* removed = item.as_object().if_contains("removed");
      // A removed document stays in force, since a version is only replaced by a higher one.
      if (removed != nullptr && removed->is_bool() && removed->as_bool()) continue;
      changes.names.emplace_back(item.as_object().at("name").as_string());
    }
  } catch (const std::exception& failure) {
    throw core::Error(Step::platform, address,
                      std::string("malformed response to a watch request: ") + failure.what());
  }
  return changes;
}

auto FetchChanges(Entry& entry, std::uint64_t since, std::chrono::milliseconds wait)
    -> ChangedObjects {
  const auto target =
      "/v1/watch?since=" + std::to_string(since) + "&wait_ms=" + std::to_string(wait.count());
  return ParseChanges(GetFromPlatform(entry, target, wait + kResponseTimeout),
                      settings::FormatAddress(entry.node.settings.platform));
}

auto FetchObject(Entry& entry, const std::string& name) -> void {
  const auto content = GetFromPlatform(entry, "/v1/objects/" + name, kResponseTimeout);
  node::OfferContent(entry.node, name, content,
                     settings::FormatAddress(entry.node.settings.platform));
}

auto RecordPlatformResult(Entry& entry, PlatformState& state, const core::Error* error) -> void {
  entry.node.config.With([&](node::ConfigState& config) {
    if (error == nullptr) {
      config::RecordPlatformAnswer(config.watch, node::Now());
    } else {
      config::RecordPlatformFailure(config.watch);
    }
  });
  const bool reachable = error == nullptr;
  if (reachable == state.reachable) return;
  state.reachable = reachable;
  if (reachable) {
    telemetry::Log(Level::info, Event::platform_reached, {});
  } else {
    node::LogError(Level::warning, Event::platform_unreachable, *error);
  }
}

// State of the cold start. Accessed by the fibers of one worker: the main one and one per peer
// request.
struct StartContext {
  config::StartState state;
  config::StartRules rules;
  runtime::Signal changed;
};

auto IsConfigured(Entry& entry) -> bool { return node::CurrentSnapshot(entry.node)->configured; }

auto PeerAddresses(Entry& entry) -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& vm : node::CurrentSnapshot(entry.node)->vms.vms) {
    const bool other = vm.id != entry.node.settings.id;
    if (vm.role == core::Role::entry && vm.state == membership::VmState::live && other) {
      out.push_back(vm.address);
    }
  }
  return out;
}

auto EvaluateElection(Entry& entry) -> config::WatchDecision {
  std::vector<config::RegionMember> members;
  entry.node.members.With([&](const membership::MemberTable& table) {
    for (const auto& id :
         membership::ListMembers(table, core::Role::entry, entry.node.settings.region)) {
      members.push_back({id, membership::StateOf(table, id) == membership::MemberState::suspected});
    }
  });
  static const double jitter = node::RandomShare();
  return entry.node.config.With([&](const node::ConfigState& state) {
    return config::DecideWatch(entry.node.settings.id, members, state.watch, {}, jitter,
                               node::Now());
  });
}

auto PerformStartActions(Entry& entry, const std::shared_ptr<StartContext>& context,
                         PlatformState& platform, const config::StartActions& actions) -> void;

auto FetchFromPeer(Entry& entry, const std::shared_ptr<StartContext>& context,
                   PlatformState& platform, const std::string& address) -> void {
  runtime::Spawn([&entry, context, &platform, address] {
    config::StartActions next;
    try {
      const bool peer_configured = node::FetchConfiguration(entry.node, address, kPeerFetchTimeout);
      next = config::HandlePeerAnswer(context->state, peer_configured, IsConfigured(entry),
                                      context->rules, node::Now());
    } catch (const core::Error& error) {
      node::LogError(Level::debug, Event::peer_lost, error);
      next = config::HandlePeerFailure(context->state, context->rules, node::Now());
    }
    PerformStartActions(entry, context, platform, next);
    context->changed.Notify();
  });
}

auto FetchVmList(Entry& entry, const std::shared_ptr<StartContext>& context,
                 PlatformState& platform) -> config::StartActions {
  try {
    FetchObject(entry, std::string(node::kVmListName));
    RecordPlatformResult(entry, platform, nullptr);
    const bool elected = EvaluateElection(entry).reason == config::WatchReason::elected;
    return config::HandleVmListRead(context->state, PeerAddresses(entry), elected, context->rules,
                                    node::Now());
  } catch (const core::Error& error) {
    RecordPlatformResult(entry, platform, &error);
    config::HandlePlatformFailure(context->state, context->rules, node::Now());
    return {};
  }
}

auto FetchDocuments(Entry& entry, const std::shared_ptr<StartContext>& context,
                    PlatformState& platform) -> void {
  try {
    const auto changes = FetchChanges(entry, 0, std::chrono::milliseconds(0));
    for (const auto& name : changes.names) FetchObject(entry, name);
    platform.revision = changes.revision;
    RecordPlatformResult(entry, platform, nullptr);
    config::HandleDocumentsRead(context->state, IsConfigured(entry), context->rules, node::Now());
  } catch (const core::Error& error) {
    RecordPlatformResult(entry, platform, &error);
    config::HandlePlatformFailure(context->state, context->rules, node::Now());
  }
}

auto PerformStartActions(Entry& entry, const std::shared_ptr<StartContext>& context,
                         PlatformState& platform, const config::StartActions& actions) -> void {
  for (const auto& address : actions.peers_to_ask) FetchFromPeer(entry, context, platform, address);
  if (actions.read_list) {
    PerformStartActions(entry, context, platform, FetchVmList(entry, context, platform));
  }
  if (actions.read_documents) FetchDocuments(entry, context, platform);
}

auto RunColdStart(Entry& entry, PlatformState& platform) -> void {
  const auto context = std::make_shared<StartContext>();
  std::vector<std::string> seeds;
  for (const auto& seed : entry.node.settings.seeds) {
    seeds.push_back(settings::FormatAddress(seed));
  }
  PerformStartActions(entry, context, platform,
                      config::BeginColdStart(seeds, node::RandomShare(), context->rules,
                                             node::Now(), context->state));
  while (context->state.phase != config::StartPhase::ready) {
    context->changed.WaitUntil(std::chrono::steady_clock::now() + kColdStartPollInterval);
    PerformStartActions(entry, context, platform,
                        config::ContinueColdStart(context->state, context->rules, node::Now()));
  }
  telemetry::Log(Level::info, Event::ready, {});
}

// Sends one watch request to the platform and fetches the objects that changed.
auto WatchOnce(Entry& entry, PlatformState& platform) -> void {
  try {
    const auto changes = FetchChanges(entry, platform.revision, kLongPollTime);
    for (const auto& name : changes.names) FetchObject(entry, name);
    platform.revision = changes.revision;
    RecordPlatformResult(entry, platform, nullptr);
  } catch (const core::Error& error) {
    RecordPlatformResult(entry, platform, &error);
  }
}

}  // namespace

auto PlatformLoop(Entry& entry) -> void {
  PlatformState platform;
  RunColdStart(entry, platform);
  while (true) {
    const auto decision = EvaluateElection(entry);
    if (decision.reason == config::WatchReason::none) {
      runtime::SleepFor(kElectionInterval);
      continue;
    }
    const auto started = node::Now();
    WatchOnce(entry, platform);
    const auto elapsed = node::Now() - started;
    if (elapsed < decision.interval) runtime::SleepFor(decision.interval - elapsed);
  }
}

}  // namespace filbertstair::entry
