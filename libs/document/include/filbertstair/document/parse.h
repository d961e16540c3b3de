#ifndef FILBERTSTAIR_DOCUMENT_PARSE_H_
#define FILBERTSTAIR_DOCUMENT_PARSE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/document/service.h"
#include "filbertstair/schema/problem.h"

namespace filbertstair::document {

// Maximum size of a document in bytes, which is the largest value that the configuration service
// stores.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

using schema::Problem;

struct ParseResult {
  // Present if and only if there are no problems.
  std::optional<Service> service;
  std::vector<Problem> problems;
};

// Parses and validates a service document in the format of docs/document.md. `file_name` is used
// only in problems. Reports all problems at once and does not throw on malformed input.
auto ParseDocument(std::string_view text, const std::string& file_name) -> ParseResult;

}  // namespace filbertstair::document

#endif  // FILBERTSTAIR_DOCUMENT_PARSE_H_
