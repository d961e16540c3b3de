#include "filbertstair/config/table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>

namespace filbertstair::config {
namespace {

const int kSeed = setenv("RC_PARAMS", "seed=7 max_success=500", 0);

// Offer of one of three objects, with versions and contents so few that equal versions with equal
// and different contents and invalid versions above and below the valid ones are all frequent.
struct Event {
  ObjectPtr object;
  ValidationResult validity;
};

auto Events() -> std::vector<Event> {
  std::vector<Event> events;
  for (const auto pick : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3 * 5 * 3))) {
    const auto content = std::to_string(pick / 15);
    // Validity depends on the content alone, as every process runs the same validator.
    const bool invalid = pick % 5 == 3 && content != "0";
    events.push_back({MakeObject(ObjectKind::document, std::to_string(pick % 3),
                                 1 + static_cast<std::uint64_t>(pick % 5), content),
                      invalid ? ValidationResult{{"unknown field"}} : ValidationResult{}});
  }
  return events;
}

auto Apply(const std::vector<Event>& events) -> ConfigTable {
  ConfigTable table;
  for (const auto& [object, validity] : events) OfferObject(table, object, validity, core::Time{});
  return table;
}

auto SameState(const ConfigTable& a, const ConfigTable& b) -> bool {
  return std::equal(a.object_states.begin(), a.object_states.end(), b.object_states.begin(),
                    b.object_states.end(), [](const auto& x, const auto& y) {
                      const auto stamp = [](const ObjectState& state) {
                        return state.current ? state.current->stamp : Stamp{};
                      };
                      return x.first == y.first && stamp(x.second) == stamp(y.second) &&
                             x.second.rejected == y.second.rejected;
                    });
}

// Guards against reverting to an older version, nodes that converge to different contents, invalid
// objects that take effect or are fetched repeatedly, and digests that miss a difference.
class TableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableTest);
  CPPUNIT_TEST(testDecisions);
  CPPUNIT_TEST(testNeverReverts);
  CPPUNIT_TEST(testOrderDoesNotMatter);
  CPPUNIT_TEST(testComparisonFindsEveryDifference);
  CPPUNIT_TEST(testRejectedIsNotRequested);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testDecisions() -> void {
    ConfigTable table;
    const auto low = MakeObject(ObjectKind::document, "chat", 2, "a");
    const auto high = MakeObject(ObjectKind::document, "chat", 2, "b");
    const auto& [lost, won] =
        std::minmax(low, high, [](const auto& a, const auto& b) { return a->stamp < b->stamp; });
    const auto offer = [&](const ObjectPtr& object, const ValidationResult& validity = {}) {
      return OfferObject(table, object, validity, core::Time{});
    };
    CPPUNIT_ASSERT(offer(lost).decision == Decision::accepted);
    CPPUNIT_ASSERT(offer(lost).decision == Decision::same);
    const auto first = offer(won);
    CPPUNIT_ASSERT(first.decision == Decision::conflict_won && first.conflict_detected);
    const auto second = offer(lost);
    CPPUNIT_ASSERT(second.decision == Decision::conflict_lost && second.conflict_detected);
    const auto bad = MakeObject(ObjectKind::document, "chat", 3, "c");
    CPPUNIT_ASSERT(offer(bad, {{"no pools"}}).decision == Decision::invalid);
    const auto old = MakeObject(ObjectKind::document, "chat", 1, "d");
    CPPUNIT_ASSERT(offer(old).decision == Decision::older);
    CPPUNIT_ASSERT(FindObject(table, low->key) == won);
  }

  auto testNeverReverts() -> void {
    CPPUNIT_ASSERT(rc::check("the stamp in force never falls", [] {
      ConfigTable table;
      for (const auto& [object, validity] : Events()) {
        const auto before = FindObject(table, object->key);
        OfferObject(table, object, validity, core::Time{});
        const auto after = FindObject(table, object->key);
        // RC_ASSERT evaluates both operands of ||, so the condition is computed outside.
        const bool kept = !before || (after && after->stamp >= before->stamp);
        RC_ASSERT(kept);
        RC_ASSERT(validity.problems.empty() || after == before);
      }
    }));
  }

  auto testOrderDoesNotMatter() -> void {
    CPPUNIT_ASSERT(rc::check("equal offers in any order and number give equal state", [] {
      auto events = Events();
      const auto first = Apply(events);
      std::reverse(events.begin(), events.end());
      const auto again = events;
      events.insert(events.end(), again.begin(), again.end());
      RC_ASSERT(SameState(first, Apply(events)));
    }));
  }

  auto testComparisonFindsEveryDifference() -> void {
    CPPUNIT_ASSERT(rc::check("what both sides request makes them equal", [] {
      auto a = Apply(Events());
      auto b = Apply(Events());
      const auto pull = [](ConfigTable& to, const ConfigTable& from) {
        const auto result = CompareDigest(to, MakeDigest(from, DigestScope::all));
        const auto reverse = CompareDigest(from, MakeDigest(to, DigestScope::all));
        for (const auto& row : reverse.to_send) {
          RC_ASSERT(std::count(result.to_request.begin(), result.to_request.end(), row) == 1);
        }
        for (const auto& row : result.to_request) {
          OfferObject(to, FindObject(from, row.key), {}, core::Time{});
        }
      };
      RC_ASSERT(CompareDigest(a, MakeDigest(b, DigestScope::summary)).needs_all_rows ==
                (MakeDigest(a, DigestScope::all).rows != MakeDigest(b, DigestScope::all).rows));
      pull(a, b);
      pull(b, a);
      RC_ASSERT(MakeDigest(a, DigestScope::all).rows == MakeDigest(b, DigestScope::all).rows);
    }));
  }

  auto testRejectedIsNotRequested() -> void {
    ConfigTable peer;
    const auto object = MakeObject(ObjectKind::document, "chat", 2, "a");
    OfferObject(peer, object, {}, core::Time{});
    const auto announcement = MakeDigest(peer, object->key);
    ConfigTable table;
    const auto before = CompareDigest(table, announcement);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, before.to_request.size());
    CPPUNIT_ASSERT(!before.needs_all_rows);
    OfferObject(table, object, {{"no pools"}}, core::Time{});
    CPPUNIT_ASSERT(CompareDigest(table, announcement).to_request.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

}  // namespace
}  // namespace filbertstair::config
