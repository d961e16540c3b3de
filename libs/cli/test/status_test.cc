#include "filbertstair/cli/status.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "responder.h"

namespace filbertstair::cli {
namespace {

// Returns the status JSON of an entry with one object, one queue and one share.
auto EntryStatus(const std::string& id, int version, const std::string& hash) -> std::string {
  return R"({"id":")" + id +
         R"(","role":"entry","region":"north","draining":false,"in_flight":2,"objects":[{"name":)" +
         R"("a.yaml","version":)" + std::to_string(version) + R"(,"hash":")" + hash +
         R"("}],"queues":[{"service":"a","workspace":"w","waiting":5}],)" +
         R"("shares":[{"account":"a/w","fleet_us":1500000}]})";
}

class StatusTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatusTest);
  CPPUNIT_TEST(testAgreeing);
  CPPUNIT_TEST(testDiffering);
  CPPUNIT_TEST(testUnreachable);
  CPPUNIT_TEST_SUITE_END();

  static auto Returning(std::string body) -> Responder::Handler {
    return [body = std::move(body)](const std::string&) { return Responder::Response{200, body}; };
  }

  static auto Has(const CommandReport& report, const std::string& line) -> bool {
    return std::find(report.lines.begin(), report.lines.end(), line) != report.lines.end();
  }

 public:
  auto testAgreeing() -> void {
    Responder first(Returning(EntryStatus("e1", 3, "9")));
    Responder second(Returning(EntryStatus("e2", 3, "9")));
    const auto report = Status({{first.Address(), second.Address()}});
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::done);
    CPPUNIT_ASSERT(Has(report, "  queue a/w: 5 waiting"));
    CPPUNIT_ASSERT(Has(report, "  share a/w: fleet 1.500 s"));
    CPPUNIT_ASSERT(Has(report, "  object a.yaml: version 3"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report.json.at("processes").as_array().size());
  }

  // Guards against an undetected process with an old version, or with different content under the
  // same version.
  auto testDiffering() -> void {
    Responder newest(Returning(EntryStatus("e1", 3, "9")));
    Responder old(Returning(EntryStatus("e2", 2, "8")));
    Responder other(Returning(EntryStatus("e3", 3, "7")));
    const auto report = Status({{newest.Address(), old.Address(), other.Address()}});
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT(Has(report, "e2 differs: a.yaml has version 2 in force, others have version 3"));
    CPPUNIT_ASSERT(Has(report,
                       "e3 differs: a.yaml has version 3 in force, others have version 3 with "
                       "another hash"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report.json.at("differences").as_array().size());
  }

  // Guards against an unreachable process that hides the others or is reported as healthy.
  auto testUnreachable() -> void {
    Responder alive(Returning(EntryStatus("e1", 3, "9")));
    const auto report = Status({{UnusedAddress(), alive.Address()}});
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.json.at("processes").as_array().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.json.at("errors").as_array().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusTest);

}  // namespace
}  // namespace filbertstair::cli
