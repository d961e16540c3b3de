#include "filbertstair/schema/problem.h"

#include <utility>

namespace filbertstair::schema {
namespace {

constexpr std::size_t kMaxFoundBytes = 80;

// Truncates `text` to kMaxFoundBytes at a UTF-8 character boundary and replaces control characters
// by spaces.
auto MakePrintable(std::string_view text) -> std::string {
  auto cut = text.size();
  if (cut > kMaxFoundBytes) {
    cut = kMaxFoundBytes;
    while (cut > 0 && (static_cast<unsigned char>(text[cut]) & 0xc0u) == 0x80u) --cut;
  }
  std::string result(text.substr(0, cut));
  for (auto& c : result) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) c = ' ';
  }
  return cut < text.size() ? result + "..." : result;
}

}  // namespace

auto AddProblem(ProblemReport& report, int line, std::string field, std::string_view found,
                std::string allowed) -> void {
  if (report.problems.size() >= kMaxProblems) {
    ++report.omitted;
    return;
  }
  report.problems.push_back(
      {report.file, line, std::move(field), MakePrintable(found), std::move(allowed)});
}

auto TakeProblems(ProblemReport report) -> std::vector<Problem> {
  if (report.omitted > 0) {
    report.problems.push_back({report.file, 0, "",
                               std::to_string(report.omitted) + " more problems",
                               "a file without problems"});
  }
  return std::move(report.problems);
}

auto Describe(const Problem& problem) -> std::string {
  auto text = problem.file;
  if (problem.line > 0) text += ":" + std::to_string(problem.line);
  text += ": ";
  if (!problem.field.empty()) text += problem.field + ": ";
  return text + "found " + problem.found + "; allowed: " + problem.allowed;
}

}  // namespace filbertstair::schema
