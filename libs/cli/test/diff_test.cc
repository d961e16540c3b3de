#include "filbertstair/cli/diff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/json/array.hpp>

#include "files.h"

namespace filbertstair::cli {
namespace {

class DiffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiffTest);
  CPPUNIT_TEST(testAccepted);
  CPPUNIT_TEST(testRefused);
  CPPUNIT_TEST_SUITE_END();

  TestFiles files;

 public:
  auto testAccepted() -> void {
    const auto old_file = this->files.Write("old.yaml", MakeTestDocument("a", 1, "x.example"));
    const auto new_file = this->files.Write("new.yaml", MakeTestDocument("a", 2, "x.example"));
    const auto report = Diff(old_file, new_file);
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::done);
    CPPUNIT_ASSERT(report.lines == std::vector<std::string>{"version: 1 -> 2"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.json.at("changes").as_array().size());
    CPPUNIT_ASSERT(Diff(old_file, old_file).exit_status == ExitStatus::done);
    CPPUNIT_ASSERT(Diff(old_file, old_file).lines.empty());
  }

  // Guards against accepting a document that no process would put in force once published.
  auto testRefused() -> void {
    const auto old_file = this->files.Write("old.yaml", MakeTestDocument("a", 2, "x.example"));
    const auto same_version = this->files.Write("same.yaml", MakeTestDocument("a", 2, "y.example"));
    const auto lower = this->files.Write("lower.yaml", MakeTestDocument("a", 1, "x.example"));
    const auto other = this->files.Write("other.yaml", MakeTestDocument("b", 3, "x.example"));
    const auto broken = this->files.Write("broken.yaml", "name: a\n");
    for (const auto& file : {same_version, lower, other, broken, std::string("/nonexistent")}) {
      const auto report = Diff(old_file, file);
      CPPUNIT_ASSERT_MESSAGE(file, report.exit_status == ExitStatus::refused);
      CPPUNIT_ASSERT(!report.lines.empty() && !report.json.at("accepted").as_bool());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiffTest);

}  // namespace
}  // namespace filbertstair::cli
