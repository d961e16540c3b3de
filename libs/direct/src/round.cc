#include "filbertstair/direct/round.h"

namespace filbertstair::direct {

auto NextSettled(Round& round, const RoundInput& input, core::Time now) -> std::optional<Settled> {
  while (const auto next = PeekNext(input.queue, input.queue_policy, now, round.passed)) {
    const auto& workspace = *next->workspace;
    auto need = input.need(next->waiter->ticket);
    need.room = RoomShare(input.queue, input.queue_policy, workspace, now);
    need.reserved = &round.reserved;
    const auto choice = Choose(input.replicas, input.replica_policy, input.origin, need, now);
    if (choice.status != ChoiceStatus::full) {
      return Settled{workspace, next->waiter->ticket, choice};
    }
    round.reserved.insert(choice.id);
    round.passed.insert(next->waiter->ticket);
  }
  return std::nullopt;
}

}  // namespace filbertstair::direct
