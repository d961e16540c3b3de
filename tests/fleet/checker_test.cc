#include "tests/fleet/checker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>

namespace filbertstair::fleet {
namespace {

constexpr std::int64_t kSecond = 1'000'000;

auto Make(std::int64_t at, EventKind kind, const std::string& source, const std::string& id,
          const std::string& workspace) -> Event {
  Event event;
  event.at = at;
  event.kind = kind;
  event.source = source;
  event.id = id;
  event.workspace = workspace;
  return event;
}

auto Invoke(std::int64_t at, const std::string& id, const std::string& workspace) -> Event {
  return Make(at, EventKind::invoke, "caller", id, workspace);
}

auto Once(std::int64_t at, const std::string& id, const std::string& key) -> Event {
  auto event = Invoke(at, id, "a");
  event.call_class = core::CallClass::once;
  event.key = key;
  return event;
}

auto Start(std::int64_t at, const std::string& id, const std::string& source = "r1") -> Event {
  return Make(at, EventKind::start, source, id, "");
}

auto End(std::int64_t at, const std::string& id, const std::string& source = "r1") -> Event {
  return Make(at, EventKind::end, source, id, "");
}

auto Answer(std::int64_t at, const std::string& id) -> Event {
  auto event = Make(at, EventKind::answer, "caller", id, "");
  event.outcome = core::Outcome::ran;
  event.echo = id;
  event.announced = event.received = "3:abc";
  event.complete = true;
  return event;
}

auto Refuse(std::int64_t at, const std::string& id, core::Outcome outcome) -> Event {
  auto event = Make(at, EventKind::refuse, "caller", id, "");
  event.outcome = outcome;
  event.reason = "queue_full";
  return event;
}

auto Config(std::int64_t at, const std::string& process, std::uint64_t version) -> Event {
  auto event = Make(at, EventKind::config, process, "", "");
  event.object = "documents/a.yaml";
  event.version = version;
  return event;
}

auto Leaving(std::int64_t at) -> Event { return Make(at, EventKind::leaving, "r1", "", ""); }

// Two workspaces take turns at one slot, 1 s each, with one more request of each always waiting.
auto Turns(const std::string& order) -> std::vector<Event> {
  std::vector<Event> events;
  for (std::size_t i = 0; i < order.size(); ++i) {
    events.push_back(Invoke(1, std::to_string(i), std::string(1, order[i])));
  }
  // These two wait until the end, so that both workspaces stay backlogged.
  events.push_back(Invoke(1, "last-a", "a"));
  events.push_back(Invoke(1, "last-b", "b"));
  for (std::size_t i = 0; i < order.size(); ++i) {
    const auto at = 2 + static_cast<std::int64_t>(i) * kSecond;
    events.push_back(Start(at, std::to_string(i)));
    events.push_back(End(at + kSecond - 1, std::to_string(i)));
  }
  return events;
}

auto Count(const std::vector<Event>& events, Check check, const Bounds& bounds = {}) -> int {
  const auto violations = CheckHistory(events, bounds);
  // A history that breaks one guarantee must not be reported as breaking another one.
  for (const auto& violation : violations) CPPUNIT_ASSERT(violation.check == check);
  return static_cast<int>(violations.size());
}

// Guards against a check that accepts a history which breaks its guarantee, or rejects one that
// keeps it; either would make every fleet test worthless.
class CheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckerTest);
  CPPUNIT_TEST(testAtMostOnce);
  CPPUNIT_TEST(testNotRun);
  CPPUNIT_TEST(testAnswers);
  CPPUNIT_TEST(testLeaving);
  CPPUNIT_TEST(testConfig);
  CPPUNIT_TEST(testStarvation);
  CPPUNIT_TEST(testGap);
  CPPUNIT_TEST(testGapByWeight);
  CPPUNIT_TEST(testGapOnlyWhileBacklogged);
  CPPUNIT_TEST(testRoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testAtMostOnce() -> void {
    const auto check = Check::at_most_once;
    CPPUNIT_ASSERT_EQUAL(0, Count({Once(1, "x", ""), Start(2, "x"), Answer(3, "x")}, check));
    // A retry of a repeatable call is allowed.
    CPPUNIT_ASSERT_EQUAL(0,
                         Count({Invoke(1, "x", "a"), Start(2, "x"), Start(3, "x", "r2")}, check));
    CPPUNIT_ASSERT_EQUAL(1, Count({Once(1, "x", ""), Start(2, "x"), Start(3, "x", "r2")}, check));
    // Two HTTP requests with one key are one call.
    CPPUNIT_ASSERT_EQUAL(
        1, Count({Once(1, "x", "k"), Start(2, "x"), Once(3, "y", "k"), Start(4, "y")}, check));
    CPPUNIT_ASSERT_EQUAL(
        0, Count({Once(1, "x", "k"), Start(2, "x"), Once(3, "y", "l"), Start(4, "y")}, check));
    // The replica may record the start before the history of the caller has the invocation.
    CPPUNIT_ASSERT_EQUAL(1, Count({Start(1, "x"), Once(1, "x", ""), Start(3, "x")}, check));
  }

  auto testNotRun() -> void {
    const auto check = Check::truthful_not_run;
    const auto not_run = core::Outcome::not_run;
    CPPUNIT_ASSERT_EQUAL(0, Count({Invoke(1, "x", "a"), Refuse(2, "x", not_run)}, check));
    CPPUNIT_ASSERT_EQUAL(
        0,
        Count({Invoke(1, "x", "a"), Start(2, "x"), Refuse(3, "x", core::Outcome::unknown)}, check));
    CPPUNIT_ASSERT_EQUAL(
        1, Count({Invoke(1, "x", "a"), Start(2, "x"), Refuse(3, "x", not_run)}, check));
    // A late start is as wrong as an early one.
    CPPUNIT_ASSERT_EQUAL(
        1, Count({Invoke(1, "x", "a"), Refuse(2, "x", not_run), Start(9, "x")}, check));
  }

  auto testAnswers() -> void {
    const auto check = Check::own_and_whole;
    const auto good = Answer(2, "x");
    CPPUNIT_ASSERT_EQUAL(0, Count({Invoke(1, "x", "a"), good}, check));
    auto foreign = good;
    foreign.echo = "y";
    CPPUNIT_ASSERT_EQUAL(1, Count({Invoke(1, "x", "a"), foreign}, check));
    auto shortened = good;
    shortened.received = "2:abd";
    CPPUNIT_ASSERT_EQUAL(1, Count({Invoke(1, "x", "a"), shortened}, check));
    auto unstated = good;
    unstated.announced = unstated.received = "";
    CPPUNIT_ASSERT_EQUAL(1, Count({Invoke(1, "x", "a"), unstated}, check));
    auto cut = good;
    cut.complete = false;
    CPPUNIT_ASSERT_EQUAL(1, Count({Invoke(1, "x", "a"), cut}, check));
  }

  auto testLeaving() -> void {
    const auto check = Check::leaving;
    CPPUNIT_ASSERT_EQUAL(0, Count({Leaving(1), Start(1 + 3 * kSecond, "x")}, check));
    CPPUNIT_ASSERT_EQUAL(0, Count({Leaving(1), Start(9 * kSecond, "x", "r2")}, check));
    CPPUNIT_ASSERT_EQUAL(1, Count({Leaving(1), Start(2 + 3 * kSecond, "x")}, check));
    // The first sign counts, not the last one.
    CPPUNIT_ASSERT_EQUAL(1,
                         Count({Leaving(1), Leaving(2 * kSecond), Start(4 * kSecond, "x")}, check));
  }

  auto testConfig() -> void {
    const auto check = Check::config_order;
    CPPUNIT_ASSERT_EQUAL(
        0, Count({Config(1, "e1", 1), Config(2, "e1", 1), Config(3, "e1", 4), Config(4, "e2", 2)},
                 check));
    CPPUNIT_ASSERT_EQUAL(1, Count({Config(1, "e1", 4), Config(2, "e1", 3)}, check));
  }

  auto testStarvation() -> void {
    const auto check = Check::starvation;
    const Bounds bounds{.leaving = kSecond, .starvation = 5 * kSecond, .gap = 0, .weights = {}};
    std::vector<Event> good{Invoke(1, "x", "a"), Invoke(1, "y", "a"), Start(4 * kSecond, "x"),
                            Start(8 * kSecond, "y"), Answer(20 * kSecond, "x")};
    CPPUNIT_ASSERT_EQUAL(0, Count(good, check, bounds));
    // Progress of another workspace does not help.
    std::vector<Event> bad{Invoke(1, "x", "a"), Invoke(1, "y", "b"), Start(2, "y"),
                           Answer(6 * kSecond, "y")};
    CPPUNIT_ASSERT_EQUAL(1, Count(bad, check, bounds));
    // A refusal ends the wait.
    std::vector<Event> refused{Invoke(1, "x", "a"), Refuse(2, "x", core::Outcome::not_run),
                               Config(9 * kSecond, "e1", 1)};
    CPPUNIT_ASSERT_EQUAL(0, Count(refused, check, bounds));
  }

  auto testGap() -> void {
    const auto check = Check::fairness_gap;
    const Bounds bounds{
        .leaving = kSecond, .starvation = 0, .gap = 2 * kSecond + kSecond / 2, .weights = {}};
    CPPUNIT_ASSERT_EQUAL(0, Count(Turns("abababab"), check, bounds));
    CPPUNIT_ASSERT_EQUAL(0, Count(Turns("aabbaabb"), check, bounds));
    CPPUNIT_ASSERT_EQUAL(1, Count(Turns("abaaabbb"), check, bounds));
  }

  auto testGapByWeight() -> void {
    const auto check = Check::fairness_gap;
    Bounds bounds{.leaving = kSecond, .starvation = 0, .gap = 2 * kSecond, .weights = {{"a", 3}}};
    CPPUNIT_ASSERT_EQUAL(0, Count(Turns("aaabaaabaaab"), check, bounds));
    bounds.weights.clear();
    CPPUNIT_ASSERT_EQUAL(1, Count(Turns("aaabaaabaaab"), check, bounds));
  }

  auto testGapOnlyWhileBacklogged() -> void {
    // Workspace b waits for nothing while a runs, so a's service is no advantage over b.
    const auto check = Check::fairness_gap;
    const Bounds bounds{.leaving = kSecond, .starvation = 0, .gap = kSecond, .weights = {}};
    std::vector<Event> events{
        Invoke(1, "x", "a"),       Invoke(1, "y", "a"),           Start(2, "x"),
        End(9 * kSecond, "x"),     Invoke(9 * kSecond, "z", "b"), Start(9 * kSecond, "y"),
        End(9 * kSecond + 5, "y"), Start(9 * kSecond + 6, "z")};
    CPPUNIT_ASSERT_EQUAL(0, Count(events, check, bounds));
  }

  // Guards against a field that is written and not read back, which would blind a check.
  auto testRoundTrip() -> void {
    auto event = Answer(7, "x");
    event.workspace = "a";
    event.reason = "r";
    event.status = 200;
    event.endpoint = "r1";
    event.key = "k";
    const auto back = ParseEvent(FormatEvent(event));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT_EQUAL(FormatEvent(event), FormatEvent(*back));
    CPPUNIT_ASSERT(back->complete && back->outcome == core::Outcome::ran);
    CPPUNIT_ASSERT(ParseEvent(FormatEvent(Once(1, "x", "k")))->call_class == core::CallClass::once);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, ParseEvent(FormatEvent(Config(1, "e", 4)))->version);
    CPPUNIT_ASSERT(!ParseEvent(R"({"kind":"order","at":1})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckerTest);

}  // namespace
}  // namespace filbertstair::fleet
