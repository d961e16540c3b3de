#include "filbertstair/direct/assignment.h"

#include <utility>

namespace filbertstair::direct {

auto Assign(const Books& books, const std::string& service, const std::string& workspace,
            const Choice& choice, const Prompt& prompt, double cost, core::Time now) -> Assignment {
  auto& replica = *Find(books.replicas, service, choice.id);
  Assigned(replica, books.replica_policy, prompt, choice.unread);
  Charge(books.queue, books.queue_policy, workspace, cost, now);
  return {.service = service,
          .workspace = workspace,
          .replica = choice.id,
          .address = choice.address,
          .cost = cost,
          .charged_at = now,
          .unread = choice.unread};
}

auto Begin(const Books& books, Assignment& assignment) -> void {
  assignment.begun = true;
  auto* replica = Find(books.replicas, assignment.service, assignment.replica);
  const auto unread = std::exchange(assignment.unread, 0);
  if (replica != nullptr) Began(*replica, unread);
}

auto End(const Books& books, Assignment& assignment, core::Time now) -> void {
  if (!assignment.begun) {
    const Recent charged{assignment.cost, assignment.charged_at};
    Charge(books.queue, books.queue_policy, assignment.workspace,
           -Used(charged, books.queue_policy, now), now);
  }
  auto* replica = Find(books.replicas, assignment.service, assignment.replica);
  const auto unread = std::exchange(assignment.unread, 0);
  if (replica == nullptr) return;
  Began(*replica, unread);
  Ended(*replica);
}

}  // namespace filbertstair::direct
