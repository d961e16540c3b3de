#include "filbertstair/document/diff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace filbertstair::document {
namespace {

auto Reports() -> Service {
  return {.name = "reports",
          .version = 1,
          .hosts = {"a.example", "b.example"},
          .pools = {{.name = "north"}},
          .workspaces = {{.id = "buyers"}, {.id = "vendors"}},
          .once = {{"POST", "/issue"}}};
}

class DiffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiffTest);
  CPPUNIT_TEST(testNoDifference);
  CPPUNIT_TEST(testEachKind);
  CPPUNIT_TEST(testEveryField);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against differences reported for reordered lists, whose order has no meaning.
  auto testNoDifference() -> void {
    auto other = Reports();
    std::reverse(other.hosts.begin(), other.hosts.end());
    std::reverse(other.workspaces.begin(), other.workspaces.end());
    CPPUNIT_ASSERT(Diff(Reports(), other).empty());
  }

  auto testEachKind() -> void {
    auto other = Reports();
    other.version = 2;
    other.hosts = {"a.example"};
    other.workspaces = {{.id = "buyers", .weight = 2.5}, {.id = "vendors"}, {.id = "inspectors"}};
    other.timeouts.queue = std::chrono::milliseconds(1500);
    std::vector<std::string> lines;
    for (const auto& change : Diff(Reports(), other)) lines.push_back(Describe(change));
    const std::vector<std::string> expected{
        "hosts[b.example]: removed",
        "timeouts.queue: 1m -> 1500ms",
        "version: 1 -> 2",
        "workspaces[buyers].weight: 1 -> 2.5",
        "workspaces[inspectors]: added (max_waiting 100, weight 1)",
    };
    CPPUNIT_ASSERT(expected == lines);
  }

  // Guards against a field that is missing from the comparison.
  auto testEveryField() -> void {
    const auto check = [](const std::string& field, auto edit) {
      auto other = Reports();
      edit(other);
      const auto changes = Diff(Reports(), other);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(field, std::size_t{1}, changes.size());
      CPPUNIT_ASSERT_EQUAL(field, changes[0].field);
    };
    using std::chrono::seconds;
    check("name", [](auto& s) { s.name = "x"; });
    check("paths[/x]", [](auto& s) { s.paths = {"/x"}; });
    check("logical_names[x]", [](auto& s) { s.logical_names = {"x"}; });
    check("models[x]", [](auto& s) { s.models = {"x"}; });
    check("pools[north].min_slots", [](auto& s) { s.pools[0].min_slots = 2; });
    check("pools[north].max_slots", [](auto& s) { s.pools[0].max_slots = 2; });
    check("workspaces[buyers].max_waiting", [](auto& s) { s.workspaces[0].max_waiting = 2; });
    check("once[* /x]", [](auto& s) { s.once.push_back({"*", "/x"}); });
    check("timeouts.request", [](auto& s) { s.timeouts.request = seconds(7); });
    check("timeouts.idle", [](auto& s) { s.timeouts.idle = seconds(7); });
    check("retries.budget", [](auto& s) { s.retries.budget = 0.2; });
    check("retries.max_attempts", [](auto& s) { s.retries.max_attempts = 2; });
    check("idempotency.protect", [](auto& s) { s.idempotency.protect = seconds(7); });
    check("idempotency.quiet", [](auto& s) { s.idempotency.quiet = seconds(7); });
    check("max_body_bytes", [](auto& s) { s.max_body_bytes = 7; });
    check("link_price", [](auto& s) { s.link_price = seconds(7); });
    check("max_lead", [](auto& s) { s.max_lead = seconds(7); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiffTest);

}  // namespace
}  // namespace filbertstair::document
