#ifndef FILBERTSTAIR_DIRECT_SEND_CHECK_H_
#define FILBERTSTAIR_DIRECT_SEND_CHECK_H_

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"
#include "filbertstair/direct/replicas.h"
#include "filbertstair/direct/residency.h"

// The check of an assigned request immediately before it is sent. While its connection was opened,
// the replica or the operator may have ruled out what the assignment was based on.
namespace filbertstair::direct {

// Whether an assigned request may be sent, or why not: the replica is gone, leaves or wants no
// requests, its failure domain is evacuated, or that is in no region where the request may be
// served.
enum class SendVerdict { allowed, unavailable, evacuated, region_not_allowed };

// `replica` is null if it is no longer known.
auto CheckSend(const ReplicaTable& table, const Origin& origin, const Replica* replica,
               const Residency& residency, core::Time now) -> SendVerdict;

}  // namespace filbertstair::direct

namespace filbertstair::core {
template <>
inline constexpr NameTable<direct::SendVerdict, 4> kNames<direct::SendVerdict>{
    {{direct::SendVerdict::allowed, "allowed"},
     {direct::SendVerdict::unavailable, "unavailable"},
     {direct::SendVerdict::evacuated, "evacuated"},
     {direct::SendVerdict::region_not_allowed, "region_not_allowed"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_DIRECT_SEND_CHECK_H_
