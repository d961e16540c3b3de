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

// Largest document in bytes: the largest value that the configuration service holds.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

using schema::Problem;

struct ParseResult {
  // Present if and only if there are no problems.
  std::optional<Service> service;
  std::vector<Problem> problems;
};

// Reads a service document in the form that docs/document.md describes, and validates it as a
// whole. `file_name` occurs in problems only. Reports all problems and throws nothing for any text.
auto ParseDocument(std::string_view text, const std::string& file_name) -> ParseResult;

}  // namespace filbertstair::document

#endif  // FILBERTSTAIR_DOCUMENT_PARSE_H_
