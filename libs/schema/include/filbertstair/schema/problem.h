#ifndef FILBERTSTAIR_SCHEMA_PROBLEM_H_
#define FILBERTSTAIR_SCHEMA_PROBLEM_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace filbertstair::schema {

// One mistake in a file that an operator wrote.
struct Problem {
  std::string file;
  // From 1; 0 if the problem concerns the file as a whole.
  int line = 0;
  // Path of the field, for example "workspaces[2].weight"; empty for the file as a whole.
  std::string field;
  std::string found;
  std::string allowed;

  auto operator==(const Problem&) const -> bool = default;
};

// Problems of one file, in the order in which they were found.
struct ProblemReport {
  std::string file;
  std::vector<Problem> problems{};
  // Problems left out because there were more than kMaxProblems.
  std::size_t omitted = 0;
};

// Bounds the memory that a malformed file of the largest accepted size can claim in a daemon.
inline constexpr std::size_t kMaxProblems = 1000;

// Adds a problem. `found` is shortened and made printable.
auto AddProblem(ProblemReport& report, int line, std::string field, std::string_view found,
                std::string allowed) -> void;

// Returns the problems, with a last one that states how many were left out, if any were.
auto TakeProblems(ProblemReport report) -> std::vector<Problem>;

// Returns "FILE:LINE: FIELD: found FOUND; allowed: ALLOWED".
auto Describe(const Problem& problem) -> std::string;

}  // namespace filbertstair::schema

#endif  // FILBERTSTAIR_SCHEMA_PROBLEM_H_
