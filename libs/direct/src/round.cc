#include "filbertstair/direct/round.h"

namespace filbertstair::direct {

auto ResolveNextRequest(AssignmentRound& round, const AssignmentInput& input, core::Time now)
    -> std::optional<ResolvedRequest> {
  while (const auto next = PeekNextRequest(input.queue, input.queue_policy, now, round.skipped)) {
    const auto& workspace = *next->workspace;
    auto request = input.make_request(next->waiter->ticket);
    request.capacity_share = CapacityShare(input.queue, input.queue_policy, workspace, now);
    request.reserved = &round.reserved;
    const auto choice =
        ChooseReplica(input.replicas, input.replica_policy, input.origin, request, now);
    if (choice.status != ChoiceStatus::full) {
      return ResolvedRequest{workspace, next->waiter->ticket, choice};
    }
    round.reserved.insert(choice.id);
    round.skipped.insert(next->waiter->ticket);
  }
  return std::nullopt;
}

}  // namespace filbertstair::direct
