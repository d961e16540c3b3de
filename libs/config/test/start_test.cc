#include "filbertstair/config/start.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::config {
namespace {

using std::chrono::seconds;

// Guards against a starting process that uses an old version from a stale platform although peers
// have a newer one, that never becomes ready, or that overloads the platform.
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
    const auto first = BeginColdStart({"a", "b", "c"}, 0.4, this->rules, this->start, this->state);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.peers_to_ask.size());
    HandlePeerAnswer(this->state, true, true, this->rules, this->start);
    CPPUNIT_ASSERT(this->state.phase == StartPhase::asking_peers);
    HandlePeerAnswer(this->state, true, true, this->rules, this->start);
    CPPUNIT_ASSERT(this->state.phase == StartPhase::ready && !this->state.unconfirmed);
  }

  auto testStalePlatformIsConfirmedByListedPeers() -> void {
    BeginColdStart({"a"}, 0, this->rules, this->start, this->state);
    CPPUNIT_ASSERT(HandlePeerFailure(this->state, this->rules, this->start).read_list);
    CPPUNIT_ASSERT(!ContinueColdStart(this->state, this->rules, this->start).read_list);
    const auto next = HandleVmListRead(this->state, {"x", "y"}, true, this->rules, this->start);
    // Documents are not read from the platform while a listed peer may have newer ones.
    CPPUNIT_ASSERT(next.peers_to_ask.size() == 2 && !next.read_documents);
    HandlePeerFailure(this->state, this->rules, this->start);
    const auto last = HandlePeerAnswer(this->state, true, true, this->rules, this->start);
    CPPUNIT_ASSERT(this->state.phase == StartPhase::ready && !this->state.unconfirmed);
    CPPUNIT_ASSERT(!last.read_documents);
  }

  auto testPlatformAlone() -> void {
    CPPUNIT_ASSERT(BeginColdStart({}, 0, this->rules, this->start, this->state).read_list);
    HandleVmListRead(this->state, {"x"}, true, this->rules, this->start);
    CPPUNIT_ASSERT(
        !ContinueColdStart(this->state, this->rules, this->start + seconds(1)).read_documents);
    CPPUNIT_ASSERT(
        ContinueColdStart(this->state, this->rules, this->start + seconds(2)).read_documents);
    HandleDocumentsRead(this->state, true, this->rules, this->start + seconds(2));
    CPPUNIT_ASSERT(this->state.phase == StartPhase::ready && this->state.unconfirmed);
    HandlePeerAnswer(this->state, true, true, this->rules, this->start + seconds(9));
    CPPUNIT_ASSERT(!this->state.unconfirmed);
  }

  auto testFleetStartIsSpread() -> void {
    int lists = 0;
    int documents = 0;
    const std::vector<std::string> listed(1199, "x");
    for (int i = 0; i < 1200; ++i) {
      auto now = this->start;
      BeginColdStart({}, i / 1200.0, this->rules, now, this->state);
      now += seconds(1);
      lists +=
          ContinueColdStart(this->state, this->rules, now).read_list || this->state.call_pending
              ? 1
              : 0;
      this->state.phase = StartPhase::reading_list;
      HandleVmListRead(this->state, listed, false, this->rules, now);
      now += this->rules.peer_timeout;
      documents += ContinueColdStart(this->state, this->rules, now).read_documents ? 1 : 0;
      now += seconds(1);
      documents += ContinueColdStart(this->state, this->rules, now).read_documents ? 1 : 0;
    }
    // Calls in the first second of each phase stay far below 2,000, even with 7 objects to read.
    CPPUNIT_ASSERT(lists <= 700);
    CPPUNIT_ASSERT(documents <= 200);
  }

  auto testRetriesAreBounded() -> void {
    BeginColdStart({}, 0.5, this->rules, this->start, this->state);
    int calls = 0;
    for (int second = 0; second < 600; ++second) {
      const auto now = this->start + seconds(second);
      if (!ContinueColdStart(this->state, this->rules, now).read_list) continue;
      ++calls;
      HandlePlatformFailure(this->state, this->rules, now);
    }
    // Retries continue for ten minutes, at most every 15 s after the first few failures.
    CPPUNIT_ASSERT(calls >= 20 && calls <= 48);
    // A configuration sent by a peer makes the process ready without the platform.
    HandlePeerAnswer(this->state, true, true, this->rules, this->start + seconds(600));
    CPPUNIT_ASSERT(this->state.phase == StartPhase::ready);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartTest);

}  // namespace
}  // namespace filbertstair::config
