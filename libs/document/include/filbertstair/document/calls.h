#ifndef FILBERTSTAIR_DOCUMENT_CALLS_H_
#define FILBERTSTAIR_DOCUMENT_CALLS_H_

#include <string_view>

#include "filbertstair/core/types.h"
#include "filbertstair/document/service.h"

namespace filbertstair::document {

// Returns whether a call may be repeated or must run at most once. `path` is the request target as
// sent to the replica, with or without the query. Each rule is matched against the target as
// written and against its normalized path (percent-encoding decoded; empty, "." and ".." segments
// resolved), because a replica may normalize it: an alternative spelling must not make an
// at-most-once call repeatable.
auto ClassifyCall(const Service& service, std::string_view method, std::string_view path)
    -> core::CallClass;

}  // namespace filbertstair::document

#endif  // FILBERTSTAIR_DOCUMENT_CALLS_H_
