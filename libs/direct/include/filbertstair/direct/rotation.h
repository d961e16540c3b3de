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
  // Fraction of a failure domain's entries that must accept new callers. With fewer the balancer
  // uses all of them, so that a flood falls on every entry, also on those that left the rotation
  // because of it.
  double min_serving_share = 0.5;
};

// Whether the overloaded entry `self` may leave new callers to the others of its failure domain.
// Enough entries must stay; those with the fewest cores leave first, as a flood costs them the
// largest part of their time. In a domain of one or two entries all may leave: the balancer then
// uses other failure domains.
auto MayLeaveRotation(const RotationPolicy& policy, const RotationMember& self,
                      std::span<const RotationMember> others) -> bool;

// Whether lagging entries of the failure domain of `self` have to stay in rotation, as more lag
// than may leave. One that has recovered should then return early: it relieves an entry on which a
// flood of callers falls, and the balancer may spread these callers otherwise over the entries that
// stay.
auto MustLaggingStay(const RotationPolicy& policy, const RotationMember& self,
                     std::span<const RotationMember> others) -> bool;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_ROTATION_H_
