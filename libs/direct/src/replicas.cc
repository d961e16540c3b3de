#include "filbertstair/direct/replicas.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::direct {
namespace {

// More requests than any replica holds. A replica may report any number; the sums that it enters
// stay within 32 bits.
constexpr std::uint64_t kMaxReported = 1'000'000;

// What other entries have at the replica: what the linked ones say, or the replica's own report,
// discounted by its age, if that tells of more.
auto Elsewhere(const ReplicaTable& table, const Replica& replica, const ReplicaPolicy& policy,
               core::Time now) -> Use {
  const auto found = table.elsewhere.find(replica.listing.id);
  Use use = found == table.elsewhere.end() ? Use{} : found->second;
  const auto age = static_cast<double>((now - replica.others_at).count());
  const auto half_life = static_cast<double>(policy.report_half_life.count());
  const double reported = replica.others * std::exp2(-age / half_life);
  use.in_flight = std::max(use.in_flight, static_cast<std::uint32_t>(reported));
  return use;
}

auto Usable(const Replica& replica, const Need& need, core::Time now) -> bool {
  if (replica.listing.state != ReplicaState::ready || replica.gone) return false;
  if (replica.delisted_until != core::Time{} && replica.delisted_until <= now) return false;
  return need.tried == nullptr || !need.tried->contains(replica.listing.id);
}

auto IsReserved(const Replica& replica, const Need& need) -> bool {
  return need.reserved != nullptr && need.reserved->contains(replica.listing.id);
}

// Prompt tokens that a replica is expected to keep and to have to read for a request.
struct Reading {
  std::uint64_t shared_kept = 0;
  std::uint64_t unread = 0;
};

auto Expect(const Replica& replica, const Prompt& prompt, const std::vector<KeptParts::Item>& parts,
            std::uint64_t shared, bool owner) -> Reading {
  const std::uint64_t kept =
      std::max<std::uint64_t>(KeptTokens(replica.kept, parts), owner ? shared : 0);
  return {std::min(kept, shared), prompt.tokens_in > kept ? prompt.tokens_in - kept : 0};
}

// Requests at the replica and tokens that it has to read, of all entries.
auto TotalUse(const ReplicaTable& table, const Replica& replica, const ReplicaPolicy& policy,
              core::Time now) -> Use {
  auto use = Elsewhere(table, replica, policy, now);
  use.in_flight += replica.in_flight;
  use.unread += replica.unread;
  return use;
}

auto HasSlot(const Replica& replica, const ReplicaPolicy& policy, const Use& use, double room)
    -> bool {
  const double full = std::max(1.0, std::floor(replica.listing.slots * policy.full_share * room));
  return use.in_flight + 1 <= full;
}

// Whether a replica can have room for a prompt, whatever it keeps of it.
auto MayHaveRoom(const Replica& replica, const ReplicaPolicy& policy, const Use& use, double room)
    -> bool {
  return HasSlot(replica, policy, use, room) &&
         (use.unread == 0 ||
          static_cast<double>(use.unread) <= static_cast<double>(policy.max_unread) * room);
}

auto HasRoom(const Replica& replica, const ReplicaPolicy& policy, const Reading& reading,
             std::uint64_t shared, const Use& use, double room) -> bool {
  if (!HasSlot(replica, policy, use, room)) return false;
  const auto limit = reading.shared_kept < shared ? policy.max_unread_anew : policy.max_unread;
  return use.unread == 0 ||
         static_cast<double>(use.unread + reading.unread) <= static_cast<double>(limit) * room;
}

auto DistanceCost(const Replica& replica, const ReplicaPolicy& policy, const Origin& origin)
    -> double {
  const auto& domain = replica.listing.failure_domain;
  if (domain == origin.failure_domain) return 0;
  const auto here = origin.regions.find(origin.failure_domain);
  const auto there = origin.regions.find(domain);
  const bool same = here != origin.regions.end() && there != origin.regions.end() &&
                    here->second == there->second;
  return same ? policy.domain_cost_ms : policy.region_cost_ms;
}

// Expected time to the first event of a request without a prompt, in milliseconds, with the price
// of distance.
auto BaseCost(const Replica& replica, const ReplicaPolicy& policy, const Origin& origin,
              const Use& use) -> double {
  return DistanceCost(replica, policy, origin) + use.in_flight * policy.request_cost_ms +
         static_cast<double>(use.unread) / policy.tokens_per_ms;
}

// What a prompt adds to that: its reading, and the price of parts that are read again.
auto ReadingCost(const ReplicaPolicy& policy, const Reading& reading, std::uint64_t shared)
    -> double {
  return static_cast<double>(reading.unread) / policy.tokens_per_ms +
         static_cast<double>(shared - reading.shared_kept) * policy.reread_cost_ms;
}

// Replicas that may be chosen, and the one that returns first of those that are set aside.
struct Candidates {
  struct Item {
    const Replica* replica = nullptr;
    std::uint64_t score = 0;
  };
  // For a prompt with shared parts in the order in which the replicas should keep them.
  std::vector<Item> items;
  const Replica* aside = nullptr;
};

auto FindCandidates(const std::map<std::string, Replica>& replicas, const Need& need,
                    const Prompt& prompt, core::Time now) -> Candidates {
  Candidates out;
  const bool ranked = prompt.parts.size() > 1;
  const auto hash = ranked ? SharedHash(prompt) : 0;
  out.items.reserve(replicas.size());
  for (const auto& [id, replica] : replicas) {
    if (!Usable(replica, need, now)) continue;
    if (replica.aside_until > now) {
      const bool first = out.aside == nullptr || replica.aside_until < out.aside->aside_until;
      if (first) out.aside = &replica;
      continue;
    }
    out.items.push_back({&replica, ranked ? core::RendezvousScore(hash, id) : 0});
  }
  if (!ranked) return out;
  std::sort(out.items.begin(), out.items.end(), [](const auto& a, const auto& b) {
    return a.score != b.score ? a.score > b.score : a.replica->listing.id < b.replica->listing.id;
  });
  return out;
}

auto FailureAside(const ReplicaPolicy& policy, std::uint32_t doublings) -> core::Duration {
  constexpr std::uint32_t max_doublings = 10;
  const auto factor = std::int64_t{1} << std::min(doublings, max_doublings);
  return std::min(policy.aside * factor, policy.max_aside);
}

}  // namespace

auto Upsert(ReplicaTable& table, Listing listing) -> void {
  const auto id = listing.id;
  const auto previous = table.service_of.find(id);
  if (previous != table.service_of.end() && previous->second != listing.service) {
    Delist(table, id, core::Time{});
  }
  table.service_of[id] = listing.service;
  auto& replica = table.services[listing.service][id];
  if (replica.listing.started_ms != listing.started_ms ||
      replica.listing.address != listing.address) {
    replica.kept = {};
    replica.others = 0;
    replica.failures = 0;
    replica.aside_until = {};
  }
  replica.listing = std::move(listing);
  replica.gone = false;
  replica.delisted_until = {};
}

auto Delist(ReplicaTable& table, const std::string& id, core::Time until) -> void {
  auto* replica = FindListed(table, id);
  if (replica == nullptr) return;
  if (until == core::Time{}) {
    replica->gone = true;
    table.service_of.erase(id);
  } else if (replica->delisted_until == core::Time{}) {
    replica->delisted_until = until;
  }
}

auto Sweep(ReplicaTable& table, core::Time now) -> void {
  for (auto& [service, replicas] : table.services) {
    for (auto& [id, replica] : replicas) {
      if (replica.delisted_until == core::Time{} || replica.delisted_until > now) continue;
      if (!std::exchange(replica.gone, true)) table.service_of.erase(id);
    }
    std::erase_if(replicas,
                  [](const auto& item) { return item.second.gone && item.second.in_flight == 0; });
  }
}

auto FindListed(ReplicaTable& table, const std::string& id) -> Replica* {
  const auto service = table.service_of.find(id);
  return service == table.service_of.end() ? nullptr : Find(table, service->second, id);
}

auto Find(ReplicaTable& table, std::string_view service, const std::string& id) -> Replica* {
  const auto replicas = table.services.find(service);
  if (replicas == table.services.end()) return nullptr;
  const auto found = replicas->second.find(id);
  return found == replicas->second.end() ? nullptr : &found->second;
}

auto Choose(const ReplicaTable& table, const ReplicaPolicy& policy, const Origin& origin,
            const Need& need, core::Time now) -> Choice {
  static const Prompt no_prompt;
  const auto replicas = table.services.find(need.service);
  if (replicas == table.services.end()) return {};
  const auto& prompt = need.prompt == nullptr ? no_prompt : *need.prompt;
  const auto shared = SharedTokens(prompt);
  const auto parts = Keyed(prompt);
  const auto candidates = FindCandidates(replicas->second, need, prompt, now);
  const bool ranked = prompt.parts.size() > 1;
  Choice choice;
  double best_cost = 0;
  for (std::size_t rank = 0; rank < candidates.items.size(); ++rank) {
    const auto& replica = *candidates.items[rank].replica;
    const auto use = TotalUse(table, replica, policy, now);
    const bool open = MayHaveRoom(replica, policy, use, need.room) && !IsReserved(replica, need);
    if (choice.status == ChoiceStatus::chosen && !open) continue;
    // What a replica keeps takes several look-ups, so it is asked last: most replicas can be left
    // out by their load alone when many requests wait.
    const double base = BaseCost(replica, policy, origin, use);
    const auto best = open ? ChoiceStatus::chosen : ChoiceStatus::full;
    if (choice.status == best && base >= best_cost) continue;
    const auto reading = Expect(replica, prompt, parts, shared, ranked && rank == 0);
    const auto status = open && HasRoom(replica, policy, reading, shared, use, need.room)
                            ? ChoiceStatus::chosen
                            : ChoiceStatus::full;
    if (choice.status == ChoiceStatus::chosen && status == ChoiceStatus::full) continue;
    double cost = base + ReadingCost(policy, reading, shared);
    if (reading.shared_kept < shared) cost += static_cast<double>(rank) * policy.rank_cost_ms;
    if (choice.status == status && cost >= best_cost) continue;
    choice = {status, replica.listing.id, replica.listing.address, reading.unread};
    best_cost = cost;
  }
  const auto* aside = candidates.aside;
  if (choice.status != ChoiceStatus::none || aside == nullptr) return choice;
  // With every replica set aside, the one that returns first is as good as any.
  const auto reading = Expect(*aside, prompt, parts, shared, false);
  const auto use = TotalUse(table, *aside, policy, now);
  const bool room =
      !IsReserved(*aside, need) && HasRoom(*aside, policy, reading, shared, use, need.room);
  return {room ? ChoiceStatus::chosen : ChoiceStatus::full, aside->listing.id,
          aside->listing.address, reading.unread};
}

auto Assigned(Replica& replica, const ReplicaPolicy& policy, const Prompt& prompt,
              std::uint64_t unread) -> void {
  ++replica.in_flight;
  replica.unread += unread;
  Keep(replica.kept, prompt, policy.kept_capacity);
}

auto Began(Replica& replica, std::uint64_t unread) -> void {
  replica.unread -= std::min(replica.unread, unread);
}

auto Ended(Replica& replica) -> void {
  if (replica.in_flight > 0) --replica.in_flight;
}

auto SetPeerUse(ReplicaTable& table, const std::string& peer, const std::string& replica, Use use)
    -> bool {
  auto& known = table.peers[peer][replica];
  const bool freed = use.in_flight < known.in_flight || use.unread < known.unread;
  auto& sum = table.elsewhere[replica];
  sum.in_flight += use.in_flight - known.in_flight;
  sum.unread += use.unread - known.unread;
  known = use;
  if (sum == Use{}) table.elsewhere.erase(replica);
  if (use == Use{}) table.peers[peer].erase(replica);
  return freed;
}

auto DropPeer(ReplicaTable& table, const std::string& peer) -> void {
  const auto uses = table.peers.find(peer);
  if (uses == table.peers.end()) return;
  const auto known = uses->second;
  for (const auto& [replica, use] : known) SetPeerUse(table, peer, replica, {});
  table.peers.erase(peer);
}

auto Reported(Replica& replica, const LoadReport& report, core::Time now) -> void {
  const auto total = std::min(std::uint64_t{report.running} + report.waiting, kMaxReported);
  replica.others =
      total > replica.in_flight ? static_cast<std::uint32_t>(total) - replica.in_flight : 0;
  replica.others_at = now;
}

auto Succeeded(Replica& replica) -> void {
  replica.failures = 0;
  replica.aside_until = {};
}

auto Failed(Replica& replica, const ReplicaPolicy& policy, Fault fault, core::Time now) -> void {
  ++replica.failures;
  if (fault == Fault::unreachable) {
    replica.failures = std::max(replica.failures, policy.failures_to_set_aside);
  }
  if (replica.failures < policy.failures_to_set_aside) return;
  replica.aside_until = now + FailureAside(policy, replica.failures - policy.failures_to_set_aside);
}

}  // namespace filbertstair::direct
