#include "filbertstair/direct/queue.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace filbertstair::direct {
namespace {

// Recent service below which a workspace counts as idle: less than any request costs.
constexpr double kNegligible = 0.5;

// Whether requests of the workspace wait at any entry.
auto IsWaiting(const Account& account) -> bool {
  return !account.waiting.empty() || account.waiting_peers > 0;
}

auto Add(DecayingService& service, const QueuePolicy& policy, double amount, core::Time now)
    -> void {
  service = {std::max(0.0, RecentService(service, policy, now) + amount), now};
}

// Subtracts the peer's last report from the account's sums.
auto Subtract(Account& account, const QueuePolicy& policy, const PeerAccount& peer, core::Time now)
    -> void {
  Add(account.remote_service, policy, -RecentService(peer.service, policy, now), now);
  if (peer.waiting) --account.waiting_peers;
}

}  // namespace

auto Enqueue(FairQueue& queue, const std::string& workspace, const Waiter& waiter) -> void {
  auto& waiting = queue.accounts[workspace].waiting;
  const auto same_priority =
      std::equal_range(waiting.begin(), waiting.end(), waiter,
                       [](const Waiter& a, const Waiter& b) { return a.priority < b.priority; });
  const bool newest_first = queue.order == QueueOrder::newest_first;
  waiting.insert(newest_first ? same_priority.first : same_priority.second, waiter);
  ++queue.waiting;
}

auto SetOrder(FairQueue& queue, QueueOrder order) -> bool {
  return std::exchange(queue.order, order) != order;
}

auto RecentService(const DecayingService& service, const QueuePolicy& policy, core::Time now)
    -> double {
  const auto age = static_cast<double>((now - service.updated_at).count());
  return service.amount * std::exp(-age / static_cast<double>(policy.decay_time.count()));
}

auto RecentService(const Account& account, const QueuePolicy& policy, core::Time now) -> double {
  return RecentService(account.local_service, policy, now) +
         RecentService(account.remote_service, policy, now);
}

auto PeekNextRequest(const FairQueue& queue, const QueuePolicy& policy, core::Time now,
                     const SkippedTickets& skipped) -> std::optional<NextRequest> {
  std::optional<NextRequest> next;
  if (skipped.size() >= policy.max_skipped) return next;
  double least_service = 0;
  for (const auto& [workspace, account] : queue.accounts) {
    const auto first =
        std::find_if(account.waiting.begin(), account.waiting.end(),
                     [&](const Waiter& waiter) { return !skipped.contains(waiter.ticket); });
    if (first == account.waiting.end()) continue;
    const double used_service = RecentService(account, policy, now);
    if (next && used_service >= least_service) continue;
    next = NextRequest{&workspace, &*first};
    least_service = used_service;
  }
  return next;
}

auto CapacityShare(const FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                   core::Time now) -> double {
  const auto account = queue.accounts.find(workspace);
  if (account == queue.accounts.end()) return 1;
  const double used_service = RecentService(account->second, policy, now);
  double total = used_service;
  double count = 1;
  for (const auto& [name, other] : queue.accounts) {
    if (name == workspace || !IsWaiting(other)) continue;
    total += RecentService(other, policy, now);
    ++count;
  }
  if (count == 1) return 1;
  const double allowance = policy.excess_threshold * total / count + policy.free_excess;
  if (used_service <= allowance) return 1;
  const double share = allowance / used_service;
  return std::max(policy.min_capacity_share, share * share);
}

auto RemoveWaiter(FairQueue& queue, const std::string& workspace, Ticket ticket) -> bool {
  const auto account = queue.accounts.find(workspace);
  if (account == queue.accounts.end()) return false;
  const auto removed = std::erase_if(account->second.waiting,
                                     [&](const Waiter& waiter) { return waiter.ticket == ticket; });
  queue.waiting -= removed;
  return removed > 0;
}

auto ChargeService(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                   double cost, core::Time now) -> void {
  Add(queue.accounts[workspace].local_service, policy, cost, now);
}

auto RecordRequestedService(FairQueue& queue, const QueuePolicy& policy,
                            const std::string& workspace, double cost, core::Time now) -> void {
  Add(queue.accounts[workspace].requested, policy, cost, now);
}

auto RecordAdmittedService(FairQueue& queue, const QueuePolicy& policy,
                           const std::string& workspace, double cost, core::Time now) -> void {
  Add(queue.accounts[workspace].admitted, policy, cost, now);
}

auto AdmissionShare(const FairQueue& queue, const QueuePolicy& policy, core::Time now) -> double {
  std::vector<double> requested;
  requested.reserve(queue.accounts.size());
  double total = 0;
  double max_admitted = 0;
  for (const auto& [workspace, account] : queue.accounts) {
    const double admitted = RecentService(account.admitted, policy, now);
    // Due to rounding, the requested service may be less than the admitted one.
    requested.push_back(std::max(admitted, RecentService(account.requested, policy, now)));
    total += admitted;
    max_admitted = std::max(max_admitted, admitted);
  }
  std::sort(requested.begin(), requested.end());
  // Workspaces that requested least get all of it; the others share the rest equally.
  for (std::size_t i = 0; i < requested.size(); ++i) {
    const double share = total / static_cast<double>(requested.size() - i);
    if (requested[i] >= share) return std::min(share, max_admitted);
    total -= requested[i];
  }
  return max_admitted;
}

auto SetPeerAccount(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                    const std::string& peer, const PeerAccount& account) -> void {
  auto& local_account = queue.accounts[workspace];
  auto& previous = local_account.peers[peer];
  const auto now = account.service.updated_at;
  Subtract(local_account, policy, previous, now);
  previous = account;
  Add(local_account.remote_service, policy, previous.service.amount, now);
  if (previous.waiting) ++local_account.waiting_peers;
}

auto DropPeer(FairQueue& queue, const QueuePolicy& policy, const std::string& peer, core::Time now)
    -> void {
  for (auto& [workspace, account] : queue.accounts) {
    const auto previous = account.peers.find(peer);
    if (previous == account.peers.end()) continue;
    Subtract(account, policy, previous->second, now);
    account.peers.erase(previous);
  }
}

auto RemoveIdleAccounts(FairQueue& queue, const QueuePolicy& policy, core::Time now) -> void {
  std::erase_if(queue.accounts, [&](const auto& item) {
    const auto& account = item.second;
    return !IsWaiting(account) && RecentService(account, policy, now) < kNegligible &&
           RecentService(account.requested, policy, now) < kNegligible;
  });
}

}  // namespace filbertstair::direct
