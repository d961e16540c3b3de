#include "filbertstair/config/fetch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::config {
namespace {

// Guards against fetching one change from every peer that announces it, and against a frozen peer
// that prevents a process from getting the newest version.
class FetchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FetchTest);
  CPPUNIT_TEST(testOneRequestAtATime);
  CPPUNIT_TEST(testLateAnswerKeepsNewerRequest);
  CPPUNIT_TEST_SUITE_END();

  const DigestRow row{{ObjectKind::document, "chat"}, {2, 5}};
  const DigestRow newer{{ObjectKind::document, "chat"}, {3, 1}};

 public:
  auto testOneRequestAtATime() -> void {
    FetchTable table;
    const core::Time start{};
    CPPUNIT_ASSERT(BeginFetch(table, this->row, "a", start));
    CPPUNIT_ASSERT(!BeginFetch(table, this->row, "b", start));
    CPPUNIT_ASSERT(BeginFetch(table, this->row, "b", start + kFetchTimeout));
    CancelFetchesFrom(table, "a");
    CPPUNIT_ASSERT(!BeginFetch(table, this->row, "c", start + kFetchTimeout));
    CancelFetchesFrom(table, "b");
    CPPUNIT_ASSERT(BeginFetch(table, this->row, "c", start + kFetchTimeout));
  }

  auto testLateAnswerKeepsNewerRequest() -> void {
    FetchTable table;
    CPPUNIT_ASSERT(BeginFetch(table, this->row, "a", core::Time{}));
    CPPUNIT_ASSERT(BeginFetch(table, this->newer, "b", core::Time{}));
    CompleteFetch(table, this->row.key, this->row.stamp);
    CPPUNIT_ASSERT(!BeginFetch(table, this->newer, "c", core::Time{}));
    CompleteFetch(table, this->row.key, this->newer.stamp);
    CPPUNIT_ASSERT(table.fetches.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FetchTest);

}  // namespace
}  // namespace filbertstair::config
