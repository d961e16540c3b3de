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

// Appends a record of kind `config`: `version` of `object` became active at process `source`. Its
// time `at` is `now` on the local monotonic clock, in microseconds.
auto RecordConfigVersion(History& history, core::Time now, const std::string& source,
                         const std::string& object, std::uint64_t version) -> void;

// Appends a record of kind `leaving`: process `source` started to drain. Its time `at` is `now` on
// the local monotonic clock, in microseconds.
auto RecordDrainStart(History& history, core::Time now, const std::string& source) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_HISTORY_H_
