#include "filbertstair/node/trace.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::node {
namespace {

class TraceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TraceTest);
  CPPUNIT_TEST(testOldestIsReplaced);
  CPPUNIT_TEST(testEventLimit);
  CPPUNIT_TEST(testToJson);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a table that grows without bound or evicts recent requests instead of the
  // oldest.
  auto testOldestIsReplaced() -> void {
    TraceTable table;
    const std::size_t extra = 3;
    for (std::size_t i = 0; i < kMaxTraces + extra; ++i) {
      AddEvent(table, "r" + std::to_string(i), {.kind = TraceKind::arrived});
    }
    CPPUNIT_ASSERT_EQUAL(kMaxTraces, table.ring.size());
    CPPUNIT_ASSERT_EQUAL(kMaxTraces, table.slot_by_request.size());
    CPPUNIT_ASSERT(FindTrace(table, "r2") == nullptr);
    CPPUNIT_ASSERT(FindTrace(table, "r3") != nullptr);
    const auto* last = FindTrace(table, "r" + std::to_string(kMaxTraces + extra - 1));
    CPPUNIT_ASSERT(last != nullptr && last->events.size() == 1);
    SetTraceTarget(table, "r2", "a", "w");
    CPPUNIT_ASSERT_EQUAL(kMaxTraces, table.slot_by_request.size());
  }

  // Guards against a request with many attempts whose event list grows without bound or loses its
  // last event.
  auto testEventLimit() -> void {
    TraceTable table;
    AddEvent(table, "r", {.kind = TraceKind::arrived});
    for (std::size_t i = 0; i < 2 * kMaxTraceEvents; ++i) {
      AddEvent(table, "r", {.kind = TraceKind::attempted});
    }
    AddEvent(table, "r", {.kind = TraceKind::ended});
    const auto* trace = FindTrace(table, "r");
    CPPUNIT_ASSERT_EQUAL(kMaxTraceEvents, trace->events.size());
    CPPUNIT_ASSERT(trace->events.front().kind == TraceKind::arrived);
    CPPUNIT_ASSERT(trace->events.back().kind == TraceKind::ended);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kMaxTraceEvents + 2}, trace->dropped);
  }

  auto testToJson() -> void {
    TraceTable table;
    AddEvent(table, "r",
             {.recorded_at = WallTime(std::chrono::microseconds(7)),
              .kind = TraceKind::failed,
              .peer = "p",
              .step = core::Step::admit,
              .outcome = core::Outcome::not_run,
              .reason = core::Reason::no_room});
    AddEvent(table, "r", {.kind = TraceKind::finished, .cost = 5});
    SetTraceTarget(table, "r", "a", "w");
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"process":"e","request":"r","service":"a","workspace":"w","dropped":0,)"
                    R"("events":[{"at_us":7,"kind":"failed","peer":"p","step":"admit",)"
                    R"("outcome":"not_run","reason":"no_room"},)"
                    R"({"at_us":0,"kind":"finished","cost_us":5}]})"),
        ToJson(*FindTrace(table, "r"), "e"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceTest);

}  // namespace
}  // namespace filbertstair::node
