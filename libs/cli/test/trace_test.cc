#include "filbertstair/cli/trace.h"

#include <cppunit/extensions/HelperMacros.h>

#include "responder.h"

namespace filbertstair::cli {
namespace {

class TraceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TraceTest);
  CPPUNIT_TEST(testMerges);
  CPPUNIT_TEST(testUnknownRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against records of several processes that are not ordered by time.
  auto testMerges() -> void {
    Responder entry([](const std::string& request) -> Responder::Response {
      if (request != "GET /trace?id=e1-5-1") return {404, "not found\n"};
      return {200, R"({"process":"e1","service":"a","workspace":"w","events":[{"at_us":1000,)"
                   R"("kind":"arrived"},{"at_us":9000,"kind":"ended","outcome":"ran"}]})"};
    });
    Responder endpoint([](const std::string&) -> Responder::Response {
      return {200, R"({"process":"p1","service":"a","workspace":"w","events":[{"at_us":8000,)"
                   R"("kind":"finished","cost_us":5000}]})"};
    });
    const auto report = Trace({"e1-5-1", {endpoint.Address(), entry.Address()}});
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::done);
    const std::vector<std::string> expected{
        "request e1-5-1: service a, workspace w", "+0.000 s  e1  arrived",
        "+0.007 s  p1  finished  cost 0.005 s", "+0.008 s  e1  ended  outcome ran"};
    CPPUNIT_ASSERT(expected == report.lines);
  }

  // Guards against reporting success for a request that no process has a record of.
  auto testUnknownRequest() -> void {
    Responder entry([](const std::string&) { return Responder::Response{404, "not found\n"}; });
    CPPUNIT_ASSERT(Trace({"e1-5-1", {entry.Address()}}).exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT_THROW(Trace({"a&b", {entry.Address()}}), core::Error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceTest);

}  // namespace
}  // namespace filbertstair::cli
