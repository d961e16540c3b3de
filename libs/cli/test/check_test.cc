#include "filbertstair/cli/check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/json/array.hpp>

#include "files.h"

namespace filbertstair::cli {
namespace {

class CheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckTest);
  CPPUNIT_TEST(testExamples);
  CPPUNIT_TEST(testEveryFile);
  CPPUNIT_TEST(testConflicts);
  CPPUNIT_TEST_SUITE_END();

  TestFiles files;

  static auto Size(const CommandReport& report, const char* list) -> std::size_t {
    return report.json.at(list).as_array().size();
  }

 public:
  auto testExamples() -> void {
    const std::string examples = FILBERTSTAIR_EXAMPLES;
    const auto report = Check({examples + "/reports.yaml", examples + "/certificates.yaml",
                               examples + "/entry.yaml", examples + "/endpoint.yaml",
                               examples + "/certificates-endpoint.yaml"});
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, report.lines.size());
    CPPUNIT_ASSERT(report.json.at("accepted").as_bool());
  }

  // Guards against a check that stops at the first invalid file.
  auto testEveryFile() -> void {
    const auto document = this->files.Write("document.yaml", "name: X\n");
    const auto settings = this->files.Write("settings.yaml", "role: entry\ncolour: red\n");
    const auto report = Check({document, "/nonexistent", settings});
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Size(report, "files"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Size(report, "errors"));
    const auto& entries = report.json.at("files").as_array();
    CPPUNIT_ASSERT(entries[0].at("kind") == "document" && entries[1].at("kind") == "settings");
    for (const auto& entry : entries) {
      CPPUNIT_ASSERT(!entry.at("accepted").as_bool());
      CPPUNIT_ASSERT(entry.at("problems").as_array().size() > 1);
    }
  }

  // Guards against accepting documents that are valid individually but conflict in one fleet.
  auto testConflicts() -> void {
    const auto a = this->files.Write("a.yaml", MakeTestDocument("a", 1, "x.example"));
    const auto b = this->files.Write("b.yaml", MakeTestDocument("b", 1, "X.example"));
    const auto again = this->files.Write("again.yaml", MakeTestDocument("a", 2, "y.example"));
    const auto conflict = Check({a, b});
    CPPUNIT_ASSERT(conflict.exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT_EQUAL(std::string("host name \"x.example\" is claimed by services a and b"),
                         conflict.lines.back());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Size(conflict, "conflicts"));
    const auto duplicate = Check({a, again});
    CPPUNIT_ASSERT(duplicate.exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Size(duplicate, "duplicates"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Size(duplicate, "conflicts"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckTest);

}  // namespace
}  // namespace filbertstair::cli
