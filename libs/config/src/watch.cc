#include "filbertstair/config/watch.h"

#include <algorithm>
#include <string>
#include <vector>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::config {
namespace {

auto BackoffInterval(core::Duration interval, core::Duration limit, std::uint32_t failures)
    -> core::Duration {
  return std::min(limit, interval * (std::int64_t{1} << std::min(failures, 16U)));
}

}  // namespace

auto RecordPlatformAnswer(WatchState& state, core::Time now) -> void {
  state.last_contact = std::max(state.last_contact, now);
  state.failures = 0;
}

auto RecordPlatformFailure(WatchState& state) -> void { ++state.failures; }

auto RecordReportedContact(WatchState& state, core::Duration age, core::Time now) -> void {
  state.last_contact = std::max(state.last_contact, now - std::max(age, core::Duration::zero()));
}

auto ContactAge(const WatchState& state, core::Time now) -> core::Duration {
  return std::max(now - state.last_contact, core::Duration::zero());
}

auto DecideWatch(const std::string& self, std::span<const RegionMember> members,
                 const WatchState& state, const WatchRules& rules, double jitter, core::Time now)
    -> WatchDecision {
  std::vector<std::string> ids;
  bool listed = false;
  for (const auto& member : members) {
    listed = listed || member.id == self;
    if (!member.suspected || member.id == self) ids.push_back(member.id);
  }
  if (!listed) return {};
  const auto order = core::RendezvousOrder("watch", ids);
  for (std::size_t rank = 0; rank < std::min(rules.watchers, order.size()); ++rank) {
    if (ids[order[rank]] == self) {
      return {WatchReason::elected,
              BackoffInterval(rules.elected_interval, rules.elected_interval_max, state.failures)};
    }
  }
  const auto spread = std::chrono::duration_cast<core::Duration>(std::clamp(jitter, 0.0, 1.0) *
                                                                 rules.fallback_spread);
  if (ContactAge(state, now) <= rules.fallback_after + spread) return {};
  return {WatchReason::fallback,
          BackoffInterval(rules.fallback_interval, rules.fallback_interval_max, state.failures)};
}

}  // namespace filbertstair::config
