#include "filbertstair/direct/round.h"

#include <algorithm>

namespace filbertstair::direct {
namespace {

// Interval times cores, and the bounds of the interval. The upper one is well below the time that a
// request may wait.
constexpr core::Duration kCoreInterval = std::chrono::milliseconds(5);
constexpr core::Duration kMinInterval = std::chrono::milliseconds(10);
constexpr core::Duration kMaxInterval = std::chrono::milliseconds(60);

}  // namespace

auto RoundInterval(double cores) -> core::Duration {
  if (cores * kMaxInterval <= kCoreInterval) return kMaxInterval;
  const auto interval = std::chrono::duration_cast<core::Duration>(kCoreInterval / cores);
  return std::max(interval, kMinInterval);
}

auto ResolveNextRequest(AssignmentRound& round, const AssignmentInput& input, core::Time now)
    -> std::optional<ResolvedRequest> {
  while (const auto next = PeekNextRequest(input.queue, input.queue_policy, now, round.skipped)) {
    const auto& workspace = *next->workspace;
    auto request = input.make_request(next->waiter->ticket);
    request.capacity_share = CapacityShare(input.queue, input.queue_policy, workspace, now);
    request.reserved = &round.reserved;
    const auto choice =
        ChooseReplica(input.replicas, input.replica_policy, input.origin, request, now);
    const bool waits_for_reopening =
        choice.status == ChoiceStatus::closed && choice.reopens_at < request.wait_until;
    if (choice.status != ChoiceStatus::full && !waits_for_reopening) {
      return ResolvedRequest{workspace, next->waiter->ticket, choice};
    }
    if (!choice.id.empty()) round.reserved.insert(choice.id);
    round.skipped.insert(next->waiter->ticket);
  }
  return std::nullopt;
}

}  // namespace filbertstair::direct
