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
    const auto old_file = this->files.Write("old.yaml", TestDocument("a", 1, "x.example"));
    const auto new_file = this->files.Write("new.yaml", TestDocument("a", 2, "x.example"));
    const auto answer = Diff(old_file, new_file);
    CPPUNIT_ASSERT(answer.exit == Exit::done);
    CPPUNIT_ASSERT(answer.lines == std::vector<std::string>{"version: 1 -> 2"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.json.at("changes").as_array().size());
    CPPUNIT_ASSERT(Diff(old_file, old_file).exit == Exit::done);
    CPPUNIT_ASSERT(Diff(old_file, old_file).lines.empty());
  }

  // Guards against a document that is published and that no process puts in force.
  auto testRefused() -> void {
    const auto old_file = this->files.Write("old.yaml", TestDocument("a", 2, "x.example"));
    const auto same_version = this->files.Write("same.yaml", TestDocument("a", 2, "y.example"));
    const auto lower = this->files.Write("lower.yaml", TestDocument("a", 1, "x.example"));
    const auto other = this->files.Write("other.yaml", TestDocument("b", 3, "x.example"));
    const auto broken = this->files.Write("broken.yaml", "name: a\n");
    for (const auto& file : {same_version, lower, other, broken, std::string("/nonexistent")}) {
      const auto answer = Diff(old_file, file);
      CPPUNIT_ASSERT_MESSAGE(file, answer.exit == Exit::refused);
      CPPUNIT_ASSERT(!answer.lines.empty() && !answer.json.at("accepted").as_bool());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiffTest);

}  // namespace
}  // namespace filbertstair::cli
