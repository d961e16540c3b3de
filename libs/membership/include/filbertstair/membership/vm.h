#ifndef FILBERTSTAIR_MEMBERSHIP_VM_H_
#define FILBERTSTAIR_MEMBERSHIP_VM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertstair/core/types.h"

namespace filbertstair::membership {

// State of a VM in the platform's list.
enum class VmState { live, leaving };

// One row of the platform's VM list.
struct Vm {
  std::string id;
  core::Role role = core::Role::entry;
  // Address "ip:port" on which the process accepts connections from other processes of the fleet.
  std::string address;
  std::string region;
  std::string failure_domain;
  // Pool of an endpoint; not used for an entry.
  std::string pool;
  VmState state = VmState::live;
};

// The platform's VM list at one revision.
struct VmList {
  std::uint64_t revision = 0;
  std::vector<Vm> vms;
};

}  // namespace filbertstair::membership

namespace filbertstair::core {
template <>
inline constexpr NameTable<membership::VmState, 2> kNames<membership::VmState>{
    {{membership::VmState::live, "live"}, {membership::VmState::leaving, "leaving"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_MEMBERSHIP_VM_H_
