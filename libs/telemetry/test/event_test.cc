#include "filbertstair/telemetry/event.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <string>

namespace filbertstair::telemetry {
namespace {

// Guards against an undocumented event, and against a documented event that the code does not
// define.
class EventTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventTest);
  CPPUNIT_TEST(testCatalogueMatchesCode);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testCatalogueMatchesCode() -> void {
    std::set<std::string> documented;
    std::ifstream file(FILBERTSTAIR_SOURCE_DIR "/docs/events.md");
    for (std::string line; std::getline(file, line);) {
      if (line.size() < 3 || line[0] != '|' || line[2] < '0' || line[2] > '9') continue;
      documented.insert(line.substr(0, line.find('|', line.find('|', 1) + 1)));
    }
    std::set<std::string> coded;
    for (const auto& [event, name] : core::kNames<Event>) {
      coded.insert("| " + std::to_string(static_cast<int>(event)) + " | " + std::string(name) +
                   " ");
    }
    CPPUNIT_ASSERT(documented == coded);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventTest);

}  // namespace
}  // namespace filbertstair::telemetry
