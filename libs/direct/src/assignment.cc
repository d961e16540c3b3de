#include "filbertstair/direct/assignment.h"

#include <utility>

namespace filbertstair::direct {

auto AssignRequest(const AssignmentTables& tables, const std::string& service,
                   const std::string& workspace, const ReplicaChoice& choice, const Prompt& prompt,
                   double cost, core::Time now) -> Assignment {
  auto& replica = *FindReplica(tables.replicas, service, choice.id);
  RecordAssignment(replica, tables.replica_policy, prompt, choice.prefill_tokens);
  ChargeService(tables.queue, tables.queue_policy, workspace, cost, now);
  std::optional<ColdTurn> cold_turn;
  if (IsCold(tables.replicas.cold, service, choice.id, now)) {
    cold_turn =
        TakeColdTurn(tables.replicas.cold, tables.replica_policy.cold, service, choice.id, now);
  } else {
    RecordWarmSend(tables.replicas.cold, service, choice.id, now);
  }
  return {.service = service,
          .workspace = workspace,
          .replica = choice.id,
          .address = choice.address,
          .cost = cost,
          .charged_at = now,
          .prefill_tokens = choice.prefill_tokens,
          .calculated_start = choice.calculated_start,
          .cold_turn = cold_turn};
}

auto RecordResponseHead(Assignment& assignment, core::Time now) -> void {
  assignment.stage = AttemptStage::head;
  assignment.head_received_at = now;
}

auto RecordResponseStart(const AssignmentTables& tables, Assignment& assignment, core::Time now)
    -> void {
  assignment.stage = AttemptStage::content;
  auto* replica = FindReplica(tables.replicas, assignment.service, assignment.replica);
  const auto prefill_tokens = std::exchange(assignment.prefill_tokens, 0);
  if (replica == nullptr) return;
  // Elsewhere the calculated time is close, and the limits of pending prefill stay as they are.
  const bool varies = tables.queue.order == QueueOrder::newest_first;
  if (varies && prefill_tokens > 0) {
    RecordObservedStart(tables.replicas, *replica, tables.replica_policy,
                        assignment.calculated_start, now - assignment.charged_at, now);
  }
  RecordPrefillDone(*replica, prefill_tokens);
}

auto FinishAssignment(const AssignmentTables& tables, Assignment& assignment, core::Time now)
    -> void {
  if (assignment.stage != AttemptStage::content) {
    const DecayingService charged_service{assignment.cost, assignment.charged_at};
    ChargeService(tables.queue, tables.queue_policy, assignment.workspace,
                  -RecentService(charged_service, tables.queue_policy, now), now);
  }
  if (assignment.cold_turn) {
    EndColdTurn(tables.replicas.cold, tables.replica_policy.cold, assignment.service,
                assignment.replica, *assignment.cold_turn, now);
  }
  auto* replica = FindReplica(tables.replicas, assignment.service, assignment.replica);
  const auto prefill_tokens = std::exchange(assignment.prefill_tokens, 0);
  if (replica == nullptr) return;
  RecordPrefillDone(*replica, prefill_tokens);
  ReleaseSlot(*replica);
}

}  // namespace filbertstair::direct
