#include "filbertstair/cli/completion.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "filbertstair/cli/run.h"

namespace filbertstair::cli {
namespace {

class CompletionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompletionTest);
  CPPUNIT_TEST(testCompletes);
  CPPUNIT_TEST(testCoversTheProgram);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testCompletes() -> void {
    const auto script =
        BashCompletionScript("tool", {{"check", {"--strict"}, true}, {"drain", {}}});
    CPPUNIT_ASSERT(script.find("check) words=\"--strict\"; files=1 ;;") != std::string::npos);
    CPPUNIT_ASSERT(script.find("words=\"check drain --help") != std::string::npos);
    CPPUNIT_ASSERT(script.ends_with("complete -o filenames -F _tool tool\n"));
  }

  // Guards against a script that omits a subcommand or an option, including those of option groups.
  auto testCoversTheProgram() -> void {
    std::ostringstream out;
    std::ostringstream err;
    CPPUNIT_ASSERT(Run({"completion", "bash"}, out, err) == ExitStatus::done);
    for (const auto* text : {"explain) words=\"--help --documents", "top) words=", "--admin --from",
                             "trace", "--wait-limit", "--interval"}) {
      CPPUNIT_ASSERT_MESSAGE(text, out.str().find(text) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionTest);

}  // namespace
}  // namespace filbertstair::cli
