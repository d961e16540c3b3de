#include "filbertstair/admission/demand.h"

#include "property.h"

namespace filbertstair::admission {
namespace {

const DemandKey kKey{"chat", "office", "north"};

auto Announce(DemandTable& table, const std::string& entry, std::uint32_t waiting) -> void {
  const std::vector<DemandItem> items{{kKey.service, kKey.workspace, waiting}};
  CPPUNIT_ASSERT(ReplaceDemand(table, entry, table.sources.at(entry).incarnation, items));
}

auto WaitingRequests(const DemandTable& table) -> std::uint64_t {
  const auto candidates = ListGrantCandidates(table);
  CPPUNIT_ASSERT_EQUAL(HasDemand(table), !candidates.empty());
  return candidates.empty() ? 0 : candidates[0].waiting;
}

class DemandTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandTest);
  CPPUNIT_TEST(testReplaced);
  CPPUNIT_TEST(testOldIncarnationIsIgnored);
  CPPUNIT_TEST(testOldStreamDoesNotCloseNewOne);
  CPPUNIT_TEST(testGrantsAreSubtracted);
  CPPUNIT_TEST(testPaused);
  CPPUNIT_TEST(testGrantsAreProportional);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against stale demand that the entry no longer reports.
  auto testReplaced() -> void {
    DemandTable table;
    CPPUNIT_ASSERT(OpenDemandSource(table, "e1", 1, 1, "north"));
    CPPUNIT_ASSERT(OpenDemandSource(table, "e2", 1, 2, "north"));
    Announce(table, "e1", 5);
    Announce(table, "e2", 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, WaitingRequests(table));
    Announce(table, "e1", 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, WaitingRequests(table));
    const std::vector<DemandItem> other{{"chat", "audit", 4}};
    CPPUNIT_ASSERT(UpdateDemand(table, "e1", 1, other));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ListGrantCandidates(table).size());
    CPPUNIT_ASSERT(ReplaceDemand(table, "e1", 1, {}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, WaitingRequests(table));
    CPPUNIT_ASSERT(CloseDemandSource(table, "e2", 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, WaitingRequests(table));
    CPPUNIT_ASSERT(table.groups.empty() && table.grantable == 0);
  }

  // Guards against grants for requests of an entry process that was replaced.
  auto testOldIncarnationIsIgnored() -> void {
    DemandTable table;
    CPPUNIT_ASSERT(OpenDemandSource(table, "e1", 2, 1, "north"));
    Announce(table, "e1", 5);
    CPPUNIT_ASSERT(!OpenDemandSource(table, "e1", 1, 2, "north"));
    CPPUNIT_ASSERT(!ReplaceDemand(table, "e1", 1, {}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, WaitingRequests(table));
    CPPUNIT_ASSERT(OpenDemandSource(table, "e1", 3, 3, "north"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, WaitingRequests(table));
  }

  // Guards against the late end of a replaced stream discarding the demand of the new stream.
  auto testOldStreamDoesNotCloseNewOne() -> void {
    DemandTable table;
    OpenDemandSource(table, "e1", 1, 1, "north");
    OpenDemandSource(table, "e1", 1, 2, "north");
    Announce(table, "e1", 5);
    CPPUNIT_ASSERT(!CloseDemandSource(table, "e1", 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, WaitingRequests(table));
  }

  // Guards against more grants than waiting requests, and against rows that are never removed.
  auto testGrantsAreSubtracted() -> void {
    DemandTable table;
    OpenDemandSource(table, "e1", 1, 1, "north");
    Announce(table, "e1", 2);
    CountGrant(table, kKey, "e1");
    CountGrant(table, kKey, "e1");
    CPPUNIT_ASSERT(!ChooseEntry(table, kKey));
    CountGrantEnd(table, kKey, "e1", true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, WaitingRequests(table));
    CountGrantEnd(table, kKey, "e1", false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, WaitingRequests(table));
    CountGrant(table, kKey, "e1");
    CPPUNIT_ASSERT(ReplaceDemand(table, "e1", 1, {}));
    CountGrantEnd(table, kKey, "e1", true);
    CPPUNIT_ASSERT(table.groups.empty() && table.grantable == 0 &&
                   table.sources.at("e1").keys.empty());
  }

  // Guards against repeated grants to an unresponsive entry.
  auto testPaused() -> void {
    DemandTable table;
    OpenDemandSource(table, "e1", 2, 1, "north");
    Announce(table, "e1", 5);
    SetPaused(table, "e1", 1, true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, WaitingRequests(table));
    SetPaused(table, "e1", 2, true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, WaitingRequests(table));
    CPPUNIT_ASSERT(!ChooseEntry(table, kKey));
    Announce(table, "e1", 5);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, WaitingRequests(table));
  }

  // Guards against an entry with few waiting requests that is never chosen.
  auto testGrantsAreProportional() -> void {
    DemandTable table;
    OpenDemandSource(table, "e1", 1, 1, "north");
    OpenDemandSource(table, "e2", 1, 2, "north");
    std::map<std::string, int> chosen;
    for (int i = 0; i < 1000; ++i) {
      Announce(table, "e1", 9);
      Announce(table, "e2", 1);
      const auto entry = ChooseEntry(table, kKey);
      CPPUNIT_ASSERT(entry.has_value());
      CountGrant(table, kKey, *entry);
      CountGrantEnd(table, kKey, *entry, false);
      ++chosen[*entry];
    }
    CPPUNIT_ASSERT(chosen["e2"] >= 80 && chosen["e2"] <= 120);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandTest);

}  // namespace
}  // namespace filbertstair::admission
