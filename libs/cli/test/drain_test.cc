#include "filbertstair/cli/drain.h"

#include <cppunit/extensions/HelperMacros.h>

#include "responder.h"

namespace filbertstair::cli {
namespace {

class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(testWaitsForRequests);
  CPPUNIT_TEST(testWaitLimit);
  CPPUNIT_TEST(testRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting a process as drained, so that its VM is replaced, while it still has
  // requests in flight.
  auto testWaitsForRequests() -> void {
    int left = 2;
    Responder process([&](const std::string& request) -> Responder::Response {
      if (request == "POST /drain") return {202, "draining\n"};
      return {200, "{\"in_flight\":" + std::to_string(left--) + "}"};
    });
    const auto report = Drain({.address = process.Address(), .wait = true});
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::done);
    CPPUNIT_ASSERT_EQUAL(-1, left);
    CPPUNIT_ASSERT_EQUAL(process.Address() + ": none in flight", report.lines.back());
  }

  auto testWaitLimit() -> void {
    Responder process([](const std::string& request) -> Responder::Response {
      if (request == "POST /drain") return {202, "draining\n"};
      return {200, "{\"in_flight\":3}"};
    });
    const auto report = Drain(
        {.address = process.Address(), .wait = true, .wait_limit = std::chrono::milliseconds(0)});
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT_EQUAL(process.Address() + ": still 3 in flight", report.lines.back());
  }

  // Guards against reporting success for a drain that did not start.
  auto testRefused() -> void {
    Responder process([](const std::string&) { return Responder::Response{404, "not found\n"}; });
    CPPUNIT_ASSERT(Drain({.address = process.Address()}).exit_status == ExitStatus::refused);
    const auto missing = Drain({.address = UnusedAddress()});
    CPPUNIT_ASSERT(missing.exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT(!missing.json.at("draining").as_bool());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace filbertstair::cli
