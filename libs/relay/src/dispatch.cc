#include "state.h"

namespace filbertstair::relay {
namespace {

// News of shared parts that are kept for entries that link up later.
constexpr std::size_t kMaxKeptNews = 2048;

auto ToTables(Relay& relay, DispatchTable& table, const std::string& service)
    -> direct::AssignmentTables {
  return {table.queues[service], relay.policies.queue, table.replicas, relay.policies.replicas};
}

auto Assign(Relay& relay, DispatchTable& table, Pending& pending,
            const direct::ReplicaChoice& choice, core::Time now) -> void {
  static const direct::Prompt no_prompt;
  auto& replica = *direct::FindReplica(table.replicas, pending.service, choice.id);
  const auto& prompt = pending.prompt == nullptr ? no_prompt : *pending.prompt;
  for (const auto& part : direct::UncachedSharedBlocks(replica.prefix_cache, prompt)) {
    table.kept_news.push_back({choice.id, part});
    ++table.kept_count;
  }
  while (table.kept_news.size() > kMaxKeptNews) table.kept_news.pop_front();
  pending.assignment =
      direct::AssignRequest(ToTables(relay, table, pending.service), pending.service,
                            pending.workspace, choice, prompt, pending.cost, now);
  table.usage[pending.service][pending.workspace].admitted += pending.cost;
}

// Removes a waiting request and wakes its fiber.
auto Settle(DispatchTable& table, direct::FairQueue& queue, const std::string& workspace,
            direct::Ticket ticket) -> void {
  const auto pending = table.pending.at(ticket);
  direct::RemoveWaiter(queue, workspace, ticket);
  table.pending.erase(ticket);
  pending->changed.Notify();
}

// Goes on with the round of assignments of the service.
auto ContinueRound(Relay& relay, DispatchTable& table, const std::string& service) -> void {
  const auto found = table.queues.find(service);
  if (found == table.queues.end()) return;
  auto& queue = found->second;
  const auto now = node::Now();
  const auto need = [&](direct::Ticket ticket) {
    const auto& pending = *table.pending.at(ticket);
    return direct::PlacementRequest{
        .service = service, .prompt = pending.prompt, .tried = pending.tried};
  };
  const direct::AssignmentInput input{
      queue, relay.policies.queue, table.replicas, relay.policies.replicas, relay.origin, need};
  auto& round = table.rounds[service];
  while (const auto settled = direct::ResolveNextRequest(round, input, now)) {
    auto& pending = *table.pending.at(settled->ticket);
    if (settled->choice.status == direct::ChoiceStatus::chosen) {
      Assign(relay, table, pending, settled->choice, now);
    } else {
      pending.hopeless = true;
    }
    Settle(table, queue, settled->workspace, settled->ticket);
  }
}

}  // namespace

auto AssignWaiting(Relay& relay, DispatchTable& table, const std::string& service) -> void {
  table.rounds[service] = {};
  ContinueRound(relay, table, service);
}

auto Acquire(Relay& relay, Call& call, core::Time latest) -> std::optional<Assignment> {
  call.pending = std::make_shared<Pending>();
  const auto pending = call.pending;
  pending->service = call.service;
  pending->prompt = call.head.prompt ? &*call.head.prompt : nullptr;
  pending->tried = &call.tried;
  pending->workspace = call.workspace;
  pending->cost = call.cost;
  const auto ticket = relay.dispatch.With([&](DispatchTable& table) {
    const auto id = ++table.last_ticket;
    auto& queue = table.queues[call.service];
    table.pending[id] = pending;
    pending->ahead = queue.waiting;
    direct::Enqueue(queue, call.workspace, {id, call.route->priority, pending->cost});
    ContinueRound(relay, table, call.service);
    return id;
  });
  WakePeers(relay);
  const auto settled = [&] {
    return relay.dispatch.With(
        [&](const DispatchTable&) { return pending->assignment || pending->hopeless; });
  };
  while (!settled() && !call.caller_gone && !call.stopped && node::Now() < latest) {
    pending->changed.WaitUntil(latest);
  }
  return relay.dispatch.With([&](DispatchTable& table) {
    if (table.pending.erase(ticket) > 0) {
      direct::RemoveWaiter(table.queues[call.service], call.workspace, ticket);
      table.rounds[call.service].skipped.erase(ticket);
    }
    return pending->assignment;
  });
}

auto NoteBegun(Relay& relay, Assignment& assignment) -> void {
  if (assignment.started) return;
  const bool frees = assignment.prefill_tokens > 0;
  relay.dispatch.With([&](DispatchTable& table) {
    table.usage[assignment.service][assignment.workspace].started += assignment.cost;
    direct::RecordResponseStart(ToTables(relay, table, assignment.service), assignment);
  });
  if (!frees) return;
  relay.freed.Notify();
  WakePeers(relay);
}

auto Release(Relay& relay, Assignment& assignment) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    direct::FinishAssignment(ToTables(relay, table, assignment.service), assignment, node::Now());
  });
  relay.freed.Notify();
  WakePeers(relay);
}

}  // namespace filbertstair::relay
