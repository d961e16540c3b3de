#include "filbertstair/config/watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace filbertstair::config {
namespace {

using std::chrono::seconds;

// Guards against a region without a watcher, and against a fleet that exceeds the platform's rate
// limit after the platform has been unreachable.
class WatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchTest);
  CPPUNIT_TEST(testTwoAreElected);
  CPPUNIT_TEST(testSuspectedWatcherIsReplaced);
  CPPUNIT_TEST(testFallbackIsBounded);
  CPPUNIT_TEST(testNewsEndsFallback);
  CPPUNIT_TEST_SUITE_END();

  const core::Time start{};

  static auto Region(int entries) -> std::vector<RegionMember> {
    std::vector<RegionMember> members(static_cast<std::size_t>(entries));
    for (int i = 0; i < entries; ++i) {
      members[static_cast<std::size_t>(i)].id = "e" + std::to_string(i);
    }
    return members;
  }

  auto Reason(const std::vector<RegionMember>& members, const std::string& self) const
      -> WatchReason {
    return DecideWatch(self, members, {this->start, 0}, {}, 0.5, this->start).reason;
  }

 public:
  auto testTwoAreElected() -> void {
    for (const int entries : {1, 2, 3, 400}) {
      const auto members = Region(entries);
      int elected = 0;
      for (const auto& member : members) {
        elected += this->Reason(members, member.id) == WatchReason::elected ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(std::min(entries, 2), elected);
    }
    CPPUNIT_ASSERT(this->Reason(Region(2), "leaving") == WatchReason::none);
  }

  auto testSuspectedWatcherIsReplaced() -> void {
    auto members = Region(20);
    for (auto& member : members) {
      member.suspected = this->Reason(Region(20), member.id) == WatchReason::elected;
    }
    int replacements = 0;
    for (const auto& member : members) {
      const bool elected = this->Reason(members, member.id) == WatchReason::elected;
      replacements += elected && !member.suspected ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, replacements);
  }

  auto testFallbackIsBounded() -> void {
    const auto members = Region(400);
    const WatchRules rules;
    const auto late = this->start + seconds(120);
    int soon = 0;
    double calls_per_second = 0;
    for (int i = 0; i < 400; ++i) {
      const auto& id = members[static_cast<std::size_t>(i)].id;
      const auto at = [&](core::Time now) {
        return DecideWatch(id, members, {this->start, 0}, rules, i / 400.0, now);
      };
      soon += at(this->start + seconds(20)).reason == WatchReason::fallback ? 1 : 0;
      CPPUNIT_ASSERT(at(late).reason != WatchReason::none);
      calls_per_second += 1e6 / static_cast<double>(at(late).interval.count());
    }
    // Only a few fall back at first, so that their reported contact can keep the others from it.
    CPPUNIT_ASSERT(soon < 40);
    // Three regions use at most a quarter of the platform's 2,000 reads per second.
    CPPUNIT_ASSERT(3 * calls_per_second <= 500);
  }

  auto testNewsEndsFallback() -> void {
    const auto members = Region(400);
    WatchState state{this->start, 0};
    const auto late = this->start + seconds(120);
    RecordReportedContact(state, seconds(2), late);
    RecordReportedContact(state, seconds(50), late);
    CPPUNIT_ASSERT(ContactAge(state, late) == seconds(2));
    for (const auto& member : members) {
      const auto reason = DecideWatch(member.id, members, state, {}, 0, late).reason;
      CPPUNIT_ASSERT(reason != WatchReason::fallback);
    }
    for (int i = 0; i < 100; ++i) RecordPlatformFailure(state);
    const auto later = late + seconds(120);
    const auto decision = DecideWatch("e0", Region(400), state, {}, 0, later);
    CPPUNIT_ASSERT(decision.interval <= WatchRules{}.fallback_interval_max);
    RecordPlatformAnswer(state, later);
    CPPUNIT_ASSERT(ContactAge(state, later) == core::Duration::zero() && state.failures == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchTest);

}  // namespace
}  // namespace filbertstair::config
