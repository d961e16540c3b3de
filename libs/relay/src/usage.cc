#include <cmath>

#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;

// Maximum usage lines of one service per second; each costs an entry about as much as forwarding an
// event.
constexpr std::size_t kMaxUsageLines = 16;

auto Rounded(double value) -> std::string { return std::to_string(std::llround(value)); }

// Formats with two decimals.
auto FormatShare(double share) -> std::string {
  constexpr int hundredths = 100;
  auto text = std::to_string(hundredths + std::lround(share * hundredths) % hundredths).substr(1);
  return std::to_string(std::lround(share * hundredths) / hundredths) + "." + text;
}

// Values of one log line, copied so that nothing is written while the lock is held.
struct UsageLine {
  std::string service;
  std::string workspace;
  direct::WorkspaceUsage usage;
  std::size_t waiting = 0;
  double recent_service = 0;
  double capacity_share = 1;
};

}  // namespace

auto FindOrAddBudget(const Relay& relay, DispatchTable& table, const std::string& service)
    -> direct::RetryBudget& {
  const auto [found, is_new] = table.budgets.try_emplace(service);
  if (is_new) found->second.started_at = relay.started_at;
  return found->second;
}

auto CountArrival(Relay& relay, const Call& call) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    auto& usage = table.usage[call.service][call.workspace];
    ++usage.requests;
    usage.requested += call.cost;
    direct::RecordRequestedService(table.queues[call.service], relay.policies.queue, call.workspace,
                                   call.cost, node::Now());
  });
}

auto CountAdmission(Relay& relay, const Call& call) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    const auto now = node::Now();
    direct::RecordAdmittedService(table.queues[call.service], relay.policies.queue, call.workspace,
                                  call.cost, now);
    direct::RecordRequest(FindOrAddBudget(relay, table, call.service), relay.policies.budget, now);
  });
}

auto CountRefusal(Relay& relay, const Call& call, core::Reason reason) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    auto& usage = table.usage[call.service][call.workspace];
    ++(reason == core::Reason::no_room ? usage.refused_no_capacity : usage.refused_other);
  });
}

auto LogUsage(Relay& relay) -> void {
  const auto now = node::Now();
  std::vector<UsageLine> lines;
  relay.dispatch.With([&](DispatchTable& table) {
    for (const auto& [service, usage] : table.usage) {
      const auto& queue = table.queues[service];
      for (const auto& workspace : direct::MostActiveWorkspaces(usage, kMaxUsageLines)) {
        UsageLine line{service, workspace, usage.at(workspace)};
        const auto account = queue.accounts.find(workspace);
        if (account != queue.accounts.end()) {
          line.waiting = account->second.waiting.size();
          line.recent_service = direct::RecentService(account->second, relay.policies.queue, now);
          line.capacity_share = direct::CapacityShare(queue, relay.policies.queue, workspace, now);
        }
        lines.push_back(std::move(line));
      }
    }
    table.usage.clear();
  });
  for (const auto& line : lines) {
    telemetry::Log(Level::info, Event::workspace_usage,
                   {{"service", line.service},
                    {"workspace", line.workspace},
                    {"requests", std::to_string(line.usage.requests)},
                    {"asked", Rounded(line.usage.requested)},
                    {"admitted", Rounded(line.usage.admitted)},
                    {"begun", Rounded(line.usage.started)},
                    {"no_room", std::to_string(line.usage.refused_no_capacity)},
                    {"refused", std::to_string(line.usage.refused_other)},
                    {"waiting", std::to_string(line.waiting)},
                    {"recent", Rounded(line.recent_service)},
                    {"room", FormatShare(line.capacity_share)}});
  }
}

}  // namespace filbertstair::relay
