#include "filbertstair/direct/replicas.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "filbertstair/core/rendezvous.h"
#include "filbertstair/direct/availability.h"
#include "filbertstair/direct/evacuation.h"

namespace filbertstair::direct {
namespace {

// Limit of reported requests, above what any replica runs. A replica may report any number; the
// limit keeps the sums of it within 32 bits.
constexpr std::uint64_t kMaxReportedRequests = 1'000'000;

// Load of other entries at the replica: the sum over the linked ones, with the requests of the
// replica's own report, discounted by its age, if these are more.
auto RemoteLoad(const ReplicaTable& table, const Replica& replica, const ReplicaPolicy& policy,
                core::Time now) -> ReplicaLoad {
  const auto found = table.peer_load.find(replica.listing.id);
  ReplicaLoad load = found == table.peer_load.end() ? ReplicaLoad{} : found->second;
  const auto age = static_cast<double>((now - replica.reported_at).count());
  const auto half_life = static_cast<double>(policy.report_half_life.count());
  const double reported = replica.remote_in_flight * std::exp2(-age / half_life);
  load.in_flight = std::max(load.in_flight, static_cast<std::uint32_t>(reported));
  return load;
}

auto IsUsable(const ReplicaTable& table, const Origin& origin, const Replica& replica,
              const PlacementRequest& request, core::Time now) -> bool {
  if (replica.listing.state != ReplicaState::ready || replica.removed) return false;
  if (replica.told_leaving) return false;
  if (replica.delisted_until != core::Time{} && replica.delisted_until <= now) return false;
  if (IsEvacuated(table, replica.listing)) return false;
  if (request.tried != nullptr && request.tried->contains(replica.listing.id)) return false;
  return IsAllowedDomain(request.residency, origin.regions, replica.listing.failure_domain);
}

auto IsReserved(const Replica& replica, const PlacementRequest& request) -> bool {
  return request.reserved != nullptr && request.reserved->contains(replica.listing.id);
}

// Prompt tokens of a request that a replica is expected to have cached and to prefill.
struct PrefillEstimate {
  std::uint64_t cached_shared_tokens = 0;
  std::uint64_t prefill_tokens = 0;
};

auto EstimatePrefill(const Replica& replica, const Prompt& prompt,
                     const std::vector<PrefixCache::Block>& blocks, std::uint64_t shared_tokens,
                     bool owner) -> PrefillEstimate {
  const std::uint64_t cached_tokens = std::max<std::uint64_t>(
      CachedPrefixTokens(replica.prefix_cache, blocks), owner ? shared_tokens : 0);
  return {std::min(cached_tokens, shared_tokens),
          prompt.tokens_in > cached_tokens ? prompt.tokens_in - cached_tokens : 0};
}

// Load of all entries at the replica, the time that work takes there as a multiple of the usual,
// and how likely it is overrun.
struct ExpectedLoad : ReplicaLoad {
  double pace = 1;
  double start_ratio = 1;
  double overrun = 0;
};

auto TotalLoad(const ReplicaTable& table, const Replica& replica, const ReplicaPolicy& policy,
               double usual_ratio, core::Time now) -> ExpectedLoad {
  ExpectedLoad load{
      RemoteLoad(table, replica, policy, now),
      EstimatePace(replica.load_estimate, policy.load_estimate, now),
      EstimateStartRatio(replica.load_estimate.start_ratio, policy.load_estimate, usual_ratio, now),
      EstimateOverrun(replica.load_estimate, policy.load_estimate, now)};
  load.in_flight += replica.in_flight;
  load.prefill_tokens += replica.prefill_tokens;
  return load;
}

// Mean ratio of observed to calculated time to the first part of a response over the service's
// replicas.
auto UsualStartRatio(const ReplicaTable& table, std::string_view service,
                     const ReplicaPolicy& policy, core::Time now) -> double {
  const auto found = table.start_ratios.find(std::string(service));
  if (found == table.start_ratios.end()) return 1;
  return EstimateStartRatio(found->second, policy.load_estimate, 1, now);
}

// Pending prefill tokens, scaled by the time that they take as a multiple of the calculated one.
auto ScaledPrefill(const ReplicaPolicy& policy, const ExpectedLoad& load, std::uint64_t tokens)
    -> double {
  return static_cast<double>(tokens) * load.pace *
         std::min(load.start_ratio, policy.max_limit_ratio);
}

auto HasSlot(const Replica& replica, const ReplicaPolicy& policy, const ReplicaLoad& load,
             double capacity_share) -> bool {
  if (replica.max_in_flight > 0 && replica.in_flight >= replica.max_in_flight) return false;
  const double full =
      std::max(1.0, std::floor(replica.listing.slots * policy.max_slot_share * capacity_share));
  return load.in_flight + 1 <= full;
}

// Whether a replica can have capacity for a prompt, whichever blocks it has cached.
auto MayHaveCapacity(const Replica& replica, const ReplicaPolicy& policy, const ExpectedLoad& load,
                     double capacity_share) -> bool {
  return HasSlot(replica, policy, load, capacity_share) &&
         (load.prefill_tokens == 0 ||
          ScaledPrefill(policy, load, load.prefill_tokens) <=
              static_cast<double>(policy.max_prefill_tokens) * capacity_share);
}

auto HasCapacity(const Replica& replica, const ReplicaPolicy& policy,
                 const PrefillEstimate& estimate, std::uint64_t shared_tokens,
                 const ExpectedLoad& load, double capacity_share) -> bool {
  if (!HasSlot(replica, policy, load, capacity_share)) return false;
  const auto limit = estimate.cached_shared_tokens < shared_tokens
                         ? policy.max_uncached_prefill_tokens
                         : policy.max_prefill_tokens;
  return load.prefill_tokens == 0 ||
         ScaledPrefill(policy, load, load.prefill_tokens + estimate.prefill_tokens) <=
             static_cast<double>(limit) * capacity_share;
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

// Expected time to the first event of a request without a prompt, in milliseconds, plus the cost of
// the distance and of a queue in the replica.
auto BaseCost(const Replica& replica, const ReplicaPolicy& policy, const Origin& origin,
              const ExpectedLoad& load) -> double {
  const double work_ms =
      policy.base_work_ms + load.in_flight * policy.request_cost_ms +
      static_cast<double>(load.prefill_tokens) / policy.prefill_tokens_per_ms * load.start_ratio;
  return DistanceCost(replica, policy, origin) + work_ms * load.pace +
         load.overrun * policy.overrun_cost_ms;
}

// Cost that a prompt adds, in milliseconds: its prefill, and the penalty of blocks that are
// prefilled again.
auto PrefillCost(const ReplicaPolicy& policy, const PrefillEstimate& estimate,
                 std::uint64_t shared_tokens, const ExpectedLoad& load) -> double {
  return static_cast<double>(estimate.prefill_tokens) / policy.prefill_tokens_per_ms * load.pace *
             load.start_ratio +
         static_cast<double>(shared_tokens - estimate.cached_shared_tokens) *
             policy.recompute_cost_ms;
}

// Time to the first part of the response by the load and the request's own prefill, without the
// learnt ratio.
auto CalculatedStart(const ReplicaPolicy& policy, const PrefillEstimate& estimate,
                     const ExpectedLoad& load) -> core::Duration {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const auto tokens = static_cast<double>(load.prefill_tokens + estimate.prefill_tokens);
  return std::chrono::duration_cast<core::Duration>(Milliseconds(
      policy.load_estimate.start_overhead_ms + tokens / policy.prefill_tokens_per_ms * load.pace));
}

// Replicas that may be chosen, the ejected one whose ejection ends first, and the time at which the
// first of those that want no requests reopens; zero if there is none.
struct Candidates {
  struct Candidate {
    const Replica* replica = nullptr;
    std::uint64_t score = 0;
  };
  // For a prompt with shared blocks, ordered by the rank in which replicas should cache them.
  std::vector<Candidate> items;
  // Cold replicas where it is this entry's turn, and whether there are others.
  std::vector<const Replica*> cold;
  bool has_cold_without_turn = false;
  const Replica* ejected = nullptr;
  core::Time reopens_at{};
};

auto FindCandidates(const ReplicaTable& table, const ReplicaPolicy& policy,
                    const std::map<std::string, Replica>& replicas, const Origin& origin,
                    const PlacementRequest& request, const Prompt& prompt, core::Time now)
    -> Candidates {
  Candidates out;
  const bool ranked = prompt.blocks.size() > 1;
  const auto hash = ranked ? SharedPrefixHash(prompt) : 0;
  out.items.reserve(replicas.size());
  for (const auto& [id, replica] : replicas) {
    if (!IsUsable(table, origin, replica, request, now)) continue;
    if (IsClosed(replica, now)) {
      const bool first = out.reopens_at == core::Time{} || replica.closed_until < out.reopens_at;
      if (first) out.reopens_at = replica.closed_until;
      continue;
    }
    const bool is_cold = IsCold(table.cold, request.service, id, now);
    if (is_cold && !HasColdTurn(table.cold, policy.cold, request.service, id, now)) {
      out.has_cold_without_turn = true;
      continue;
    }
    if (replica.ejected_until > now) {
      const bool first =
          out.ejected == nullptr || replica.ejected_until < out.ejected->ejected_until;
      if (first) out.ejected = &replica;
      continue;
    }
    if (is_cold) {
      out.cold.push_back(&replica);
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

// Chooses among the cold replicas where it is this entry's turn. A request that would otherwise
// wait uses the nearest one with capacity.
auto ChooseColdReplica(const ReplicaTable& table, const ReplicaPolicy& policy, const Origin& origin,
                       const PlacementRequest& request, const std::vector<const Replica*>& replicas,
                       core::Time now) -> ReplicaChoice {
  static const Prompt no_prompt;
  const auto& prompt = request.prompt == nullptr ? no_prompt : *request.prompt;
  const auto shared_tokens = SharedPrefixTokens(prompt);
  const auto blocks = ComputeBlockKeys(prompt);
  const double usual_ratio = UsualStartRatio(table, request.service, policy, now);
  ReplicaChoice choice;
  double best_cost = 0;
  for (const auto* replica : replicas) {
    const auto load = TotalLoad(table, *replica, policy, usual_ratio, now);
    const double cost = BaseCost(*replica, policy, origin, load);
    if (choice.status == ChoiceStatus::chosen && cost >= best_cost) continue;
    if (IsReserved(*replica, request)) continue;
    const auto estimate = EstimatePrefill(*replica, prompt, blocks, shared_tokens, false);
    if (!HasCapacity(*replica, policy, estimate, shared_tokens, load, request.capacity_share)) {
      continue;
    }
    choice = {ChoiceStatus::chosen,
              replica->listing.id,
              replica->listing.address,
              estimate.prefill_tokens,
              {}};
    best_cost = cost;
  }
  return choice;
}

auto EjectionTime(const ReplicaPolicy& policy, std::uint32_t doublings) -> core::Duration {
  constexpr std::uint32_t max_doublings = 10;
  const auto factor = std::int64_t{1} << std::min(doublings, max_doublings);
  return std::min(policy.ejection_time * factor, policy.max_ejection_time);
}

// Keeps what a replica that is about to be forgotten has told of its closing time.
auto KeepClosing(ReplicaTable& table, const Replica& replica) -> void {
  if (replica.closed_until == core::Time{}) return;
  table.closings[replica.listing.id] = {replica.latest_start_ms, replica.closed_until,
                                        replica.max_in_flight};
}

// Gives a replica that is listed again the closing time that its start has told before.
auto RestoreClosing(ReplicaTable& table, Replica& replica, const Listing& listing) -> void {
  const auto kept = table.closings.extract(listing.id);
  if (kept.empty() || listing.started_ms > kept.mapped().started_ms) return;
  replica.latest_start_ms = kept.mapped().started_ms;
  replica.closed_until = kept.mapped().closed_until;
  replica.max_in_flight = kept.mapped().max_in_flight;
}

}  // namespace

auto IsLeaving(const ReplicaTable& table, const Listing& listing) -> bool {
  const auto found = table.leaving.find(listing.id);
  return found != table.leaving.end() && listing.started_ms <= found->second.started_ms;
}

auto UpsertReplica(ReplicaTable& table, Listing listing) -> void {
  const auto id = listing.id;
  const auto previous = table.service_of.find(id);
  if (previous != table.service_of.end() && previous->second != listing.service) {
    DelistReplica(table, id, core::Time{});
  }
  table.service_of[id] = listing.service;
  const auto [entry, is_new] = table.services[listing.service].try_emplace(id);
  auto& replica = entry->second;
  if (is_new) RestoreClosing(table, replica, listing);
  if (replica.listing.started_ms != listing.started_ms ||
      replica.listing.address != listing.address) {
    replica.prefix_cache = {};
    replica.remote_in_flight = 0;
    replica.load_estimate = {};
    replica.failures = 0;
    replica.ejected_until = {};
  }
  if (listing.started_ms > replica.latest_start_ms) {
    replica.latest_start_ms = listing.started_ms;
    replica.closed_until = {};
    replica.max_in_flight = 0;
    replica.retry_after_ignored = false;
  }
  replica.told_leaving = IsLeaving(table, listing);
  replica.listing = std::move(listing);
  replica.removed = false;
  replica.delisted_until = {};
}

auto DelistReplica(ReplicaTable& table, const std::string& id, core::Time until) -> void {
  auto* replica = FindListedReplica(table, id);
  if (replica == nullptr) return;
  if (until == core::Time{}) {
    replica->removed = true;
    table.service_of.erase(id);
  } else if (replica->delisted_until == core::Time{}) {
    replica->delisted_until = until;
  }
}

auto RemoveExpiredReplicas(ReplicaTable& table, core::Time now) -> void {
  for (auto& [service, replicas] : table.services) {
    for (auto& [id, replica] : replicas) {
      if (replica.delisted_until == core::Time{} || replica.delisted_until > now) continue;
      if (!std::exchange(replica.removed, true)) table.service_of.erase(id);
    }
    std::erase_if(replicas, [&](const auto& item) {
      if (!item.second.removed || item.second.in_flight > 0) return false;
      KeepClosing(table, item.second);
      return true;
    });
  }
}

auto FindListedReplica(ReplicaTable& table, const std::string& id) -> Replica* {
  const auto service = table.service_of.find(id);
  return service == table.service_of.end() ? nullptr : FindReplica(table, service->second, id);
}

auto FindReplica(ReplicaTable& table, std::string_view service, const std::string& id) -> Replica* {
  const auto replicas = table.services.find(service);
  if (replicas == table.services.end()) return nullptr;
  const auto found = replicas->second.find(id);
  return found == replicas->second.end() ? nullptr : &found->second;
}

auto HasUsableReplica(const ReplicaTable& table, const Origin& origin,
                      const PlacementRequest& request, core::Time now) -> bool {
  const auto replicas = table.services.find(request.service);
  if (replicas == table.services.end()) return false;
  return std::any_of(replicas->second.begin(), replicas->second.end(), [&](const auto& item) {
    return IsUsable(table, origin, item.second, request, now);
  });
}

auto MaxCacheOwnerWait(const ReplicaPolicy& policy, const Prompt& prompt, core::Duration max_wait)
    -> core::Duration {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const Milliseconds prefill_time(SharedPrefixTokens(prompt) / policy.prefill_tokens_per_ms);
  const Milliseconds queue_limit =
      std::max(max_wait, core::Duration{}) * policy.max_cache_owner_wait_share;
  return std::chrono::duration_cast<core::Duration>(
      std::min(prefill_time * policy.max_cache_owner_wait, queue_limit));
}

auto ChooseReplica(const ReplicaTable& table, const ReplicaPolicy& policy, const Origin& origin,
                   const PlacementRequest& request, core::Time now) -> ReplicaChoice {
  static const Prompt no_prompt;
  const auto replicas = table.services.find(request.service);
  if (replicas == table.services.end()) return {};
  const auto& prompt = request.prompt == nullptr ? no_prompt : *request.prompt;
  const auto shared_tokens = SharedPrefixTokens(prompt);
  const auto blocks = ComputeBlockKeys(prompt);
  const auto candidates =
      FindCandidates(table, policy, replicas->second, origin, request, prompt, now);
  const bool ranked = prompt.blocks.size() > 1;
  const double usual_ratio = UsualStartRatio(table, request.service, policy, now);
  ReplicaChoice choice;
  bool has_blocks_cached = false;
  bool cache_owner_is_full = false;
  double best_cost = 0;
  for (std::size_t rank = 0; rank < candidates.items.size(); ++rank) {
    const auto& replica = *candidates.items[rank].replica;
    const auto load = TotalLoad(table, replica, policy, usual_ratio, now);
    const bool open = MayHaveCapacity(replica, policy, load, request.capacity_share) &&
                      !IsReserved(replica, request);
    if (choice.status == ChoiceStatus::chosen && !open) continue;
    // The lookup of cached blocks is expensive, so it comes last: when many requests wait, most
    // replicas are ruled out by their load alone.
    const double draw =
        request.random == 0 ? 0 : DrawForReplica(request.random, replica.listing.id);
    const double base = BaseCost(replica, policy, origin, load) - policy.spread_ms * draw;
    const auto best = open ? ChoiceStatus::chosen : ChoiceStatus::full;
    if (choice.status == best && base >= best_cost) continue;
    const auto estimate =
        EstimatePrefill(replica, prompt, blocks, shared_tokens, ranked && rank == 0);
    const auto status =
        open && HasCapacity(replica, policy, estimate, shared_tokens, load, request.capacity_share)
            ? ChoiceStatus::chosen
            : ChoiceStatus::full;
    if (rank == 0) cache_owner_is_full = status == ChoiceStatus::full;
    if (choice.status == ChoiceStatus::chosen && status == ChoiceStatus::full) continue;
    double cost = base + PrefillCost(policy, estimate, shared_tokens, load);
    if (estimate.cached_shared_tokens < shared_tokens) {
      cost += static_cast<double>(rank) * policy.rank_cost_ms;
    }
    if (choice.status == status && cost >= best_cost) continue;
    choice = {status,
              replica.listing.id,
              replica.listing.address,
              estimate.prefill_tokens,
              CalculatedStart(policy, estimate, load),
              {}};
    has_blocks_cached = estimate.cached_shared_tokens == shared_tokens;
    best_cost = cost;
  }
  const bool waits_for_cache_owner =
      ranked && request.may_wait_for_cache_owner && cache_owner_is_full && !has_blocks_cached;
  if (choice.status == ChoiceStatus::chosen && waits_for_cache_owner) {
    return {.status = ChoiceStatus::full};
  }
  if (choice.status != ChoiceStatus::chosen && !candidates.cold.empty()) {
    auto cold = ChooseColdReplica(table, policy, origin, request, candidates.cold, now);
    if (cold.status == ChoiceStatus::chosen) return cold;
  }
  const auto* ejected = candidates.ejected;
  if (choice.status != ChoiceStatus::none) return choice;
  // The request waits for its turn.
  const bool has_cold = candidates.has_cold_without_turn || !candidates.cold.empty();
  if (ejected == nullptr && has_cold) {
    choice.status = ChoiceStatus::full;
    return choice;
  }
  if (ejected == nullptr && candidates.reopens_at != core::Time{}) {
    choice.status = ChoiceStatus::closed;
    choice.reopens_at = candidates.reopens_at;
    return choice;
  }
  if (ejected == nullptr) return choice;
  // If every replica is ejected, use the one whose ejection ends first.
  const auto estimate = EstimatePrefill(*ejected, prompt, blocks, shared_tokens, false);
  const auto load = TotalLoad(table, *ejected, policy, usual_ratio, now);
  const bool has_capacity =
      !IsReserved(*ejected, request) &&
      HasCapacity(*ejected, policy, estimate, shared_tokens, load, request.capacity_share);
  return {has_capacity ? ChoiceStatus::chosen : ChoiceStatus::full,
          ejected->listing.id,
          ejected->listing.address,
          estimate.prefill_tokens,
          {},
          {}};
}

auto RecordAssignment(Replica& replica, const ReplicaPolicy& policy, const Prompt& prompt,
                      std::uint64_t prefill_tokens) -> void {
  ++replica.in_flight;
  replica.prefill_tokens += prefill_tokens;
  AddToPrefixCache(replica.prefix_cache, prompt, policy.cache_capacity_tokens);
}

auto RecordObservedStart(ReplicaTable& table, Replica& replica, const ReplicaPolicy& policy,
                         core::Duration calculated, core::Duration observed, core::Time now)
    -> void {
  for (auto* mean :
       {&replica.load_estimate.start_ratio, &table.start_ratios[replica.listing.service]}) {
    RecordStart(*mean, policy.load_estimate, calculated, observed, now);
  }
}

auto RecordPrefillDone(Replica& replica, std::uint64_t prefill_tokens) -> void {
  replica.prefill_tokens -= std::min(replica.prefill_tokens, prefill_tokens);
}

auto ReleaseSlot(Replica& replica) -> void {
  if (replica.in_flight > 0) --replica.in_flight;
}

auto SetPeerLoad(ReplicaTable& table, const std::string& peer, const std::string& replica,
                 ReplicaLoad load) -> bool {
  auto& current = table.peers[peer][replica];
  const bool freed =
      load.in_flight < current.in_flight || load.prefill_tokens < current.prefill_tokens;
  auto& sum = table.peer_load[replica];
  sum.in_flight += load.in_flight - current.in_flight;
  sum.prefill_tokens += load.prefill_tokens - current.prefill_tokens;
  current = load;
  if (sum == ReplicaLoad{}) table.peer_load.erase(replica);
  if (load == ReplicaLoad{}) table.peers[peer].erase(replica);
  return freed;
}

auto DropPeer(ReplicaTable& table, const std::string& peer) -> void {
  const auto loads = table.peers.find(peer);
  if (loads == table.peers.end()) return;
  const auto current = loads->second;
  for (const auto& [replica, load] : current) SetPeerLoad(table, peer, replica, {});
  table.peers.erase(peer);
}

auto RecordLoadReport(Replica& replica, const ReplicaPolicy& policy, const LoadReport& report,
                      core::Time now) -> void {
  const auto total = std::min(std::uint64_t{report.running} + report.waiting, kMaxReportedRequests);
  replica.remote_in_flight =
      total > replica.in_flight ? static_cast<std::uint32_t>(total) - replica.in_flight : 0;
  replica.reported_at = now;
  RecordReport(replica.load_estimate, policy.load_estimate, report, now);
}

auto RecordSuccess(Replica& replica) -> void {
  replica.failures = 0;
  replica.ejected_until = {};
  RecordReopeningSuccess(replica);
}

auto RecordFailure(Replica& replica, const ReplicaPolicy& policy, ReplicaFault fault,
                   core::Time now) -> void {
  ++replica.failures;
  if (fault == ReplicaFault::unreachable) {
    replica.failures = std::max(replica.failures, policy.failures_to_eject);
  }
  if (replica.failures < policy.failures_to_eject) return;
  replica.ejected_until = now + EjectionTime(policy, replica.failures - policy.failures_to_eject);
}

}  // namespace filbertstair::direct
