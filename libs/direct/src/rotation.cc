#include "filbertstair/direct/rotation.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace filbertstair::direct {
namespace {

// Largest failure domain of which all entries may leave: with two entries, there is no useful
// number between all and none.
constexpr std::size_t kSmallDomain = 2;

auto LeavesRotationBefore(const RotationMember& a, const RotationMember& b) -> bool {
  return std::tie(a.cores, a.id) < std::tie(b.cores, b.id);
}

// Returns how many entries have to stay in rotation.
auto CountNeeded(const RotationPolicy& policy, std::size_t count) -> std::size_t {
  return static_cast<std::size_t>(std::ceil(static_cast<double>(count) * policy.min_serving_share));
}

}  // namespace

auto MayLeaveRotation(const RotationPolicy& policy, const RotationMember& self,
                      std::span<const RotationMember> others) -> bool {
  const auto count = others.size() + 1;
  if (count <= kSmallDomain) return true;
  const auto unavailable = static_cast<std::size_t>(
      std::count_if(others.begin(), others.end(), [&](const RotationMember& other) {
        return other.state == RotationState::out ||
               (other.state == RotationState::lagging && LeavesRotationBefore(other, self));
      }));
  return count - unavailable >= CountNeeded(policy, count) + 1;
}

auto MustLaggingStay(const RotationPolicy& policy, const RotationMember& self,
                     std::span<const RotationMember> others) -> bool {
  const auto count = others.size() + 1;
  if (count <= kSmallDomain) return false;
  const auto is_serving = [](const RotationMember& member) {
    return member.state == RotationState::serving;
  };
  const auto serving = static_cast<std::size_t>(
      std::count_if(others.begin(), others.end(), is_serving) + (is_serving(self) ? 1 : 0));
  return serving < CountNeeded(policy, count);
}

}  // namespace filbertstair::direct
