#ifndef FILBERTSTAIR_DOCUMENT_DIFF_H_
#define FILBERTSTAIR_DOCUMENT_DIFF_H_

#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/document/service.h"

namespace filbertstair::document {

enum class ChangeKind { added, removed, changed };

// A difference between two versions of a service document.
struct Change {
  ChangeKind kind = ChangeKind::changed;
  // Path of the field or list item, for example "timeouts.queue" or "workspaces[buyers].weight".
  std::string field;
  // Empty for an added item.
  std::string before;
  // Empty for a removed item.
  std::string after;

  auto operator==(const Change&) const -> bool = default;
};

// Returns the differences ordered by field path. A default compares equal to the same value written
// out, and the order of list items is ignored.
auto Diff(const Service& before, const Service& after) -> std::vector<Change>;

// Formats a change as "FIELD: BEFORE -> AFTER", or as "FIELD: added (VALUE)" or
// "FIELD: removed (VALUE)"; the parentheses are omitted if there is no value.
auto Describe(const Change& change) -> std::string;

}  // namespace filbertstair::document

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::document::ChangeKind, 3>
    filbertstair::core::kNames<filbertstair::document::ChangeKind>{
        {{filbertstair::document::ChangeKind::added, "added"},
         {filbertstair::document::ChangeKind::removed, "removed"},
         {filbertstair::document::ChangeKind::changed, "changed"}}};

#endif  // FILBERTSTAIR_DOCUMENT_DIFF_H_
