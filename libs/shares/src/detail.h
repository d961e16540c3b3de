#ifndef FILBERTSTAIR_SHARES_SRC_DETAIL_H_
#define FILBERTSTAIR_SHARES_SRC_DETAIL_H_

#include "filbertstair/shares/shares.h"

namespace filbertstair::shares::detail {

// Assigns the next version to a row and moves it to the front of the list of changed rows.
auto MarkChanged(ShareTable& table, Workspace workspace) -> void;

}  // namespace filbertstair::shares::detail

#endif  // FILBERTSTAIR_SHARES_SRC_DETAIL_H_
