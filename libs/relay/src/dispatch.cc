#include <algorithm>
#include <functional>

#include "state.h"

namespace filbertstair::relay {
namespace {

// Updates on cached prefix blocks that are retained for entries that link up later.
constexpr std::size_t kMaxPrefixUpdates = 2048;

auto ToTables(Relay& relay, DispatchTable& table, const std::string& service)
    -> direct::AssignmentTables {
  return {table.queues[service], relay.policies.queue, table.replicas, relay.policies.replicas};
}

auto AssignReplica(Relay& relay, DispatchTable& table, PendingRequest& pending,
                   const direct::ReplicaChoice& choice, core::Time now) -> void {
  static const direct::Prompt no_prompt;
  auto& replica = *direct::FindReplica(table.replicas, pending.service, choice.id);
  const auto& prompt = pending.prompt == nullptr ? no_prompt : *pending.prompt;
  for (const auto& block : direct::UncachedSharedBlocks(replica.prefix_cache, prompt)) {
    table.prefix_updates.push_back({choice.id, block});
    ++table.prefix_update_count;
  }
  while (table.prefix_updates.size() > kMaxPrefixUpdates) table.prefix_updates.pop_front();
  pending.assignment =
      direct::AssignRequest(ToTables(relay, table, pending.service), pending.service,
                            pending.workspace, choice, prompt, pending.cost, now);
  // The wait for capacity ends at the next turn, which is later now.
  if (pending.assignment->cold_turn) relay.capacity_freed.Notify();
  table.usage[pending.service][pending.workspace].admitted += pending.cost;
}

// Removes a waiting request and wakes its fiber.
auto ResolvePending(DispatchTable& table, direct::FairQueue& queue, const std::string& workspace,
                    direct::Ticket ticket) -> void {
  const auto pending = table.pending.at(ticket);
  direct::RemoveWaiter(queue, workspace, ticket);
  table.pending.erase(ticket);
  pending->changed.Notify();
}

auto MakePlacementRequest(const PendingRequest& pending, core::Time now)
    -> direct::PlacementRequest {
  return {.service = pending.service,
          .prompt = pending.prompt,
          .tried = pending.tried,
          .may_wait_for_cache_owner = now < pending.cache_owner_wait_until,
          .wait_until = pending.latest,
          .residency = pending.residency,
          .random = pending.random};
}

// Returns the number with which the request's replica is drawn. Entries choose alike, without a
// draw, where the capacity of the service does not vary.
auto RandomNumber(const direct::FairQueue& queue, const Call& call) -> std::uint64_t {
  if (queue.order != direct::QueueOrder::newest_first) return 0;
  return std::hash<std::string>()(call.id);
}

// Resolves waiting requests without an assignment.
auto ResolveUnassigned(DispatchTable& table, const std::vector<direct::Ticket>& tickets) -> void {
  for (const auto ticket : tickets) {
    auto& pending = *table.pending.at(ticket);
    pending.unassignable = true;
    table.rounds[pending.service].skipped.erase(ticket);
    ResolvePending(table, table.queues[pending.service], pending.workspace, ticket);
  }
}

// Continues the assignment round of the service.
auto ContinueRound(Relay& relay, DispatchTable& table, const std::string& service) -> void {
  const auto found = table.queues.find(service);
  if (found == table.queues.end()) return;
  auto& queue = found->second;
  const auto now = node::Now();
  const auto make_request = [&](direct::Ticket ticket) {
    const auto& pending = *table.pending.at(ticket);
    return MakePlacementRequest(pending, now);
  };
  const direct::AssignmentInput input{queue,          relay.policies.queue,
                                      table.replicas, relay.policies.replicas,
                                      relay.origin,   make_request};
  auto& round = table.rounds[service];
  while (const auto resolved = direct::ResolveNextRequest(round, input, now)) {
    auto& pending = *table.pending.at(resolved->ticket);
    if (resolved->choice.status == direct::ChoiceStatus::chosen) {
      AssignReplica(relay, table, pending, resolved->choice, now);
    } else {
      pending.unassignable = true;
    }
    ResolvePending(table, queue, resolved->workspace, resolved->ticket);
  }
}

}  // namespace

auto AssignWaiting(Relay& relay, DispatchTable& table, const std::string& service) -> void {
  table.rounds[service] = {};
  ContinueRound(relay, table, service);
}

auto ServeNewestFirst(Relay& relay, DispatchTable& table, const std::string& service) -> void {
  constexpr auto order = direct::QueueOrder::newest_first;
  if (!direct::SetOrder(table.queues[service], order)) return;
  relay.capacity_varies = true;
  telemetry::Log(telemetry::Level::info, telemetry::Event::queue_order_changed,
                 {{"service", service}, {"order", core::Name(order)}});
}

auto ResolveQuarantined(Relay& relay, DispatchTable& table) -> void {
  const auto now = node::Now();
  std::vector<direct::Ticket> tickets;
  for (const auto& [ticket, pending] : table.pending) {
    if (pending->prompt == nullptr) continue;
    if (direct::FindQuarantine(table.quarantine, relay.policies.quarantine, *pending->prompt,
                               now)) {
      tickets.push_back(ticket);
    }
  }
  ResolveUnassigned(table, tickets);
}

auto ResolveUnplaceable(Relay& relay, DispatchTable& table) -> void {
  const auto now = node::Now();
  std::vector<direct::Ticket> tickets;
  for (const auto& [ticket, pending] : table.pending) {
    const auto request = MakePlacementRequest(*pending, now);
    if (!direct::HasUsableReplica(table.replicas, relay.origin, request, now)) {
      tickets.push_back(ticket);
    }
  }
  ResolveUnassigned(table, tickets);
}

auto AcquireReplica(Relay& relay, Call& call, core::Time latest) -> std::optional<Assignment> {
  call.pending = std::make_shared<PendingRequest>();
  const auto pending = call.pending;
  pending->service = call.service;
  pending->prompt = call.head.prompt ? &*call.head.prompt : nullptr;
  pending->tried = &call.tried;
  pending->workspace = call.workspace;
  pending->cost = call.cost;
  pending->latest = latest;
  pending->residency = call.residency;
  pending->cache_owner_wait_until = node::Now();
  if (pending->prompt != nullptr) {
    pending->cache_owner_wait_until += direct::MaxCacheOwnerWait(
        relay.policies.replicas, *pending->prompt, latest - pending->cache_owner_wait_until);
  }
  const auto ticket = relay.dispatch.With([&](DispatchTable& table) {
    const auto id = ++table.last_ticket;
    auto& queue = table.queues[call.service];
    pending->queued_ahead = queue.waiting;
    pending->random = RandomNumber(queue, call);
    // A round that has skipped many requests would not reach this one before it times out.
    const auto now = node::Now();
    if (!direct::HasUsableReplica(table.replicas, relay.origin, MakePlacementRequest(*pending, now),
                                  now)) {
      pending->unassignable = true;
      return id;
    }
    table.pending[id] = pending;
    direct::Enqueue(queue, call.workspace, {id, call.route->priority, pending->cost});
    ContinueRound(relay, table, call.service);
    return id;
  });
  WakePeers(relay);
  const auto resolved = [&] {
    return relay.dispatch.With(
        [&](const DispatchTable&) { return pending->assignment || pending->unassignable; });
  };
  while (!resolved() && !call.caller_disconnected && !call.stopped && node::Now() < latest) {
    const bool waits_for_cache_owner = node::Now() < pending->cache_owner_wait_until;
    const auto wait_until =
        waits_for_cache_owner ? std::min(latest, pending->cache_owner_wait_until) : latest;
    const bool notified = pending->changed.WaitUntil(wait_until);
    // Other replicas may have capacity for the request, which nothing else would signal.
    if (!notified && waits_for_cache_owner) relay.capacity_freed.Notify();
  }
  return relay.dispatch.With([&](DispatchTable& table) {
    if (table.pending.erase(ticket) > 0) {
      direct::RemoveWaiter(table.queues[call.service], call.workspace, ticket);
      table.rounds[call.service].skipped.erase(ticket);
    }
    return pending->assignment;
  });
}

auto AssignSuccessor(Relay& relay, const Call& call) -> std::optional<Assignment> {
  const auto entries = CountEntries(relay);
  auto tried = call.tried;
  tried.insert(call.replica);
  PendingRequest pending;
  pending.service = call.service;
  pending.prompt = call.head.prompt ? &*call.head.prompt : nullptr;
  pending.workspace = call.workspace;
  pending.cost = call.cost;
  relay.dispatch.With([&](DispatchTable& table) {
    const auto now = node::Now();
    // Stored only if a replica is assigned.
    auto& stored = FindOrAddBudget(relay, table, call.service);
    auto budget = stored;
    if (!direct::TryConsumeRetry(budget, relay.policies.budget, entries, now)) return;
    // Waiting requests come first: each has been offered all replicas, and those for which it waits
    // are reserved.
    const direct::PlacementRequest request{
        .service = call.service,
        .prompt = pending.prompt,
        .tried = &tried,
        .capacity_share = direct::CapacityShare(table.queues[call.service], relay.policies.queue,
                                                call.workspace, now),
        .reserved = &table.rounds[call.service].reserved,
        .wait_until = now,
        .residency = call.residency,
        .random = RandomNumber(table.queues[call.service], call)};
    const auto choice =
        direct::ChooseReplica(table.replicas, relay.policies.replicas, relay.origin, request, now);
    if (choice.status != direct::ChoiceStatus::chosen) return;
    if (direct::FindReplica(table.replicas, call.service, choice.id)->ejected_until > now) return;
    stored = budget;
    AssignReplica(relay, table, pending, choice, now);
  });
  if (pending.assignment) WakePeers(relay);
  return pending.assignment;
}

auto MarkResponseStarted(Relay& relay, Assignment& assignment) -> void {
  if (assignment.stage == direct::AttemptStage::content) return;
  const bool frees_capacity = assignment.prefill_tokens > 0;
  relay.dispatch.With([&](DispatchTable& table) {
    table.usage[assignment.service][assignment.workspace].started += assignment.cost;
    direct::RecordResponseStart(ToTables(relay, table, assignment.service), assignment,
                                node::Now());
  });
  if (!frees_capacity) return;
  relay.capacity_freed.Notify();
  WakePeers(relay);
}

auto ReleaseAssignment(Relay& relay, Assignment& assignment) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    direct::FinishAssignment(ToTables(relay, table, assignment.service), assignment, node::Now());
  });
  relay.capacity_freed.Notify();
  WakePeers(relay);
}

}  // namespace filbertstair::relay
