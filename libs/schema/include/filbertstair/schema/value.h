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

// A YAML value with the line (from 1) at which it starts.
struct Value {
  Kind kind = Kind::null;
  int line = 0;
  // Text of a scalar.
  std::string text{};
  // True for a quoted or block scalar, which is never read as a number.
  bool quoted = false;
  // Items of a list, or fields of a map in file order. A duplicate field occurs as often as in the
  // file.
  std::vector<Value> items{};
  // Field name and its line, if this value is a field of a map.
  std::string name{};
  int name_line = 0;
};

// Maximum nesting depth of lists and maps. Documents and settings need four levels. The parser
// recurses at each level: 16 levels take up to 8 KB of a fiber's 128 KiB stack, and 300 levels
// overflowed it and crashed the process.
inline constexpr std::size_t kMaxNestingDepth = 16;

// Parses the single YAML document in `text`. Adds problems for text that is larger than
// `max_bytes`, is not UTF-8 or not YAML, contains control characters, tags, anchors, aliases or
// non-scalar keys, nests deeper than kMaxNestingDepth, or contains more than one document. Returns
// nullopt if any problem was added.
auto LoadYaml(std::string_view text, std::size_t max_bytes, ProblemReport& report)
    -> std::optional<Value>;

// Reads at most `max_bytes` + 1 bytes of a file, so that the caller can detect a file that is too
// large. Throws core::Error with `step` and the path as peer if the file cannot be read.
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
