#include "filbertstair/direct/queue.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace filbertstair::direct {
namespace {

// Recent service below which a workspace counts as idle: less than any request costs.
constexpr double kNegligible = 0.5;

// Whether requests of the workspace wait at any entry.
auto IsWaiting(const Account& account) -> bool {
  return !account.waiting.empty() || account.waiting_elsewhere > 0;
}

auto Add(Recent& recent, const QueuePolicy& policy, double amount, core::Time now) -> void {
  recent = {std::max(0.0, Used(recent, policy, now) + amount), now};
}

// Takes what the peer last said of the workspace out of the account's sums.
auto Subtract(Account& account, const QueuePolicy& policy, const PeerAccount& peer, core::Time now)
    -> void {
  Add(account.elsewhere, policy, -Used(peer.recent, policy, now), now);
  if (peer.waiting) --account.waiting_elsewhere;
}

}  // namespace

auto Enqueue(FairQueue& queue, const std::string& workspace, const Waiter& waiter) -> void {
  auto& waiting = queue.accounts[workspace].waiting;
  const auto later =
      std::upper_bound(waiting.begin(), waiting.end(), waiter,
                       [](const Waiter& a, const Waiter& b) { return a.priority < b.priority; });
  waiting.insert(later, waiter);
  ++queue.waiting;
}

auto Used(const Recent& recent, const QueuePolicy& policy, core::Time now) -> double {
  const auto age = static_cast<double>((now - recent.at).count());
  return recent.amount * std::exp(-age / static_cast<double>(policy.window.count()));
}

auto Used(const Account& account, const QueuePolicy& policy, core::Time now) -> double {
  return Used(account.own, policy, now) + Used(account.elsewhere, policy, now);
}

auto PeekNext(const FairQueue& queue, const QueuePolicy& policy, core::Time now,
              const Passed& passed) -> std::optional<Next> {
  std::optional<Next> next;
  if (passed.size() >= policy.max_passed) return next;
  double least = 0;
  for (const auto& [workspace, account] : queue.accounts) {
    const auto first =
        std::find_if(account.waiting.begin(), account.waiting.end(),
                     [&](const Waiter& waiter) { return !passed.contains(waiter.ticket); });
    if (first == account.waiting.end()) continue;
    const double used = Used(account, policy, now);
    if (next && used >= least) continue;
    next = Next{&workspace, &*first};
    least = used;
  }
  return next;
}

auto RoomShare(const FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
               core::Time now) -> double {
  const auto account = queue.accounts.find(workspace);
  if (account == queue.accounts.end()) return 1;
  const double used = Used(account->second, policy, now);
  double total = used;
  double count = 1;
  for (const auto& [name, other] : queue.accounts) {
    if (name == workspace || !IsWaiting(other)) continue;
    total += Used(other, policy, now);
    ++count;
  }
  if (count == 1) return 1;
  const double level = policy.lead_from * total / count + policy.free_lead;
  if (used <= level) return 1;
  const double share = level / used;
  return std::max(policy.least_room, share * share);
}

auto Remove(FairQueue& queue, const std::string& workspace, Ticket ticket) -> bool {
  const auto account = queue.accounts.find(workspace);
  if (account == queue.accounts.end()) return false;
  const auto removed = std::erase_if(account->second.waiting,
                                     [&](const Waiter& waiter) { return waiter.ticket == ticket; });
  queue.waiting -= removed;
  return removed > 0;
}

auto Charge(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace, double cost,
            core::Time now) -> void {
  Add(queue.accounts[workspace].own, policy, cost, now);
}

auto Ask(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace, double cost,
         core::Time now) -> void {
  Add(queue.accounts[workspace].asked, policy, cost, now);
}

auto NoteTaken(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
               double cost, core::Time now) -> void {
  Add(queue.accounts[workspace].taken, policy, cost, now);
}

auto IntakeShare(const FairQueue& queue, const QueuePolicy& policy, core::Time now) -> double {
  std::vector<double> asked;
  asked.reserve(queue.accounts.size());
  double total = 0;
  double most = 0;
  for (const auto& [workspace, account] : queue.accounts) {
    const double taken = Used(account.taken, policy, now);
    // Rounding may leave less of what was asked than of what was taken in.
    asked.push_back(std::max(taken, Used(account.asked, policy, now)));
    total += taken;
    most = std::max(most, taken);
  }
  std::sort(asked.begin(), asked.end());
  // Those that asked for least get it all; the rest is shared equally by the others.
  for (std::size_t i = 0; i < asked.size(); ++i) {
    const double share = total / static_cast<double>(asked.size() - i);
    if (asked[i] >= share) return std::min(share, most);
    total -= asked[i];
  }
  return most;
}

auto SetPeerAccount(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                    const std::string& peer, const PeerAccount& account) -> void {
  auto& ours = queue.accounts[workspace];
  auto& known = ours.peers[peer];
  const auto now = account.recent.at;
  Subtract(ours, policy, known, now);
  known = account;
  Add(ours.elsewhere, policy, known.recent.amount, now);
  if (known.waiting) ++ours.waiting_elsewhere;
}

auto DropPeer(FairQueue& queue, const QueuePolicy& policy, const std::string& peer, core::Time now)
    -> void {
  for (auto& [workspace, account] : queue.accounts) {
    const auto known = account.peers.find(peer);
    if (known == account.peers.end()) continue;
    Subtract(account, policy, known->second, now);
    account.peers.erase(known);
  }
}

auto Sweep(FairQueue& queue, const QueuePolicy& policy, core::Time now) -> void {
  std::erase_if(queue.accounts, [&](const auto& item) {
    const auto& account = item.second;
    return !IsWaiting(account) && Used(account, policy, now) < kNegligible &&
           Used(account.asked, policy, now) < kNegligible;
  });
}

}  // namespace filbertstair::direct
