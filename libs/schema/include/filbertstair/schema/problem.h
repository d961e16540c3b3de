#ifndef FILBERTSTAIR_SCHEMA_PROBLEM_H_
#define FILBERTSTAIR_SCHEMA_PROBLEM_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace filbertstair::schema {

// A validation error in a file that an operator wrote.
struct Problem {
  std::string file;
  // Line number from 1, or 0 if the problem concerns the file as a whole.
  int line = 0;
  // Path of the field, for example "workspaces[2].weight"; empty for the file as a whole.
  std::string field;
  // What the file has there, shortened and made printable.
  std::string found;
  // What would be accepted there.
  std::string allowed;

  auto operator==(const Problem&) const -> bool = default;
};

// Problems of one file, in the order in which they were found.
struct ProblemReport {
  std::string file;
  std::vector<Problem> problems{};
  // Number of problems dropped because there were more than kMaxProblems.
  std::size_t omitted = 0;
};

// Maximum number of problems kept for one file. Bounds the memory that a daemon spends on a
// malformed file of the maximum size.
inline constexpr std::size_t kMaxProblems = 1000;

// Adds a problem, or counts it as omitted if there are kMaxProblems already. `found` is shortened
// to 80 bytes, and its control characters are replaced by spaces.
auto AddProblem(ProblemReport& report, int line, std::string field, std::string_view found,
                std::string allowed) -> void;

// Returns the problems. If some were omitted, a final problem states how many.
auto TakeProblems(ProblemReport report) -> std::vector<Problem>;

// Formats a problem as "FILE:LINE: FIELD: found FOUND; allowed: ALLOWED".
auto Describe(const Problem& problem) -> std::string;

}  // namespace filbertstair::schema

#endif  // FILBERTSTAIR_SCHEMA_PROBLEM_H_
