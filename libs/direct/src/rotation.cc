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

}  // namespace

auto MayLeaveRotation(const RotationPolicy& policy, const RotationMember& self,
                      std::span<const RotationMember> others) -> bool {
  const auto count = others.size() + 1;
  if (count <= kSmallDomain) return true;
  const auto needed = std::ceil(static_cast<double>(count) * policy.min_serving_share);
  const auto unavailable =
      std::count_if(others.begin(), others.end(), [&](const RotationMember& other) {
        return other.state == RotationState::out ||
               (other.state == RotationState::lagging && LeavesRotationBefore(other, self));
      });
  return static_cast<double>(count) - static_cast<double>(unavailable) - 1 >= needed;
}

}  // namespace filbertstair::direct
