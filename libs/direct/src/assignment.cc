#include "filbertstair/direct/assignment.h"

#include <utility>

namespace filbertstair::direct {

auto Assign(const AssignmentTables& tables, const std::string& service,
            const std::string& workspace, const Choice& choice, const Prompt& prompt, double cost,
            core::Time now) -> Assignment {
  auto& replica = *Find(tables.replicas, service, choice.id);
  Assigned(replica, tables.replica_policy, prompt, choice.unread);
  Charge(tables.queue, tables.queue_policy, workspace, cost, now);
  return {.service = service,
          .workspace = workspace,
          .replica = choice.id,
          .address = choice.address,
          .cost = cost,
          .charged_at = now,
          .unread = choice.unread};
}

auto Begin(const AssignmentTables& tables, Assignment& assignment) -> void {
  assignment.begun = true;
  auto* replica = Find(tables.replicas, assignment.service, assignment.replica);
  const auto unread = std::exchange(assignment.unread, 0);
  if (replica != nullptr) Began(*replica, unread);
}

auto End(const AssignmentTables& tables, Assignment& assignment, core::Time now) -> void {
  if (!assignment.begun) {
    const Recent charged{assignment.cost, assignment.charged_at};
    Charge(tables.queue, tables.queue_policy, assignment.workspace,
           -Used(charged, tables.queue_policy, now), now);
  }
  auto* replica = Find(tables.replicas, assignment.service, assignment.replica);
  const auto unread = std::exchange(assignment.unread, 0);
  if (replica == nullptr) return;
  Began(*replica, unread);
  Ended(*replica);
}

}  // namespace filbertstair::direct
