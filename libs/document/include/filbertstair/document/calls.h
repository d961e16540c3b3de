#ifndef FILBERTSTAIR_DOCUMENT_CALLS_H_
#define FILBERTSTAIR_DOCUMENT_CALLS_H_

#include <string_view>

#include "filbertstair/core/types.h"
#include "filbertstair/document/service.h"

namespace filbertstair::document {

// Returns the class of a call. `path` is the request target as the replica sees it, with or without
// query. Rules apply to the target as written and to the path that a replica may make of it:
// percent-encoded characters decoded, empty and dot segments resolved. Otherwise a caller's
// spelling could make a call repeatable that must run at most once.
auto ClassifyCall(const Service& service, std::string_view method, std::string_view path)
    -> core::CallClass;

}  // namespace filbertstair::document

#endif  // FILBERTSTAIR_DOCUMENT_CALLS_H_
