#include "filbertstair/config/start.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::config {
namespace {

using std::chrono::seconds;

// Guards against a cold process that takes a stale platform's version although peers have a newer
// one, that never becomes ready, or that floods the platform.
class StartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartTest);
  CPPUNIT_TEST(testPeersSuffice);
  CPPUNIT_TEST(testStalePlatformIsConfirmedByListedPeers);
  CPPUNIT_TEST(testPlatformAlone);
  CPPUNIT_TEST(testFleetStartIsSpread);
  CPPUNIT_TEST(testRetriesAreBounded);
  CPPUNIT_TEST_SUITE_END();

  const core::Time start{};
  const StartRules rules{};
  StartState state;

 public:
  auto testPeersSuffice() -> void {
    const auto first = Start({"a", "b", "c"}, 0.4, this->rules, this->start, this->state);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.ask.size());
    PeerAnswered(this->state, true, true, this->rules, this->start);
    CPPUNIT_ASSERT(this->state.phase == StartPhase::asking_peers);
    PeerAnswered(this->state, true, true, this->rules, this->start);
    CPPUNIT_ASSERT(this->state.phase == StartPhase::ready && !this->state.unconfirmed);
  }

  auto testStalePlatformIsConfirmedByListedPeers() -> void {
    Start({"a"}, 0, this->rules, this->start, this->state);
    CPPUNIT_ASSERT(PeerFailed(this->state, this->rules, this->start).read_list);
    CPPUNIT_ASSERT(!Tick(this->state, this->rules, this->start).read_list);
    const auto next = ListRead(this->state, {"x", "y"}, true, this->rules, this->start);
    // No document is read from the platform while a listed peer may have a newer one.
    CPPUNIT_ASSERT(next.ask.size() == 2 && !next.read_documents);
    PeerFailed(this->state, this->rules, this->start);
    const auto last = PeerAnswered(this->state, true, true, this->rules, this->start);
    CPPUNIT_ASSERT(this->state.phase == StartPhase::ready && !this->state.unconfirmed);
    CPPUNIT_ASSERT(!last.read_documents);
  }

  auto testPlatformAlone() -> void {
    CPPUNIT_ASSERT(Start({}, 0, this->rules, this->start, this->state).read_list);
    ListRead(this->state, {"x"}, true, this->rules, this->start);
    CPPUNIT_ASSERT(!Tick(this->state, this->rules, this->start + seconds(1)).read_documents);
    CPPUNIT_ASSERT(Tick(this->state, this->rules, this->start + seconds(2)).read_documents);
    DocumentsRead(this->state, true, this->rules, this->start + seconds(2));
    CPPUNIT_ASSERT(this->state.phase == StartPhase::ready && this->state.unconfirmed);
    PeerAnswered(this->state, true, true, this->rules, this->start + seconds(9));
    CPPUNIT_ASSERT(!this->state.unconfirmed);
  }

  auto testFleetStartIsSpread() -> void {
    int lists = 0;
    int documents = 0;
    const std::vector<std::string> listed(1199, "x");
    for (int i = 0; i < 1200; ++i) {
      auto now = this->start;
      Start({}, i / 1200.0, this->rules, now, this->state);
      now += seconds(1);
      lists += Tick(this->state, this->rules, now).read_list || this->state.call_pending ? 1 : 0;
      this->state.phase = StartPhase::reading_list;
      ListRead(this->state, listed, false, this->rules, now);
      now += this->rules.peer_wait;
      documents += Tick(this->state, this->rules, now).read_documents ? 1 : 0;
      now += seconds(1);
      documents += Tick(this->state, this->rules, now).read_documents ? 1 : 0;
    }
    // Calls in the first second of each phase, far below 2,000 even if there are 7 objects to read.
    CPPUNIT_ASSERT(lists <= 700);
    CPPUNIT_ASSERT(documents <= 200);
  }

  auto testRetriesAreBounded() -> void {
    Start({}, 0.5, this->rules, this->start, this->state);
    int calls = 0;
    for (int second = 0; second < 600; ++second) {
      const auto now = this->start + seconds(second);
      if (!Tick(this->state, this->rules, now).read_list) continue;
      ++calls;
      PlatformReadFailed(this->state, this->rules, now);
    }
    // Still trying after ten minutes, at most every 15 s once the first tries have failed.
    CPPUNIT_ASSERT(calls >= 20 && calls <= 48);
    // A peer's push makes the process ready without the platform.
    PeerAnswered(this->state, true, true, this->rules, this->start + seconds(600));
    CPPUNIT_ASSERT(this->state.phase == StartPhase::ready);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartTest);

}  // namespace
}  // namespace filbertstair::config
