#ifndef FILBERTSTAIR_SCHEMA_VALUE_H_
#define FILBERTSTAIR_SCHEMA_VALUE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/error.h"
#include "filbertstair/core/names.h"
#include "filbertstair/schema/problem.h"

namespace filbertstair::schema {

enum class Kind { null, scalar, list, map };

// A YAML value with the line at which it starts.
struct Value {
  Kind kind = Kind::null;
  int line = 0;
  // Text of a scalar.
  std::string text{};
  // True for a scalar in quotes or in block form, which is never a number.
  bool quoted = false;
  // Items of a list, or fields of a map in the order of the file. A repeated name occurs
  // repeatedly.
  std::vector<Value> items{};
  // Name and line of the name, if this is a field of a map.
  std::string name{};
  int name_line = 0;
};

// Deepest nesting of lists and maps. Documents and settings need four levels. The parser recurses
// for each: 16 take up to 8 KB of a fiber's stack of 128 KiB, and 300 ended the process.
inline constexpr std::size_t kMaxNestingDepth = 16;

// Reads the one YAML document in `text`. Adds problems for text that is larger than `max_bytes`, is
// not YAML, has control characters, tags, anchors, aliases or keys that are not scalars, nests
// more than kMaxNestingDepth levels deep, or has more than one document. Returns nothing if there
// are any.
auto LoadYaml(std::string_view text, std::size_t max_bytes, ProblemReport& report)
    -> std::optional<Value>;

// Returns the file's content, cut off one byte above `max_bytes`. Throws core::Error with `step`
// and the path if the file cannot be read.
auto ReadFile(const std::string& path, std::size_t max_bytes, core::Step step) -> std::string;

}  // namespace filbertstair::schema

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::schema::Kind, 4>
    filbertstair::core::kNames<filbertstair::schema::Kind>{
        {{filbertstair::schema::Kind::null, "nothing"},
         {filbertstair::schema::Kind::scalar, "a single value"},
         {filbertstair::schema::Kind::list, "a list"},
         {filbertstair::schema::Kind::map, "a map"}}};

#endif  // FILBERTSTAIR_SCHEMA_VALUE_H_
