#include "filbertstair/shares/exchange.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <string>
#include <tuple>
#include <vector>

namespace filbertstair::shares {
namespace {

constexpr std::size_t kEnough = 1'000'000;

auto NewTable(std::size_t workspaces, std::size_t sources) -> ShareTable {
  ShareTable table;
  InternService(table, "service");
  for (std::size_t i = 0; i < workspaces; ++i) {
    InternWorkspace(table, "w" + std::to_string(1000 + i));
  }
  for (std::size_t i = 0; i < sources; ++i) {
    MarkSourceLinked(table, InternSource(table, "e" + std::to_string(i)));
  }
  return table;
}

// Workspace, source, incarnation and counter.
using Report = std::tuple<Workspace, Source, Incarnation, Cost>;

auto GenReports() -> rc::Gen<std::vector<Report>> {
  return rc::gen::container<std::vector<Report>>(
      rc::gen::tuple(rc::gen::inRange<Workspace>(0, 3), rc::gen::inRange<Source>(0, 3),
                     rc::gen::inRange<Incarnation>(1, 4), rc::gen::inRange<Cost>(0, 1000)));
}

auto MergeAll(ShareTable& table, const std::vector<Report>& reports) -> void {
  for (const auto& [workspace, source, incarnation, counter] : reports) {
    MergeCounter(table, workspace, source, incarnation, counter, 0);
  }
}

auto TotalsOf(const ShareTable& table) -> std::vector<Cost> {
  std::vector<Cost> totals;
  for (const Row& row : table.rows) totals.push_back(FleetTotal(row));
  return totals;
}

// Sends all counters of one table to another with Feed::rows.
auto Relay(const ShareTable& from, ShareTable& to) -> void {
  ExchangeLink link{.feed = Feed::rows};
  for (const Update& u : SelectUpdates(from, link, kEnough)) {
    MergeCounter(to, u.workspace, u.source, u.incarnation, u.counter, u.running);
  }
}

auto Serve(ShareTable& table, Workspace workspace, Cost cost) -> void {
  const ChargeId id = 1'000'000 + table.charges.size();
  AddCharge(table, id, workspace, 0, cost);
  SettleCharge(table, id, cost);
}

class ExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExchangeTest);
  CPPUNIT_TEST(testMergeIsIdempotentAndCommutative);
  CPPUNIT_TEST(testMergeIsAssociative);
  CPPUNIT_TEST(testRestartLosesOnlyUnreportedService);
  CPPUNIT_TEST(testOthersIsTheLargestSum);
  CPPUNIT_TEST(testTotalsLeaveOutTheReceiver);
  CPPUNIT_TEST(testDomainSums);
  CPPUNIT_TEST(testBudget);
  CPPUNIT_TEST(testFoldKeepsTotals);
  CPPUNIT_TEST(testLearningKeepsLevels);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against totals that depend on the order of reports or on duplicates.
  auto testMergeIsIdempotentAndCommutative() -> void {
    const bool ok = rc::check([] {
      const auto reports = *GenReports();
      ShareTable once = NewTable(3, 3);
      MergeAll(once, reports);
      auto shuffled = reports;
      std::reverse(shuffled.begin(), shuffled.end());
      const auto middle = *rc::gen::inRange<std::size_t>(0, shuffled.size() + 1);
      std::rotate(shuffled.begin(), shuffled.begin() + static_cast<std::ptrdiff_t>(middle),
                  shuffled.end());
      ShareTable twice = NewTable(3, 3);
      MergeAll(twice, shuffled);
      MergeAll(twice, reports);
      RC_ASSERT(TotalsOf(once) == TotalsOf(twice));
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against totals that depend on the entries through which reports were relayed.
  auto testMergeIsAssociative() -> void {
    const bool ok = rc::check([] {
      const std::array<std::vector<Report>, 3> reports{*GenReports(), *GenReports(), *GenReports()};
      std::array<ShareTable, 3> left;
      for (std::size_t i = 0; i < 3; ++i) {
        left.at(i) = NewTable(3, 3);
        MergeAll(left.at(i), reports.at(i));
      }
      std::array<ShareTable, 3> right = left;
      // (0 + 1) + 2 against 0 + (1 + 2).
      Relay(left[0], left[1]);
      Relay(left[1], left[2]);
      Relay(right[2], right[1]);
      Relay(right[1], right[0]);
      RC_ASSERT(TotalsOf(left[2]) == TotalsOf(right[0]));
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against the loss of an endpoint's service when its process restarts.
  auto testRestartLosesOnlyUnreportedService() -> void {
    ShareTable entry = NewTable(1, 1);
    ShareTable endpoint = NewTable(1, 0);
    ExchangeLink link{.feed = Feed::own};
    Serve(endpoint, 0, 70);
    for (const Update& u : SelectUpdates(endpoint, link, kEnough)) {
      MergeCounter(entry, 0, 0, 1, u.counter, 0);
    }
    Serve(endpoint, 0, 5);
    ShareTable restarted = NewTable(1, 0);
    ExchangeLink new_link{.feed = Feed::own};
    Serve(restarted, 0, 10);
    for (const Update& u : SelectUpdates(restarted, new_link, kEnough)) {
      MergeCounter(entry, 0, 0, 2, u.counter, 0);
    }
    CPPUNIT_ASSERT_EQUAL(Cost{80}, FleetTotal(entry.rows[0]));
    ExchangeLink totals{.feed = Feed::totals, .peer = 0, .incarnation = 2};
    CPPUNIT_ASSERT_EQUAL(Cost{70}, SelectUpdates(entry, totals, kEnough).at(0).counter);
  }

  // Guards against an entry with old or incomplete counters that lowers the total reported by
  // another.
  auto testOthersIsTheLargestSum() -> void {
    const bool ok = rc::check([](const std::vector<std::uint16_t>& sums) {
      ShareTable table = NewTable(1, 0);
      Cost largest = 0;
      for (const Cost sum : sums) {
        MergeOthersTotal(table, 0, sum, 1);
        largest = std::max(largest, sum);
        RC_ASSERT(FleetTotal(table.rows[0]) == largest);
      }
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against an endpoint's service that is counted twice because an entry reports it back.
  auto testTotalsLeaveOutTheReceiver() -> void {
    ShareTable entry = NewTable(1, 2);
    MergeCounter(entry, 0, 0, 1, 30, 2);
    MergeCounter(entry, 0, 1, 1, 50, 3);
    ExchangeLink link{.feed = Feed::totals, .peer = 1, .incarnation = 1};
    const auto updates = SelectUpdates(entry, link, kEnough);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
    CPPUNIT_ASSERT_EQUAL(Cost{30}, updates[0].counter);
    CPPUNIT_ASSERT_EQUAL(2u, updates[0].running);
    // Only the receiver's own counter rose.
    MergeCounter(entry, 0, 1, 1, 60, 3);
    CPPUNIT_ASSERT(SelectUpdates(entry, link, kEnough).empty());
  }

  // Guards against service of other domains in the sum that a domain reports as its own.
  auto testDomainSums() -> void {
    ShareTable entry = NewTable(1, 2);
    const Source domain = InternSource(entry, "domain");
    MergeCounter(entry, 0, 0, 1, 30, 1);
    MergeCounter(entry, 0, 1, 1, 50, 1);
    MergeCounter(entry, 0, domain, 0, 900, 9);
    ExchangeLink link{.feed = Feed::domain};
    const auto updates = SelectUpdates(entry, link, kEnough);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
    CPPUNIT_ASSERT_EQUAL(Cost{80}, updates[0].counter);
    CPPUNIT_ASSERT_EQUAL(2u, updates[0].running);
  }

  // Guards against messages above the byte budget, and against small changes that are never
  // reported. All names have the same length, because otherwise a smaller change with a shorter
  // name could be sent before a larger one.
  auto testBudget() -> void {
    const bool ok = rc::check([] {
      const auto costs =
          *rc::gen::nonEmpty(rc::gen::container<std::vector<Cost>>(rc::gen::inRange(1, 100)));
      ShareTable table = NewTable(costs.size(), 0);
      for (Workspace w = 0; w < costs.size(); ++w) Serve(table, w, costs[w]);
      const std::size_t budget = 100;
      ExchangeLink link{.feed = Feed::own};
      std::vector<Cost> seen(costs.size());
      std::vector<bool> named(costs.size());
      Cost smallest = 1000;
      for (std::size_t message = 0; message < costs.size(); ++message) {
        std::size_t bytes = 0;
        Cost largest = 0;
        for (const Update& u : SelectUpdates(table, link, budget)) {
          bytes += kUpdateBytes + (named[u.workspace] ? 0 : table.rows[u.workspace].name.size());
          named[u.workspace] = true;
          largest = std::max(largest, u.counter);
          if (message == 0) smallest = std::min(smallest, u.counter);
          seen[u.workspace] = u.counter;
        }
        RC_ASSERT(bytes <= budget);
        if (message > 0) RC_ASSERT(largest <= smallest);
      }
      RC_ASSERT(seen == costs);
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against service that is lost when the counters of old incarnations are folded.
  auto testFoldKeepsTotals() -> void {
    const bool ok = rc::check([] {
      ShareTable table = NewTable(3, 3);
      MergeAll(table, *GenReports());
      const auto before = TotalsOf(table);
      FoldOldIncarnations(table, *rc::gen::inRange<Source>(0, 3),
                          *rc::gen::inRange<Incarnation>(1, 5));
      RC_ASSERT(TotalsOf(table) == before);
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against a restarted endpoint that serves a single workspace because it received the
  // totals but not the level offsets from before its start.
  auto testLearningKeepsLevels() -> void {
    ShareTable table = NewTable(2, 0);
    table.warming_up = true;
    for (Workspace w = 0; w < 2; ++w) ActivateWorkspace(table, w, 1, Time{});
    MergeOthersTotal(table, 0, 1'000'000, 1);
    CPPUNIT_ASSERT_EQUAL(ServiceLevel(table.rows[1]), ServiceLevel(table.rows[0]));
    table.warming_up = false;
    MergeOthersTotal(table, 0, 1'000'500, 1);
    CPPUNIT_ASSERT_EQUAL(500.0, ServiceLevel(table.rows[0]) - ServiceLevel(table.rows[1]));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);

}  // namespace
}  // namespace filbertstair::shares
