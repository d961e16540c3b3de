#include "filbertstair/shares/shares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace filbertstair::shares {
namespace {

constexpr Cost kSecond = 1'000'000;

auto At(double seconds) -> Time { return Time(Duration(static_cast<std::int64_t>(seconds * 1e6))); }

auto NewTable(std::size_t workspaces) -> ShareTable {
  ShareTable table;
  InternService(table, "service");
  for (std::size_t i = 0; i < workspaces; ++i) InternWorkspace(table, "w" + std::to_string(i));
  return table;
}

// Charges and settles one request of a workspace.
auto Serve(ShareTable& table, Workspace workspace, Cost cost) -> void {
  const ChargeId id = 1'000'000 + table.charges.size();
  AddCharge(table, id, workspace, 0, cost);
  SettleCharge(table, id, cost);
}

class SharesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharesTest);
  CPPUNIT_TEST(testEstimate);
  CPPUNIT_TEST(testPublishedCounterNeverFalls);
  CPPUNIT_TEST(testRefundCancelsTheCharge);
  CPPUNIT_TEST(testIdleTimeEarnsNothing);
  CPPUNIT_TEST(testShortPauseKeepsTheDeficit);
  CPPUNIT_TEST(testLeadAboveTheMaximumIsForgiven);
  CPPUNIT_TEST(testLinkPrice);
  CPPUNIT_TEST(testTiesFavourNoWorkspace);
  CPPUNIT_TEST(testWeightChangeKeepsTheLevel);
  CPPUNIT_TEST(testGapStaysBelowTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against hints that change an estimate by more than max_hint_ratio.
  auto testEstimate() -> void {
    ShareTable table = NewTable(2);
    CPPUNIT_ASSERT_EQUAL(table.settings.default_cost, EstimateCost(table, 0, 0, std::nullopt));
    CPPUNIT_ASSERT_EQUAL(10 * table.settings.default_cost,
                         EstimateCost(table, 0, 0, 1000 * kSecond));
    Serve(table, 0, 4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(4 * kSecond, EstimateCost(table, 0, 0, 9 * kSecond));
    CPPUNIT_ASSERT_EQUAL(40 * kSecond, EstimateCost(table, 1, 0, 1000 * kSecond));
    CPPUNIT_ASSERT_EQUAL(kSecond * 4 / 10, EstimateCost(table, 1, 0, 1));
  }

  // Guards against a counter that decreases, which peers would ignore because they merge by
  // maximum, and against service that is lost or counted twice.
  auto testPublishedCounterNeverFalls() -> void {
    const bool ok = rc::check([] {
      ShareTable table = NewTable(3);
      table.settings.publish =
          *rc::gen::element(PublishMode::granted, PublishMode::elapsed, PublishMode::settled);
      std::map<ChargeId, double> started;
      std::array<Cost, 3> served{};
      std::array<Cost, 3> published{};
      double now = 0;
      const auto steps = *rc::gen::inRange(1, 60);
      for (int step = 0; step < steps; ++step) {
        now += *rc::gen::inRange(0, 3000) / 1000.0;
        const ChargeId id = *rc::gen::inRange<ChargeId>(0, 8);
        const bool charged = table.charges.contains(id);
        switch (*rc::gen::inRange(0, 4)) {
          case 0:
            AddCharge(table, id, *rc::gen::inRange<Workspace>(0, 3), 0,
                      *rc::gen::inRange(0, 5'000'000));
            break;
          case 1:
            StartCharge(table, id, At(now));
            if (charged) started.try_emplace(id, now);
            break;
          case 2:
            if (!charged || !started.contains(id)) {
              RefundCharge(table, id);
            } else {
              const Cost cost = (At(now) - At(started[id])).count();
              served[table.charges[id].workspace] += cost;
              SettleCharge(table, id, cost);
            }
            started.erase(id);
            break;
          default:
            AccrueSlotTime(table, At(now));
        }
        for (Workspace w = 0; w < 3; ++w) {
          RC_ASSERT(table.rows[w].own_counter >= published[w]);
          published[w] = table.rows[w].own_counter;
        }
      }
      while (!table.charges.empty()) {
        const auto [id, charge] = *table.charges.begin();
        if (charge.started) {
          served[charge.workspace] += (At(now) - *charge.started).count();
          SettleCharge(table, id, (At(now) - *charge.started).count());
        } else {
          RefundCharge(table, id);
        }
      }
      for (Workspace w = 0; w < 3; ++w) {
        RC_ASSERT(table.rows[w].elapsed == served[w]);
        RC_ASSERT(table.rows[w].charged == served[w]);
        RC_ASSERT(table.rows[w].running == 0u);
        RC_ASSERT(table.rows[w].own_counter >= served[w]);
      }
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against workspaces that stay charged for returned grants.
  auto testRefundCancelsTheCharge() -> void {
    ShareTable table = NewTable(1);
    const Level before = EffectiveLevel(table, 0);
    AddCharge(table, 1, 0, 0, 5 * kSecond);
    AddCharge(table, 1, 0, 0, 5 * kSecond);
    CPPUNIT_ASSERT(EffectiveLevel(table, 0) > before);
    RefundCharge(table, 1);
    RefundCharge(table, 1);
    CPPUNIT_ASSERT_EQUAL(before, EffectiveLevel(table, 0));
  }

  // Guards against a workspace that gets all slots after it was idle.
  auto testIdleTimeEarnsNothing() -> void {
    const bool ok = rc::check([] {
      ShareTable table = NewTable(3);
      for (Workspace w = 0; w < 3; ++w) ActivateWorkspace(table, w, 1, At(0));
      DeactivateWorkspace(table, 2, At(1));
      const auto first = *rc::gen::inRange(1, 1000);
      const auto second = *rc::gen::inRange(1, 1000);
      Serve(table, 0, first * kSecond);
      Serve(table, 1, second * kSecond);
      ActivateWorkspace(table, 2, 1, At(100));
      RC_ASSERT(ServiceLevel(table.rows[2]) ==
                std::min(ServiceLevel(table.rows[0]), ServiceLevel(table.rows[1])));
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against a workspace that loses the service it is owed when its queue is empty for less
  // than idle_grace.
  auto testShortPauseKeepsTheDeficit() -> void {
    ShareTable table = NewTable(2);
    for (Workspace w = 0; w < 2; ++w) ActivateWorkspace(table, w, 1, At(0));
    Serve(table, 0, 50 * kSecond);
    DeactivateWorkspace(table, 1, At(1));
    ActivateWorkspace(table, 1, 1, At(1.5));
    CPPUNIT_ASSERT_EQUAL(0.0, ServiceLevel(table.rows[1]));
  }

  // Guards against starvation of a workspace that got far more service than others during a network
  // partition.
  auto testLeadAboveTheMaximumIsForgiven() -> void {
    ShareTable table = NewTable(2);
    table.settings.max_lead = 60e6;
    for (Workspace w = 0; w < 2; ++w) ActivateWorkspace(table, w, 1, At(0));
    Serve(table, 0, 5000 * kSecond);
    PickCandidate(table, {{0, 1, false, 1}, {1, 1, false, 1}}, At(1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60e6, ServiceLevel(table.rows[0]) - ServiceLevel(table.rows[1]),
                                 1.0);
  }

  // Guards against remote demand served for a level difference below link_price, and against a free
  // slot that stays idle while there is only remote demand.
  auto testLinkPrice() -> void {
    ShareTable table = NewTable(2);
    table.settings.dither = 0;
    table.settings.link_price = 10e6;
    for (Workspace w = 0; w < 2; ++w) ActivateWorkspace(table, w, 1, At(0));
    const std::vector<Candidate> both{{0, 1, false, 1}, {1, 1, true, 1}};
    Serve(table, 0, 5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *PickCandidate(table, both, At(1)));
    Serve(table, 0, 6 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *PickCandidate(table, both, At(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *PickCandidate(table, {{0, 1, false, 0}, {1, 1, true, 1}}, At(1)));
    CPPUNIT_ASSERT(!PickCandidate(table, {{0, 1, false, 0}}, At(1)));
  }

  // Guards against all endpoints preferring one workspace when levels are equal.
  auto testTiesFavourNoWorkspace() -> void {
    for (const double dither : {0.0, 0.75}) {
      std::array<int, 4> chosen{};
      for (std::uint64_t salt = 0; salt < 400; ++salt) {
        ShareTable table = NewTable(4);
        table.salt = salt;
        table.settings.dither = dither;
        ++chosen.at(*PickCandidate(
            table, {{0, 1, false, 1}, {1, 1, false, 1}, {2, 1, false, 1}, {3, 1, false, 1}},
            At(0)));
      }
      // 100 expected; 60 is more than four standard deviations below.
      for (const int count : chosen) CPPUNIT_ASSERT(count > 60);
    }
  }

  // Guards against a jump of the level when a configuration document changes a weight.
  auto testWeightChangeKeepsTheLevel() -> void {
    ShareTable table = NewTable(2);
    for (Workspace w = 0; w < 2; ++w) ActivateWorkspace(table, w, 1, At(0));
    Serve(table, 0, 1000 * kSecond);
    ActivateWorkspace(table, 0, 4, At(1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000e6, ServiceLevel(table.rows[0]), 1.0);
    Serve(table, 0, 4 * kSecond);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1001e6, ServiceLevel(table.rows[0]), 1.0);
  }

  // Guards against a gap above lookahead x (slots + dither) + slots x largest cost, the bound of
  // docs/decisions/fair-shares.md for one endpoint.
  auto testGapStaysBelowTheBound() -> void {
    const bool ok = rc::check([] {
      const auto workspaces = *rc::gen::inRange<std::size_t>(2, 6);
      const auto slots = *rc::gen::inRange<std::size_t>(1, 8);
      const auto largest = *rc::gen::inRange(1, 30);
      ShareTable table = NewTable(workspaces);
      std::vector<Candidate> demand;
      for (Workspace w = 0; w < workspaces; ++w) demand.push_back({w, 1, false, 1});
      // Each workspace has its own mean cost, so that costs depend on the choice.
      const auto means = *rc::gen::container<std::vector<int>>(
          workspaces, rc::gen::inRange(1, 1000 * largest + 1));
      std::multimap<double, ChargeId> ends;
      ChargeId next = 0;
      double now = 0;
      for (int step = 0; step < 500; ++step) {
        while (ends.size() < slots) {
          const Workspace w = demand[*PickCandidate(table, demand, At(now))].workspace;
          AddCharge(table, ++next, w, 0, EstimateCost(table, w, 0, std::nullopt));
          StartCharge(table, next, At(now));
          ends.emplace(now + means[w] / 1000.0, next);
        }
        now = ends.begin()->first;
        const ChargeId id = ends.begin()->second;
        ends.erase(ends.begin());
        SettleCharge(table, id, (At(now) - *table.charges[id].started).count());
        AccrueSlotTime(table, At(now));
        const auto by_elapsed = [](const Row& a, const Row& b) { return a.elapsed < b.elapsed; };
        const auto [least, most] =
            std::minmax_element(table.rows.begin(), table.rows.end(), by_elapsed);
        const double bound = static_cast<double>(table.settings.lookahead) *
                                 (static_cast<double>(slots) + table.settings.dither) +
                             static_cast<double>(slots) * largest * 1e6;
        RC_ASSERT(static_cast<double>(most->elapsed - least->elapsed) <= bound);
      }
    });
    CPPUNIT_ASSERT(ok);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharesTest);

}  // namespace
}  // namespace filbertstair::shares
