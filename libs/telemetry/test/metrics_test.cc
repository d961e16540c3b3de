#include "filbertstair/telemetry/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <string>

namespace filbertstair::telemetry {
namespace {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(testTableIsInEnumOrder);
  CPPUNIT_TEST(testDocumentationMatchesCode);
  CPPUNIT_TEST(testRender);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a misplaced row, which would export one metric under the name of another.
  auto testTableIsInEnumOrder() -> void {
    for (std::size_t i = 0; i < kMetrics.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(i, static_cast<std::size_t>(kMetrics.at(i).metric));
    }
  }

  auto testDocumentationMatchesCode() -> void {
    std::ifstream file(FILBERTSTAIR_SOURCE_DIR "/docs/metrics.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    std::size_t rows = 0;
    for (std::size_t position = page.find("| filbertstair_"); position != std::string::npos;
         position = page.find("| filbertstair_", position + 1)) {
      ++rows;
    }
    CPPUNIT_ASSERT_EQUAL(kMetrics.size(), rows);
    for (const auto& info : kMetrics) {
      CPPUNIT_ASSERT(page.find("| " + std::string(info.name) + " |") != std::string::npos);
      CPPUNIT_ASSERT(page.find(std::string(info.help)) != std::string::npos);
    }
  }

  auto testRender() -> void {
    Metrics metrics;
    metrics.Count(Metric::refusals, "queue_full");
    metrics.Set(Metric::slots, 4);
    metrics.Observe(Metric::queue_wait, std::chrono::milliseconds(3));
    const auto text = metrics.Render();
    CPPUNIT_ASSERT(text.find("filbertstair_refusals_total{reason=\"queue_full\"} 1") !=
                   std::string::npos);
    CPPUNIT_ASSERT(text.find("filbertstair_slots 4") != std::string::npos);
    CPPUNIT_ASSERT(text.find("filbertstair_queue_wait_seconds_count 1") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace filbertstair::telemetry
