#include <algorithm>

#include "state.h"

namespace filbertstair::endpoint {
namespace {

using telemetry::Metric;

// Returns the largest round trip of a grant among the linked entries. The grant allowance must
// cover the slowest entry.
auto LargestRoundTrip(const AdmissionTable& table) -> core::Duration {
  core::Duration largest{0};
  for (const auto& [id, link] : table.entries) largest = std::max(largest, link.round_trip);
  return largest;
}

// A candidate for the next grant and its share account.
struct GrantChoice {
  admission::DemandKey key;
  std::string account;
  shares::Candidate candidate;
};

auto RefreshWeights(WorkspaceWeights& weights,
                    const std::shared_ptr<const node::Snapshot>& snapshot) -> void {
  if (weights.snapshot == snapshot) return;
  weights.snapshot = snapshot;
  weights.by_account.clear();
  for (const auto& [name, service] : snapshot->services) {
    for (const auto& workspace : service->workspaces) {
      weights.by_account[AccountName(name, workspace.id)] = workspace.weight;
    }
  }
}

// Returns the weight of an account, or 1 if no current document contains it.
auto WeightOf(const WorkspaceWeights& weights, const std::string& account) -> double {
  const auto found = weights.by_account.find(account);
  return found == weights.by_account.end() ? 1 : found->second;
}

auto CollectChoices(Endpoint& endpoint, const AdmissionTable& table, shares::ShareTable& shares)
    -> std::vector<GrantChoice> {
  std::vector<GrantChoice> choices;
  for (const auto& row : admission::ListGrantCandidates(table.admission.demand)) {
    GrantChoice choice;
    choice.key = {std::string(row.service), std::string(row.workspace), std::string(row.region)};
    choice.account = AccountName(choice.key.service, choice.key.workspace);
    choice.candidate.workspace = shares::InternWorkspace(shares, choice.account);
    choice.candidate.weight = WeightOf(table.weights, choice.account);
    choice.candidate.remote = row.region != endpoint.node.settings.region;
    choice.candidate.count = row.waiting;
    choices.push_back(std::move(choice));
  }
  return choices;
}

// Deactivates the accounts in the share table that no longer have demand.
auto UpdateActiveAccounts(AdmissionTable& table, shares::ShareTable& shares,
                          const std::vector<GrantChoice>& choices, core::Time now) -> void {
  std::map<std::string, shares::Workspace> active;
  for (const auto& choice : choices) active[choice.account] = choice.candidate.workspace;
  for (const auto& [account, workspace] : table.active_accounts) {
    if (!active.contains(account)) shares::DeactivateWorkspace(shares, workspace, now);
  }
  table.active_accounts = std::move(active);
}

auto IssueGrant(Endpoint& endpoint, AdmissionTable& table, shares::ShareTable& shares,
                const GrantChoice& choice, std::uint32_t allowance,
                const admission::ClockReading& now) -> bool {
  const auto round_trip = LargestRoundTrip(table);
  const auto grant = admission::IssueNextGrant(table.admission, choice.key, allowance,
                                               admission::GrantTimeToLive(round_trip), now);
  if (!grant) return false;
  const auto service = shares::InternService(shares, choice.key.service);
  const auto estimate =
      shares::EstimateCost(shares, choice.candidate.workspace, service, std::nullopt);
  const auto charge = ++table.last_charge;
  shares::AddCharge(shares, charge, choice.candidate.workspace, service, estimate);
  table.grant_charges[grant->id] = {now.steady, charge};
  const auto link = table.entries.find(grant->entry);
  if (link != table.entries.end()) {
    link->second.outbox->Push(wire::Grant{grant->id, grant->granter, choice.key.service,
                                          choice.key.workspace, grant->expires_at - now.steady});
  }
  endpoint.node.metrics.Count(Metric::grants, "issued");
  return true;
}

}  // namespace

auto DispatchGrants(Endpoint& endpoint) -> void {
  const auto snapshot = node::CurrentSnapshot(endpoint.node);
  const auto now = ReadClocks();
  bool issued = false;
  endpoint.admission.With([&](AdmissionTable& table) {
    endpoint.shares.With([&](shares::ShareTable& shares) {
      const double rate = admission::CompletionsPerSecond(table.completions, now.steady);
      const auto allowance =
          admission::GrantAllowance(table.admission.slots, rate, LargestRoundTrip(table));
      shares::AccrueSlotTime(shares, now.steady);
      RefreshWeights(table.weights, snapshot);
      const auto choices = CollectChoices(endpoint, table, shares);
      UpdateActiveAccounts(table, shares, choices, now.steady);
      std::vector<shares::Candidate> candidates;
      candidates.reserve(choices.size());
      for (const auto& choice : choices) candidates.push_back(choice.candidate);
      while (admission::CanIssueGrant(table.admission.slots, allowance)) {
        const auto picked = shares::PickCandidate(shares, candidates, now.steady);
        if (!picked) break;
        if (!IssueGrant(endpoint, table, shares, choices[*picked], allowance, now)) break;
        --candidates[*picked].count;
        issued = true;
      }
    });
  });
  if (issued) endpoint.grants_changed.Notify();
}

auto UpdateContact(AdmissionTable& table, bool contact) -> void {
  const auto now = ReadClocks();
  if (now.steady - table.last_contact >= table.policy.keys.quiet_period) {
    for (auto& [service, history] : table.admission.owner_histories) {
      admission::RestartHistory(history, now.wall);
    }
    table.last_contact = now.steady;
  }
  if (contact) table.last_contact = now.steady;
}

auto ObserveInFlight(AdmissionTable& table) -> void {
  admission::ObserveInFlight(table.limit, table.admission.slots.running, node::Now());
}

auto StartStagedRequests(AdmissionTable& table) -> void {
  const auto starts = admission::StartStagedAttempts(table.admission, ReadClocks());
  const auto wake = [&](const core::AttemptId& id, bool started) {
    const auto found = table.pending.find(id);
    if (found == table.pending.end()) return;
    (started ? found->second->started : found->second->expired) = true;
    found->second->changed.Notify();
  };
  for (const auto& id : starts.started) wake(id, true);
  for (const auto& id : starts.expired) wake(id, false);
}

auto RefundGrants(Endpoint& endpoint, AdmissionTable& table,
                  const std::vector<admission::Grant>& grants) -> void {
  endpoint.shares.With([&](shares::ShareTable& shares) {
    for (const auto& grant : grants) {
      const auto found = table.grant_charges.find(grant.id);
      if (found == table.grant_charges.end()) continue;
      shares::RefundCharge(shares, found->second.second);
      table.grant_charges.erase(found);
    }
  });
}

}  // namespace filbertstair::endpoint
