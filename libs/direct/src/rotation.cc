#include "filbertstair/direct/rotation.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace filbertstair::direct {
namespace {

// Entries of a failure domain of which all may leave: no number between enough and none is left.
constexpr std::size_t kSmallDomain = 2;

auto LeavesBefore(const RotationMember& a, const RotationMember& b) -> bool {
  return std::tie(a.cores, a.id) < std::tie(b.cores, b.id);
}

}  // namespace

auto MayLeave(const RotationPolicy& policy, const RotationMember& self,
              std::span<const RotationMember> others) -> bool {
  const auto count = others.size() + 1;
  if (count <= kSmallDomain) return true;
  const auto needed = std::ceil(static_cast<double>(count) * policy.least_serving);
  const auto gone = std::count_if(others.begin(), others.end(), [&](const RotationMember& other) {
    return other.state == RotationState::out ||
           (other.state == RotationState::lagging && LeavesBefore(other, self));
  });
  return static_cast<double>(count) - static_cast<double>(gone) - 1 >= needed;
}

}  // namespace filbertstair::direct
