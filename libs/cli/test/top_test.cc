#include "filbertstair/cli/top.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "responder.h"

namespace filbertstair::cli {
namespace {

class TopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TopTest);
  CPPUNIT_TEST(testCountAndProgress);
  CPPUNIT_TEST(testStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a bounded run that does not end, and against dropping an unreachable process
  // from the report.
  auto testCountAndProgress() -> void {
    std::atomic<int> calls = 0;
    Responder process([&](const std::string&) -> Responder::Response {
      return {200,
              R"({"id":"p","role":"endpoint","limit":4,"running":1,"shares":[{"account":"a/w",)"
              R"("fleet_us":)" +
                  std::to_string(1'000'000 * ++calls) + "}]}"};
    });
    int shown = 0;
    const auto last =
        Top({.addresses = {process.Address(), UnusedAddress()},
             .interval = std::chrono::milliseconds(1),
             .count = 3},
            [&](const CommandReport& view) {
              CPPUNIT_ASSERT_EQUAL(
                  ++shown > 1,
                  view.json.at("accounts").as_array()[0].as_object().contains("slots_used"));
              return true;
            });
    CPPUNIT_ASSERT_EQUAL(2, shown);
    CPPUNIT_ASSERT(last.exit_status == ExitStatus::done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last.json.at("errors").as_array().size());
    const auto& account = last.json.at("accounts").as_array()[0].as_object();
    CPPUNIT_ASSERT(account.at("fleet_us").to_number<int>() == 3'000'000);
    CPPUNIT_ASSERT(account.at("slots_used").as_double() > 0);
  }

  auto testStop() -> void {
    const auto report =
        Top({.addresses = {UnusedAddress()}}, [](const CommandReport&) { return false; });
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TopTest);

}  // namespace
}  // namespace filbertstair::cli
