#include "filbertstair/cli/run.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace filbertstair::cli {
namespace {

class RunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTest);
  CPPUNIT_TEST(testUsage);
  CPPUNIT_TEST(testHelpAndVersion);
  CPPUNIT_TEST(testOutputForms);
  CPPUNIT_TEST(testErrorsAreAnswers);
  CPPUNIT_TEST_SUITE_END();

  struct Outcome {
    ExitStatus exit_status = ExitStatus::done;
    std::string out;
    std::string err;
  };

  static auto RunWith(const std::vector<std::string>& args) -> Outcome {
    std::ostringstream out;
    std::ostringstream err;
    const auto exit = Run(args, out, err);
    return {exit, out.str(), err.str()};
  }

 public:
  // Guards against a usage error that a script can't tell from an accepted document.
  auto testUsage() -> void {
    const std::vector<std::vector<std::string>> cases{
        {},
        {"chekc"},
        {"check"},
        {"diff", "a"},
        {"diff", "a", "b", "c"},
        {"--outptu", "json"},
        {"check", "--output", "xml", "a"},
        {"status"},
        {"status", "--admin", "localhost:1"},
        {"drain", "--wait"},
        {"trace", "--admin", "127.0.0.1:1"},
        {"top", "--admin", "127.0.0.1:1", "--interval", "0"},
        {"explain", "--host", "a"},
        {"completion", "fish"}};
    for (const auto& args : cases) {
      const auto outcome = RunWith(args);
      CPPUNIT_ASSERT(outcome.exit_status == ExitStatus::usage);
      CPPUNIT_ASSERT(outcome.out.empty() && !outcome.err.empty());
    }
  }

  auto testHelpAndVersion() -> void {
    for (const std::vector<std::string>& args :
         {std::vector<std::string>{"--help"}, {"check", "--help"}, {"--version"}}) {
      const auto outcome = RunWith(args);
      CPPUNIT_ASSERT(outcome.exit_status == ExitStatus::done);
      CPPUNIT_ASSERT(!outcome.out.empty() && outcome.err.empty());
    }
  }

  // Guards against a global option that is accepted only before the subcommand.
  auto testOutputForms() -> void {
    const auto file = std::string(FILBERTSTAIR_EXAMPLES) + "/reports.yaml";
    CPPUNIT_ASSERT_EQUAL(file + ": document of service reports, version 1, accepted\n",
                         RunWith({"check", file}).out);
    const auto json = RunWith({"--output", "json", "check", file});
    CPPUNIT_ASSERT(json.exit_status == ExitStatus::done && json.out.starts_with("{\"files\":[{"));
    CPPUNIT_ASSERT_EQUAL(json.out, RunWith({"check", file, "--output", "json"}).out);
  }

  // Guards against an unreadable address file that ends the program without a report.
  auto testErrorsAreAnswers() -> void {
    const auto outcome = RunWith({"status", "--from", "/missing", "--output", "json"});
    CPPUNIT_ASSERT(outcome.exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT(outcome.out.starts_with("{\"error\":{\"step\":\"read\""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTest);

}  // namespace
}  // namespace filbertstair::cli
