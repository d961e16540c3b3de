#ifndef FILBERTSTAIR_MEMBERSHIP_VM_LIST_H_
#define FILBERTSTAIR_MEMBERSHIP_VM_LIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/membership/vm.h"

namespace filbertstair::membership {

// Result of ParseVmList.
struct ParsedVmList {
  // Set if there are no problems.
  std::optional<VmList> list;
  // All problems found, each as "file: field: message".
  std::vector<std::string> problems;
};

// Parses and validates the platform's VM list from JSON or YAML. `file` names the source in the
// problems. A list with any problem is rejected as a whole.
auto ParseVmList(std::string_view text, std::string_view file) -> ParsedVmList;

}  // namespace filbertstair::membership

#endif  // FILBERTSTAIR_MEMBERSHIP_VM_LIST_H_
