#ifndef FILBERTSTAIR_NODE_HISTORY_H_
#define FILBERTSTAIR_NODE_HISTORY_H_

#include <cstdint>
#include <fstream>
#include <string>

#include "filbertstair/core/types.h"

namespace filbertstair::node {

// File of the setting `history`, one JSON object per line, from which tests check configuration and
// leaving. Empty if there is none.
struct History {
  std::ofstream file;
};

// Opens the file for appending. Throws core::Error (Step::settings) with its path on failure.
auto OpenHistory(History& history, const std::string& path) -> void;

// Records that `version` of `object` is in force at process `source`.
auto RecordConfigVersion(History& history, core::Time now, const std::string& source,
                         const std::string& object, std::uint64_t version) -> void;

// Records that the process leaves.
auto RecordDrainStart(History& history, core::Time now, const std::string& source) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_HISTORY_H_
