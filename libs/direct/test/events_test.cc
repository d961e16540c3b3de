#include "filbertstair/direct/events.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::direct {
namespace {

class EventsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventsTest);
  CPPUNIT_TEST(testWholeEvents);
  CPPUNIT_TEST(testEverySplitGivesTheSameBytes);
  CPPUNIT_TEST(testIdInsideDataIsNoId);
  CPPUNIT_TEST(testCarriageReturns);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against forwarding an incomplete event, after which another replica could not resume the
  // stream.
  auto testWholeEvents() -> void {
    EventSplitter splitter;
    CPPUNIT_ASSERT_EQUAL(std::string(), ExtractEvents(splitter, "id: 1\ndata: a\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), ExtractEvents(splitter, "\nid: 2\nda"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), splitter.last_event_id);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\nda"), splitter.partial_event);
  }

  // Guards against lost or changed bytes, wherever a read ends.
  auto testEverySplitGivesTheSameBytes() -> void {
    const std::string stream = "id: 7\ndata: one\n\nid: 8\ndata: two\ndata: id: 99\n\nid:9\n\n";
    for (std::size_t split = 0; split <= stream.size(); ++split) {
      EventSplitter splitter;
      auto events = ExtractEvents(splitter, stream.substr(0, split));
      events += ExtractEvents(splitter, stream.substr(split));
      CPPUNIT_ASSERT_EQUAL(stream, events);
      CPPUNIT_ASSERT_EQUAL(std::string("9"), splitter.last_event_id);
      CPPUNIT_ASSERT(splitter.partial_event.empty());
    }
  }

  // Guards against resuming a stream after an id that only occurs in the data of an event.
  auto testIdInsideDataIsNoId() -> void {
    EventSplitter splitter;
    ExtractEvents(splitter, "id: 3\ndata: see id: 12\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("3"), splitter.last_event_id);
    ExtractEvents(splitter, "data: no id here, valid: 4\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("3"), splitter.last_event_id);
  }

  // Guards against events with CR LF line ends that are never forwarded.
  auto testCarriageReturns() -> void {
    EventSplitter splitter;
    const std::string event = "id: 5\r\ndata: x\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(event, ExtractEvents(splitter, event));
    CPPUNIT_ASSERT_EQUAL(std::string("5"), splitter.last_event_id);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsTest);

}  // namespace
}  // namespace filbertstair::direct
