#include "filbertstair/core/reason.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include "filbertstair/core/types.h"

namespace filbertstair::core {
namespace {

class ReasonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReasonTest);
  CPPUNIT_TEST(testDocumentationMatchesCode);
  CPPUNIT_TEST_SUITE_END();

  // Returns the cells of a Markdown table row, without surrounding spaces.
  static auto Cells(const std::string& line) -> std::vector<std::string> {
    std::vector<std::string> cells;
    std::istringstream row(line.substr(1));
    for (std::string cell; std::getline(row, cell, '|');) {
      const auto begin = cell.find_first_not_of(' ');
      const auto end = cell.find_last_not_of(' ');
      cells.push_back(begin == std::string::npos ? "" : cell.substr(begin, end - begin + 1));
    }
    return cells;
  }

 public:
  // Guards against docs/refusals.md omitting a reason, or listing it with a different status or an
  // unknown outcome.
  auto testDocumentationMatchesCode() -> void {
    std::ifstream file(FILBERTSTAIR_SOURCE_DIR "/docs/refusals.md");
    CPPUNIT_ASSERT(file.is_open());
    std::vector<std::vector<std::string>> rows;
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("| `")) rows.push_back(Cells(line));
    }
    CPPUNIT_ASSERT_EQUAL(kHttpStatus.size(), rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
      const auto& row = rows[i];
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, row.size());
      const auto& [reason, status] = kHttpStatus.at(i);
      CPPUNIT_ASSERT_EQUAL("`" + std::string(Name(reason)) + "`", row[0]);
      CPPUNIT_ASSERT_EQUAL(std::to_string(status), row[1]);
      std::istringstream outcomes(row[2]);
      std::size_t named = 0;
      for (std::string word; outcomes >> word;) {
        if (word == "or") continue;
        ++named;
        CPPUNIT_ASSERT_MESSAGE(row[0] + ": " + word, ParseName<Outcome>(word).has_value());
      }
      CPPUNIT_ASSERT_MESSAGE(row[0], named > 0);
      CPPUNIT_ASSERT_MESSAGE(row[0], !row[3].empty() && !row[4].empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReasonTest);

}  // namespace
}  // namespace filbertstair::core
