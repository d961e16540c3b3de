#ifndef FILBERTSTAIR_NODE_HISTORY_H_
#define FILBERTSTAIR_NODE_HISTORY_H_

#include <cstdint>
#include <fstream>
#include <string>

#include "filbertstair/core/types.h"

namespace filbertstair::node {

// File named by the setting `history`, with one JSON object per line. Tests read it to verify
// configuration updates and shutdown. Not open if the setting is empty.
struct History {
  std::ofstream file;
};

// Opens the file for appending; does nothing if `path` is empty. Throws core::Error
// (Step::settings) with the path as peer on failure.
auto OpenHistory(History& history, const std::string& path) -> void;

// Records that `version` of `object` became active at process `source`.
auto RecordConfigVersion(History& history, core::Time now, const std::string& source,
                         const std::string& object, std::uint64_t version) -> void;

// Records that process `source` started to drain.
auto RecordDrainStart(History& history, core::Time now, const std::string& source) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_HISTORY_H_
