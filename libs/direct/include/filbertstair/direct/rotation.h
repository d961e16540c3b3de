#ifndef FILBERTSTAIR_DIRECT_ROTATION_H_
#define FILBERTSTAIR_DIRECT_ROTATION_H_

#include <span>
#include <string>

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

using core::RotationState;

// An entry of a failure domain.
struct RotationMember {
  std::string id;
  // Processor cores that it may use.
  double cores = 1;
  RotationState state = RotationState::serving;
};

struct RotationPolicy {
  // Part of a failure domain's entries that must take new callers. With fewer the balancer uses all
  // of them, so that a flood falls on every entry, also on those that left because of it.
  double min_serving_share = 0.5;
};

// Whether the entry `self`, which is behind with its work, may leave new callers to the others of
// its failure domain. Only so many leave that enough stay; the weakest ones leave first, as a flood
// costs them the largest part of their time. One or two entries may all leave: the balancer then
// turns to other failure domains.
auto MayLeaveRotation(const RotationPolicy& policy, const RotationMember& self,
                      std::span<const RotationMember> others) -> bool;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_ROTATION_H_
