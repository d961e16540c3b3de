#include "filbertstair/membership/table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <functional>

namespace filbertstair::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const int kSeed = setenv("RC_PARAMS", "seed=7 max_success=500", 0);
constexpr core::Time kStart{};

// Returns a list in which "e" is an endpoint of pool "chat" in `state`, or not listed without a
// state.
auto List(std::uint64_t revision, std::optional<VmState> state) -> VmList {
  VmList list{.revision = revision, .vms = {}};
  list.vms.push_back(
      {.id = "other", .address = "", .region = "north", .failure_domain = "", .pool = ""});
  if (state) {
    list.vms.push_back({"e", core::Role::endpoint, "127.0.0.1:1", "north", "", "chat", *state});
  }
  return list;
}

using Event = std::function<void(MemberTable&)>;

// Generates VM lists and messages with few distinct values. All have the same time, since the tests
// vary the order of arrival. The state in a list depends only on its revision.
auto Events() -> std::vector<Event> {
  std::vector<Event> events;
  for (const auto pick : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16))) {
    if (pick < 8) {
      std::optional<VmState> state;
      if (pick % 4 != 3) state = pick % 4 == 1 ? VmState::leaving : VmState::live;
      events.emplace_back([list = List(static_cast<std::uint64_t>(pick) + 1, state)](auto& t) {
        ApplyVmList(t, list);
      });
    } else {
      const auto incarnation = static_cast<core::Incarnation>(pick / 2);
      events.emplace_back(
          [=](auto& t) { RecordMessage(t, "e", incarnation, pick % 2 == 1, kStart); });
    }
  }
  return events;
}

// Guards against new work for a leaving endpoint, against a process that resumes after a pause and
// reverts newer state with stale messages, and against suspected members treated as removed.
class TableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableTest);
  CPPUNIT_TEST(testAnySignMeansLeaving);
  CPPUNIT_TEST(testOldIncarnationCannotRevert);
  CPPUNIT_TEST(testOrderDoesNotMatter);
  CPPUNIT_TEST(testLeavingStaysUntilNewerFact);
  CPPUNIT_TEST(testSuspicionFromSilenceOnly);
  CPPUNIT_TEST(testSuspicionIsNeverGone);
  CPPUNIT_TEST(testOwnPauseIsNotSilence);
  CPPUNIT_TEST(testMembersAndForgetting);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testAnySignMeansLeaving() -> void {
    MemberTable listed;
    ApplyVmList(listed, List(1, VmState::live));
    SetPools(listed, {"chat"});
    CPPUNIT_ASSERT(StateOf(listed, "e") == MemberState::live && !MustDrain(listed, "e"));
    auto table = listed;
    ApplyVmList(table, List(2, VmState::leaving));
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::leaving && MustDrain(table, "e"));
    table = listed;
    const StateChange change{"e", MemberState::live, MemberState::leaving};
    CPPUNIT_ASSERT(SetPools(table, {}) == std::vector{change} && MustDrain(table, "e"));
    table = listed;
    RecordMessage(table, "e", 5, true, kStart);
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::leaving);
    table = listed;
    ApplyVmList(table, List(2, std::nullopt));
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::gone && !MustDrain(table, "e"));
  }

  auto testOldIncarnationCannotRevert() -> void {
    MemberTable table;
    ApplyVmList(table, List(7, VmState::live));
    RecordMessage(table, "e", 5, true, kStart);
    CPPUNIT_ASSERT(RecordMessage(table, "e", 5, false, kStart) == Freshness::current);
    CPPUNIT_ASSERT(RecordMessage(table, "e", 4, false, kStart) == Freshness::stale);
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::leaving);
    CPPUNIT_ASSERT(RecordMessage(table, "e", 6, false, kStart) == Freshness::current);
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::live);
    // Messages and connections of an old incarnation and old lists do not affect the new
    // incarnation.
    RecordMessage(table, "e", 5, true, kStart);
    RecordLinkDown(table, "e", 5, kStart);
    ApplyVmList(table, List(6, VmState::leaving));
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::live);
    CPPUNIT_ASSERT(table.members["e"].link.connected);
  }

  auto testOrderDoesNotMatter() -> void {
    CPPUNIT_ASSERT(rc::check("equal events in any order and number give equal state", [] {
      auto events = Events();
      const auto apply = [&events] {
        MemberTable table;
        for (const auto& event : events) event(table);
        return table;
      };
      const auto first = apply();
      std::reverse(events.begin(), events.end());
      const auto again = events;
      events.insert(events.end(), again.begin(), again.end());
      const auto second = apply();
      RC_ASSERT(StateOf(first, "e") == StateOf(second, "e"));
      RC_ASSERT(first.revision == second.revision);
    }));
  }

  auto testLeavingStaysUntilNewerFact() -> void {
    CPPUNIT_ASSERT(rc::check("only a newer list or incarnation ends leaving", [] {
      MemberTable table;
      for (const auto& event : Events()) {
        const auto before = table;
        event(table);
        if (StateOf(before, "e") != MemberState::leaving) continue;
        if (StateOf(table, "e") == MemberState::leaving) continue;
        const auto& old = before.members.at("e").link;
        const auto found = table.members.find("e");
        const bool newer =
            found != table.members.end() && found->second.link.incarnation > old.incarnation;
        RC_ASSERT(newer || (table.revision > before.revision && !old.draining) ||
                  StateOf(table, "e") == MemberState::gone);
      }
    }));
  }

  auto testSuspicionFromSilenceOnly() -> void {
    MemberTable table;
    ApplyVmList(table, List(1, VmState::live));
    RecordMessage(table, "e", 5, false, kStart);
    const auto evaluate = [&table](core::Time from, core::Duration time) {
      std::vector<StateChange> changes;
      for (auto now = from; now <= from + time; now += milliseconds(250)) {
        for (const auto& change : EvaluateSuspicion(table, now)) changes.push_back(change);
      }
      return changes;
    };
    CPPUNIT_ASSERT(evaluate(kStart, milliseconds(2750)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evaluate(kStart + seconds(3), seconds(0)).size());
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::suspected);
    RecordMessage(table, "e", 5, false, kStart + seconds(4));
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::live);
    RecordLinkDown(table, "e", 5, kStart + seconds(4));
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::live);
    evaluate(kStart + seconds(4), seconds(1));
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::suspected);
    // A peer without any connection attempt is not silent.
    CPPUNIT_ASSERT(StateOf(table, "other") == MemberState::live);
  }

  auto testSuspicionIsNeverGone() -> void {
    CPPUNIT_ASSERT(rc::check("silence never changes live or leaving to gone", [] {
      MemberTable table;
      for (const auto& event : Events()) event(table);
      const auto before = StateOf(table, "e");
      RecordLinkDown(table, "e", table.members["e"].link.incarnation, kStart);
      for (int i = 0; i < *rc::gen::inRange(0, 40); ++i) {
        EvaluateSuspicion(table, kStart + milliseconds(250) * i);
      }
      const auto after = StateOf(table, "e");
      RC_ASSERT(before == after ||
                (before == MemberState::live && after == MemberState::suspected));
    }));
  }

  auto testOwnPauseIsNotSilence() -> void {
    MemberTable table;
    ApplyVmList(table, List(1, VmState::live));
    RecordMessage(table, "e", 5, false, kStart);
    EvaluateSuspicion(table, kStart);
    const auto wake = kStart + seconds(60);
    CPPUNIT_ASSERT(EvaluateSuspicion(table, wake).empty());
    for (int i = 1; i < 12; ++i) {
      CPPUNIT_ASSERT(EvaluateSuspicion(table, wake + milliseconds(250) * i).empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, EvaluateSuspicion(table, wake + seconds(3)).size());
  }

  auto testMembersAndForgetting() -> void {
    MemberTable table;
    ApplyVmList(table, List(1, VmState::live));
    CPPUNIT_ASSERT(ListMembers(table, core::Role::endpoint) == std::vector<std::string>{"e"});
    CPPUNIT_ASSERT(ListMembers(table, core::Role::endpoint, "south").empty());
    RecordMessage(table, "e", 5, true, kStart);
    CPPUNIT_ASSERT(ListMembers(table, core::Role::endpoint).empty());
    ApplyVmList(table, List(2, std::nullopt));
    RecordLinkDown(table, "e", 5, kStart);
    EvaluateSuspicion(table, kStart);
    ApplyVmList(table, List(3, VmState::live));
    CPPUNIT_ASSERT(StateOf(table, "e") == MemberState::leaving);
    ApplyVmList(table, List(4, std::nullopt));
    for (int i = 1; i <= 3601; ++i) EvaluateSuspicion(table, kStart + seconds(i));
    CPPUNIT_ASSERT(!table.members.contains("e"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

}  // namespace
}  // namespace filbertstair::membership
