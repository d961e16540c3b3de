#include "filbertstair/schema/problem.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::schema {
namespace {

class ProblemTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProblemTest);
  CPPUNIT_TEST(testDescribe);
  CPPUNIT_TEST(testFoundIsPrintable);
  CPPUNIT_TEST(testOmittedAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a message that lacks the file, line or field of the problem.
  auto testDescribe() -> void {
    CPPUNIT_ASSERT_EQUAL(std::string("a.yaml:3: retries.budget: found 2; allowed: 0 to 1"),
                         Describe({"a.yaml", 3, "retries.budget", "2", "0 to 1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("a.yaml: found x; allowed: y"),
                         Describe({"a.yaml", 0, "", "x", "y"}));
  }

  // Guards against terminal control sequences in the output and against invalid UTF-8 in JSON.
  auto testFoundIsPrintable() -> void {
    ProblemReport report{.file = "a"};
    AddProblem(report, 1, "f", "a\x1b[2J\n", "b");
    CPPUNIT_ASSERT_EQUAL(std::string("a [2J "), report.problems[0].found);
    std::string text(79, 'a');
    text += "\u20ac and more";
    AddProblem(report, 1, "f", text, "b");
    CPPUNIT_ASSERT_EQUAL(std::string(79, 'a') + "...", report.problems[1].found);
  }

  // Guards against unbounded memory use for the problems of one file, and against problems that are
  // omitted silently.
  auto testOmittedAreCounted() -> void {
    ProblemReport report{.file = "a"};
    for (std::size_t i = 0; i < kMaxProblems + 5; ++i) AddProblem(report, 1, "f", "x", "y");
    const auto problems = TakeProblems(report);
    CPPUNIT_ASSERT_EQUAL(kMaxProblems + 1, problems.size());
    CPPUNIT_ASSERT_EQUAL(std::string("5 more problems"), problems.back().found);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProblemTest);

}  // namespace
}  // namespace filbertstair::schema
