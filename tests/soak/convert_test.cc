#include "tests/soak/convert.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::soak {
namespace {

// An arrival of `id` at replica m0, as the stand-in writes it.
auto ArriveLine(const std::string& id, const std::string& at, const std::string& deadline_ms)
    -> std::string {
  return R"({"kind":"arrive","id":")" + id + R"(","replica":"m0","service":"llm","arrived_at":)" +
         at + R"(,"deadline_ms":")" + deadline_ms + R"(","expected":"m0","resume_after":"3"})";
}

auto StartLine(const std::string& id, const std::string& at) -> std::string {
  return R"({"kind":"start","id":")" + id + R"(","endpoint":"m0","arrived_at":)" + at + "}";
}

auto EndLine(const std::string& id, const std::string& at, const std::string& end,
             const std::string& status) -> std::string {
  return R"({"kind":"end","id":")" + id + R"(","replica":"m0","arrived_at":)" + at + R"(,"end":")" +
         end + R"(","status":)" + status + R"(,"retry_after_ms":0,"at":900})";
}

class ConvertTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConvertTest);
  CPPUNIT_TEST(testArrivalsThatDidNotRunAreKept);
  CPPUNIT_TEST(testArrivalsOfOneRequestAreToldApart);
  CPPUNIT_TEST(testArrivalHasTheEntryOfItsCall);
  CPPUNIT_TEST(testProcessesAndFaultsBecomeDisturbances);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against repeats that are not counted because the replica refused the request.
  auto testArrivalsThatDidNotRunAreKept() -> void {
    Observations observed;
    ReadReplicas({ArriveLine("c1", "100", "4000"), EndLine("c1", "100", "refused", "421")},
                 observed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observed.arrivals.size());
    const auto& arrival = observed.arrivals.front();
    CPPUNIT_ASSERT(!arrival.ran);
    CPPUNIT_ASSERT_EQUAL(judge::Time{100}, arrival.at);
    CPPUNIT_ASSERT_EQUAL(judge::Time{4'000'000}, arrival.deadline.value());
    CPPUNIT_ASSERT_EQUAL(std::string("m0"), arrival.expected_replica);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), arrival.resume_after);
    CPPUNIT_ASSERT_EQUAL(std::string("refused"), std::string(core::Name(arrival.end)));
    CPPUNIT_ASSERT_EQUAL(421, arrival.status);
    CPPUNIT_ASSERT(observed.starts.empty());
  }

  // Guards against an end that is noted at another arrival of the same request.
  auto testArrivalsOfOneRequestAreToldApart() -> void {
    Observations observed;
    ReadReplicas({ArriveLine("c1", "100", ""), StartLine("c1", "100"), ArriveLine("c1", "200", ""),
                  StartLine("c1", "200"), EndLine("c1", "200", "answered", "200"),
                  EndLine("c1", "100", "cut", "200")},
                 observed);
    CPPUNIT_ASSERT_EQUAL(2, observed.starts.at("c1"));
    CPPUNIT_ASSERT(!observed.arrivals.front().deadline);
    CPPUNIT_ASSERT(observed.arrivals.front().end == judge::ArrivalEnd::cut);
    CPPUNIT_ASSERT(observed.arrivals.back().end == judge::ArrivalEnd::answered);
  }

  // Guards against findings that can't be excused, because their entry is not known.
  auto testArrivalHasTheEntryOfItsCall() -> void {
    Observations observed;
    CallRecord call;
    call.id = "c1";
    call.kind = CallKind::once;
    call.entry = 2;
    call.deadline_ms = 5000;
    observed.calls = {call};
    ReadReplicas({ArriveLine("c1", "100", ""), ArriveLine("c2", "200", "")}, observed);
    const auto history = ToHistory(observed);
    CPPUNIT_ASSERT_EQUAL(2, history.arrivals.front().entry);
    CPPUNIT_ASSERT_EQUAL(-1, history.arrivals.back().entry);
    CPPUNIT_ASSERT(history.attempts.front().kind == judge::RequestKind::unsafe);
    CPPUNIT_ASSERT_EQUAL(judge::Time{5'000'000}, history.attempts.front().deadline);
  }

  // Guards against disturbances that the judge does not hear of, and planned work that it takes for
  // unplanned.
  auto testProcessesAndFaultsBecomeDisturbances() -> void {
    Observations observed;
    EntryRun run;
    run.entry = 1;
    run.started_at = 10;
    run.terminated_at = 50;
    observed.runs = {run};
    observed.disturbances = {{FaultKind::terminate, 1, 50, 50},
                             {FaultKind::silence_replica, -1, 60, 70, "m0"},
                             {FaultKind::reload, 2}};
    const auto history = ToHistory(observed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.disturbances.size());
    CPPUNIT_ASSERT(history.disturbances[0].kind == judge::DisturbanceKind::start);
    CPPUNIT_ASSERT(history.disturbances[1].kind == judge::DisturbanceKind::terminate);
    CPPUNIT_ASSERT_EQUAL(1, history.disturbances[1].entry);
    CPPUNIT_ASSERT(history.disturbances[2].kind == judge::DisturbanceKind::replica);
    CPPUNIT_ASSERT_EQUAL(std::string("m0"), history.disturbances[2].replica);
    CPPUNIT_ASSERT_EQUAL(judge::Time{70}, history.disturbances[2].until);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConvertTest);

}  // namespace
}  // namespace filbertstair::soak
