#include "filbertstair/direct/cold.h"

#include <algorithm>
#include <cmath>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::direct {
namespace {

// Returns the limit of the service, or null if it has none.
auto FindSpec(const ColdTable& table, std::string_view service) -> const ColdSpec* {
  const auto found = table.services.find(service);
  return found == table.services.end() || found->second.rate <= 0 ? nullptr : &found->second;
}

// Returns the window in which an entry sends one request. It is longer for rates below one request
// per window.
auto SendWindow(const ColdTable& table, const ColdPolicy& policy, std::string_view service)
    -> core::Duration {
  const auto* spec = FindSpec(table, service);
  if (spec == nullptr || spec->rate >= 1) return policy.window;
  const std::chrono::duration<double, std::micro> window(policy.window);
  return std::chrono::duration_cast<core::Duration>(std::min<decltype(window)>(
      window / spec->rate, std::chrono::duration<double, std::micro>(policy.max_report)));
}

auto FindRank(const ColdMembers& members, const std::string& id) -> std::size_t {
  std::vector<std::string> entries{members.self};
  for (const auto& [address, known_at] : members.others) entries.push_back(address);
  const auto order = core::RendezvousOrder(id, entries);
  return static_cast<std::size_t>(std::find(order.begin(), order.end(), std::size_t{0}) -
                                  order.begin());
}

// Extends the cold time of the replica. Requests that this entry sent while it took the replica for
// warm may still be in flight.
auto Extend(ColdTable& table, const ColdPolicy& policy, const std::string& service,
            const std::string& id, core::Duration left, core::Time now) -> bool {
  if (left <= core::Duration::zero()) return false;
  const auto [found, is_new] = table.replicas.try_emplace(id);
  auto& replica = found->second;
  const bool became_cold = replica.until <= now;
  const auto sent = table.warm_sends.find(id);
  if (became_cold && sent != table.warm_sends.end()) {
    replica.next_at = std::max(
        replica.next_at, sent->second + SendWindow(table, policy, service) + policy.max_flight);
  }
  if (is_new) replica.rank = FindRank(table.members, id);
  replica.until = std::max(replica.until, now + std::min(left, policy.max_report) + policy.reserve);
  return became_cold;
}

// Returns the number of first entries in the rendezvous order of which this one must be.
auto CountOwnSenders(const ColdMembers& members, const ColdPolicy& policy, const ColdSpec& spec)
    -> std::size_t {
  const auto senders = CountColdSenders(policy, spec);
  if (!members.young || members.others.empty()) return senders;
  return static_cast<std::size_t>(std::ceil(static_cast<double>(senders) * policy.young_share));
}

auto IsLimitedAt(const ColdReplica& replica, core::Time now) -> bool { return replica.until > now; }

}  // namespace

auto CountColdSenders(const ColdPolicy& policy, const ColdSpec& spec) -> std::size_t {
  if (spec.rate <= 0) return 0;
  // A rate above this number of entries is no limit in practice.
  constexpr double max_senders = 1'000'000;
  const double bound =
      std::floor(std::min(spec.rate * policy.overage + policy.margin, max_senders));
  const double senders = std::min(std::max(1.0, std::floor(spec.rate)),
                                  std::floor(bound / std::max(policy.max_unanswered, 1u)));
  return static_cast<std::size_t>(std::max(senders, 0.0));
}

auto RecordColdReport(ColdTable& table, const ColdPolicy& policy, const std::string& service,
                      const std::string& id, core::Duration cold_left, core::Time now) -> bool {
  return Extend(table, policy, service, id, cold_left, now);
}

auto RecordColdListing(ColdTable& table, const ColdPolicy& policy, const std::string& service,
                       const std::string& id, std::int64_t started_ms, core::Duration cold_left,
                       core::Time now) -> bool {
  if (table.first_listing_at == core::Time{}) table.first_listing_at = now;
  const auto [found, is_new_id] = table.starts.try_emplace(id);
  auto& start = found->second;
  const bool starts =
      is_new_id ? now - table.first_listing_at > policy.first_start : started_ms > start.started_ms;
  start = {std::max(start.started_ms, started_ms), now};
  const auto* spec = FindSpec(table, service);
  const auto cold_time = starts && spec != nullptr ? spec->cold_time : core::Duration::zero();
  return Extend(table, policy, service, id, std::max(cold_left, cold_time), now);
}

auto RecordColdEnd(ColdTable& table, const ColdPolicy& policy, const std::string& service,
                   const std::string& id, core::Time now) -> bool {
  const auto* spec = FindSpec(table, service);
  return spec != nullptr && Extend(table, policy, service, id, spec->cold_time, now);
}

auto RecordWarmSend(ColdTable& table, std::string_view service, const std::string& id,
                    core::Time now) -> void {
  if (FindSpec(table, service) != nullptr) table.warm_sends[id] = now;
}

auto IsCold(const ColdTable& table, std::string_view service, const std::string& id, core::Time now)
    -> bool {
  if (table.replicas.empty() || FindSpec(table, service) == nullptr) return false;
  const auto found = table.replicas.find(id);
  return found != table.replicas.end() && IsLimitedAt(found->second, now);
}

auto HasColdTurn(const ColdTable& table, const ColdPolicy& policy, std::string_view service,
                 const std::string& id, core::Time now) -> bool {
  const auto* spec = FindSpec(table, service);
  const auto found = table.replicas.find(id);
  if (spec == nullptr || found == table.replicas.end() || !table.members.enabled) return false;
  const auto& replica = found->second;
#ifdef FILBERTSTAIR_BROKEN_cold_rank
  return replica.next_at <= now;
#endif
  return replica.rank < CountOwnSenders(table.members, policy, *spec) && replica.next_at <= now &&
         replica.unanswered < policy.max_unanswered;
}

auto TakeColdTurn(ColdTable& table, const ColdPolicy& policy, std::string_view service,
                  const std::string& id, core::Time now) -> ColdTurn {
  ColdTurn turn;
  ++table.replicas[id].unanswered;
  RecordColdSend(table, policy, service, id, turn, now);
  return turn;
}

auto RecordColdSend(ColdTable& table, const ColdPolicy& policy, std::string_view service,
                    const std::string& id, ColdTurn& turn, core::Time now) -> void {
  turn.sent_at = now;
  auto& next_at = table.replicas[id].next_at;
  next_at = std::max(next_at, now + SendWindow(table, policy, service) + policy.max_flight);
}

auto RecordColdAnswer(ColdTable& table, const ColdPolicy& policy, std::string_view service,
                      const std::string& id, ColdTurn& turn, core::Time now) -> void {
  if (turn.answered) return;
  turn.answered = true;
  auto& replica = table.replicas[id];
  if (replica.unanswered > 0) --replica.unanswered;
  if (replica.unanswered > 0) return;
  // The response proves that the request arrived before it.
  const auto arrived_by = std::max(now, turn.sent_at + policy.min_flight);
  replica.next_at = std::min(replica.next_at, arrived_by + SendWindow(table, policy, service));
}

auto EndColdTurn(ColdTable& table, const ColdPolicy& policy, std::string_view service,
                 const std::string& id, ColdTurn& turn, core::Time now) -> void {
  if (turn.answered) return;
  turn.answered = true;
  auto& replica = table.replicas[id];
  if (replica.unanswered > 0) --replica.unanswered;
  // The request may still be in flight.
  replica.next_at = std::max(replica.next_at, now + SendWindow(table, policy, service));
}

auto UpdateColdMembers(ColdTable& table, const ColdPolicy& policy, const ColdView& view,
                       core::Time now) -> bool {
  auto& members = table.members;
  bool changed = false;
  for (const auto& address : view.others) {
    if (address == members.self) continue;
    const auto [found, is_new] = members.others.insert_or_assign(address, now);
    changed |= is_new;
  }
  changed |= std::erase_if(members.others, [&](const auto& item) {
               return now - item.second > policy.remember_entry;
             }) > 0;
  if (changed) {
    for (auto& [id, replica] : table.replicas) replica.rank = FindRank(members, id);
  }
  if (view.linked && members.linked_at == core::Time{}) members.linked_at = now;
  const bool settled = now - members.started_at >= policy.settle_time;
  const bool linked = view.linked && now - members.linked_at >= policy.link_time;
  const bool enabled = settled && (linked || members.others.empty());
  const bool switched = enabled != members.enabled;
  members.enabled = enabled;
  members.young = now - members.started_at < policy.remember_entry;
  return switched;
}

auto FindNextColdTurn(const ColdTable& table, const ColdPolicy& policy, core::Time now)
    -> std::optional<core::Time> {
  std::optional<core::Time> next;
  for (const auto& [id, replica] : table.replicas) {
    if (!IsLimitedAt(replica, now)) continue;
    const bool waits = table.members.enabled && replica.next_at > now &&
                       replica.unanswered < policy.max_unanswered;
    const auto at = waits ? std::min(replica.next_at, replica.until) : replica.until;
    next = std::min(next.value_or(at), at);
  }
  return next;
}

auto ForgetCold(ColdTable& table, const ColdPolicy& policy,
                const std::map<std::string, std::string>& listed, core::Time now) -> void {
  std::erase_if(table.replicas, [&](const auto& item) {
    return !IsLimitedAt(item.second, now) && item.second.unanswered == 0 &&
           item.second.next_at <= now;
  });
  std::erase_if(table.warm_sends,
                [&](const auto& item) { return now - item.second > policy.max_report; });
  for (auto& [id, start] : table.starts) {
    if (listed.contains(id)) start.listed_at = now;
  }
  std::erase_if(table.starts, [&](const auto& item) {
    return now - item.second.listed_at > policy.remember_start;
  });
}

}  // namespace filbertstair::direct
