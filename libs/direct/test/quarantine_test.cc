#include "filbertstair/direct/quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "make_prompt.h"

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kCommon = 1;
constexpr std::uint64_t kDeadly = 2;
constexpr std::uint64_t kOther = 3;

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(testBlockIsQuarantinedAfterThreeCrashes);
  CPPUNIT_TEST(testRequestThatIsRepeatedIsHeldBackAlone);
  CPPUNIT_TEST(testOneCrashReportedByManyCountsOnce);
  CPPUNIT_TEST(testSoundPromptsThatShareBlocksAreServed);
  CPPUNIT_TEST(testBlockIsFoundUnderAnyBeginning);
  CPPUNIT_TEST(testPopularBlockIsOffsetBySoundResponses);
  CPPUNIT_TEST(testRackFailureQuarantinesNoPopularBlock);
  CPPUNIT_TEST(testBlockOfABatchIsNotHeldWithADeadlyOne);
  CPPUNIT_TEST(testFewestBlocksExplainTheCrashes);
  CPPUNIT_TEST(testSoundRequestRepeatedAtEachCrash);
  CPPUNIT_TEST(testPeersTellWhichBlocksAreSound);
  CPPUNIT_TEST(testTwoDeadlyBlocksAreBothFound);
  CPPUNIT_TEST(testBlocksThatAreAlikeTakeOneMoreCrash);
  CPPUNIT_TEST(testSoundRecordsAreBounded);
  CPPUNIT_TEST(testSoundRecordsOfSuspectsAreKept);
  CPPUNIT_TEST(testSoundRecordsAreBoundedBetweenSweeps);
  CPPUNIT_TEST(testChosenIdsTakeNoMoreTime);
  CPPUNIT_TEST(testRetriesStopBeforeTheQuarantine);
  CPPUNIT_TEST(testQuarantineEndsAndReturnsWithOneCrash);
  CPPUNIT_TEST(testSuspectsAreThoseWhoseResponseJustBegan);
  CPPUNIT_TEST(testLossesOfRequestsThatShareABlock);
  CPPUNIT_TEST(testUnprovenBlocks);
  CPPUNIT_TEST(testLossesAreBounded);
  CPPUNIT_TEST(testLossesOfLongPromptsAreRemembered);
  CPPUNIT_TEST(testNewStartConfirmsACrash);
  CPPUNIT_TEST(testOldListingAtTheAddressConfirmsNoCrash);
  CPPUNIT_TEST(testUnconfirmedCrashesOfLongPromptsAreBounded);
  CPPUNIT_TEST(testEvidenceOfATableReproducesIt);
  CPPUNIT_TEST(testTableIsBounded);
  CPPUNIT_TEST(testDeadlyBlockIsFoundInLongPrompts);
  CPPUNIT_TEST(testSoundBlocksMakeRoomForUnprovenOnes);
  CPPUNIT_TEST_SUITE_END();

  const QuarantinePolicy policy{};
  const core::Time now{seconds(1000)};
  QuarantineTable table;

 public:
  // Guards against requests of one kind that crash one replica after the other without end.
  auto testBlockIsQuarantinedAfterThreeCrashes() -> void {
    const auto prompt = MakePrompt({kCommon, kDeadly});
    this->Crash(prompt, "a", seconds(0));
    this->Crash(prompt, "b", seconds(1));
    CPPUNIT_ASSERT(!this->Find(prompt, seconds(1)));
    this->Crash(prompt, "c", seconds(2));
    const auto quarantine = this->Find(prompt, seconds(2));
    CPPUNIT_ASSERT(quarantine.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantine->crashes);
    CPPUNIT_ASSERT(this->now + seconds(2) + minutes(10) == quarantine->until);
  }

  // Guards against a single request that crashes replicas and is repeated by its caller, and
  // against refusing others for the blocks that they share with it.
  auto testRequestThatIsRepeatedIsHeldBackAlone() -> void {
    RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon, kOther}), this->now);
    const auto repeated = MakePrompt({kCommon, kOther});
    for (const auto* replica : {"a", "b", "c"}) {
      this->Crash(repeated, replica, seconds(0));
      this->Crash(MakePrompt({kCommon, kOther}), replica, seconds(0));
    }
    CPPUNIT_ASSERT(this->Find(repeated, seconds(0)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon, kOther}), seconds(0)));
    const auto single = MakePrompt({});
    for (const auto* replica : {"a", "b", "c"}) this->Crash(single, replica, seconds(9));
    CPPUNIT_ASSERT(this->Find(single, seconds(9)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({}), seconds(9)));
  }

  // Guards against counting one crash once for each request or entry that lost its answer there.
  auto testOneCrashReportedByManyCountsOnce() -> void {
    const auto prompt = MakePrompt({kDeadly});
    for (int i = 0; i < 5; ++i) this->Crash(prompt, "a", milliseconds(300 * i));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table.blocks.at(kDeadly).crashes.size());
    this->Crash(prompt, "a", seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->table.blocks.at(kDeadly).crashes.size());
  }

  // Guards against refusing sound requests for what they share with a deadly one, also if no
  // response has shown yet that the shared block is sound.
  auto testSoundPromptsThatShareBlocksAreServed() -> void {
    for (const auto* replica : {"a", "b", "c", "d"}) {
      this->Crash(MakePrompt({kCommon, kDeadly}), replica, seconds(0));
    }
    CPPUNIT_ASSERT(this->Find(MakePrompt({kCommon, kDeadly}), seconds(0)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon, kOther}), seconds(0)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon}), seconds(0)));
    // Once the shared block is known to be sound, the deadly one is held back alone.
    for (int i = 0; i < 4; ++i) {
      RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon, kOther}), this->now);
    }
    CPPUNIT_ASSERT(this->Find(MakePrompt({kDeadly}), seconds(0)));
  }

  auto testBlockIsFoundUnderAnyBeginning() -> void {
    this->Crash(MakePrompt({10, kDeadly}), "a", seconds(0));
    this->Crash(MakePrompt({kDeadly, 11}), "b", seconds(0));
    this->Crash(MakePrompt({12, 13, kDeadly}), "c", seconds(0));
    CPPUNIT_ASSERT(this->Find(MakePrompt({14, kDeadly, 15}), seconds(0)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({10, 11, 12, 13}), seconds(0)));
  }

  auto testPopularBlockIsOffsetBySoundResponses() -> void {
    for (int i = 0; i < 20; ++i) {
      this->Crash(MakePrompt({kCommon, kOther}), std::to_string(i), seconds(i));
      RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon, kOther}),
                          this->now + seconds(i));
      CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon, kOther}), seconds(i)));
    }
  }

  // Guards against refusing what is asked for most when several replicas lose power at once.
  auto testRackFailureQuarantinesNoPopularBlock() -> void {
    RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon}), this->now);
    for (int i = 0; i < 5; ++i) {
      this->Crash(MakePrompt({kCommon}), std::to_string(i), milliseconds(100));
    }
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon}), milliseconds(100)));
    this->Crash(MakePrompt({kCommon}), "5", milliseconds(200));
    CPPUNIT_ASSERT(this->Find(MakePrompt({kCommon}), milliseconds(200)));
  }

  // Guards against refusing all requests of a workspace that come in batches: in one of them three
  // replicas crash under a deadly block, and of the sound requests that were cut with it nothing is
  // left in common but the block that all have.
  auto testBlockOfABatchIsNotHeldWithADeadlyOne() -> void {
    for (int i = 0; i < 40; ++i) {
      RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon, 10u + i % 20}),
                          this->now);
    }
    RemoveOldEvidence(this->table, this->policy, this->now + seconds(15));
    for (const auto* replica : {"a", "b", "c"}) {
      this->Crash(MakePrompt({kCommon, kDeadly}), replica, seconds(15));
      for (std::uint64_t id = 10; id < 14; ++id) {
        this->Crash(MakePrompt({kCommon, id}), replica, seconds(15));
      }
    }
    CPPUNIT_ASSERT(this->Find(MakePrompt({kCommon, kDeadly}), seconds(16)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon, 20}), seconds(30)));
  }

  // Guards against holding back a block for crashes that another block explains as well, and for
  // one more that has another cause.
  auto testFewestBlocksExplainTheCrashes() -> void {
    RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon, kOther}), this->now);
    for (const auto* replica : {"a", "b", "c"}) {
      this->Crash(MakePrompt({kCommon, kOther}), replica, seconds(0));
      this->Crash(MakePrompt({kCommon, kDeadly}), replica, seconds(0));
    }
    this->Crash(MakePrompt({kCommon, 20}), "d", seconds(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ListQuarantines(this->table, this->policy, this->now).size());
    CPPUNIT_ASSERT(this->Find(MakePrompt({kDeadly}), seconds(0)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon, kOther}), seconds(0)));
  }

  // Guards against holding back a sound request, in place of the deadly block, that was repeated
  // and cut in each of the crashes.
  auto testSoundRequestRepeatedAtEachCrash() -> void {
    RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon, kOther}), this->now);
    const auto repeated = MakePrompt({kCommon, kOther});
    for (const auto* replica : {"a", "b", "c"}) {
      this->Crash(repeated, replica, seconds(0));
      this->Crash(MakePrompt({kCommon, kDeadly}), replica, seconds(0));
    }
    CPPUNIT_ASSERT(this->Find(MakePrompt({kCommon, kDeadly}), seconds(0)));
    CPPUNIT_ASSERT(!this->Find(repeated, seconds(0)));
  }

  // Guards against sparing a deadly block because it looks like one that only other entries know to
  // be sound, as all of its callers use them.
  auto testPeersTellWhichBlocksAreSound() -> void {
    QuarantineTable peer;
    RecordSoundResponse(peer, this->policy, MakePrompt({kCommon, kOther}), this->now);
    for (const auto* replica : {"a", "b", "c"}) {
      this->Crash(MakePrompt({kCommon, kDeadly}), replica, seconds(0));
      AddEvidence(peer, this->policy,
                  CollectEvidence(MakePrompt({kCommon, kOther}), {replica, this->now}));
    }
    for (const auto& evidence : ListEvidence(peer)) {
      AddEvidence(this->table, this->policy, evidence);
    }
    CPPUNIT_ASSERT(this->Find(MakePrompt({kDeadly}), seconds(0)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon, kOther}), seconds(0)));
  }

  auto testTwoDeadlyBlocksAreBothFound() -> void {
    RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon, 20}), this->now);
    for (const auto* replica : {"a", "b", "c"}) {
      this->Crash(MakePrompt({kCommon, kDeadly}), replica, seconds(0));
      this->Crash(MakePrompt({kCommon, kOther}), replica, seconds(5));
    }
    CPPUNIT_ASSERT(this->Find(MakePrompt({kDeadly}), seconds(5)));
    CPPUNIT_ASSERT(this->Find(MakePrompt({kOther}), seconds(5)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kCommon, 20}), seconds(5)));
  }

  // Guards against a sound block that nothing tells apart from a deadly one being held back with
  // it, and against sparing both without end.
  auto testBlocksThatAreAlikeTakeOneMoreCrash() -> void {
    for (const auto* replica : {"a", "b", "c"}) {
      this->Crash(MakePrompt({kCommon, kDeadly}), replica, seconds(0));
      this->Crash(MakePrompt({kCommon, kOther}), replica, seconds(0));
    }
    for (const auto block : {kCommon, kDeadly, kOther}) {
      CPPUNIT_ASSERT(!this->Find(MakePrompt({block}), seconds(0)));
    }
    CPPUNIT_ASSERT(
        !MayRetryAfterCrash(this->table, this->policy, MakePrompt({kDeadly}), this->now));
    auto apart = this->table;
    this->Crash(MakePrompt({kCommon, kDeadly}), "d", seconds(1));
    CPPUNIT_ASSERT(this->Find(MakePrompt({kDeadly}), seconds(1)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kOther}), seconds(1)));
    // A sound response tells them apart as well.
    RecordSoundResponse(apart, this->policy, MakePrompt({kCommon, kOther}), this->now);
    CPPUNIT_ASSERT(FindQuarantine(apart, this->policy, MakePrompt({kDeadly}), this->now));
    CPPUNIT_ASSERT(!FindQuarantine(apart, this->policy, MakePrompt({kOther}), this->now));
  }

  // Guards against memory that grows with the blocks that callers send; popular ones are kept.
  auto testSoundRecordsAreBounded() -> void {
    for (int i = 0; i < 4; ++i) {
      RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon}), this->now);
    }
    for (std::uint64_t id = 100; id < 100 + 2 * this->policy.max_sound_blocks; ++id) {
      RecordSoundResponse(this->table, this->policy, MakePrompt({id}), this->now);
    }
    RemoveOldEvidence(this->table, this->policy, this->now);
    CPPUNIT_ASSERT(this->table.sound.size() <= this->policy.max_sound_blocks);
    CPPUNIT_ASSERT(this->table.sound.contains(kCommon));
    RemoveOldEvidence(this->table, this->policy, this->now + minutes(9));
    CPPUNIT_ASSERT(this->table.sound.contains(kCommon));
    RemoveOldEvidence(this->table, this->policy, this->now + minutes(10));
    CPPUNIT_ASSERT(this->table.sound.empty());
  }

  // Guards against holding back a sound block in place of a deadly one because responses to long
  // prompts, with blocks that are asked for more often, made the table forget that it is sound.
  auto testSoundRecordsOfSuspectsAreKept() -> void {
    const auto prompt = MakePrompt({kDeadly, kOther});
    this->Crash(prompt, "a", seconds(0));
    this->Crash(prompt, "b", seconds(0));
    RecordSoundResponse(this->table, this->policy, MakePrompt({kOther}), this->now);
    this->Crash(prompt, "c", seconds(1));
    const auto popular =
        MakeLongPrompt(2 * this->policy.max_sound_blocks, 2 * this->policy.max_sound_blocks, 0);
    for (int i = 0; i < 3; ++i) RecordSoundResponse(this->table, this->policy, popular, this->now);
    RemoveOldEvidence(this->table, this->policy, this->now);
    CPPUNIT_ASSERT(this->table.sound.size() <= this->policy.max_sound_blocks);
    CPPUNIT_ASSERT(this->table.sound.contains(kOther));
    CPPUNIT_ASSERT(this->Find(MakePrompt({kDeadly}), seconds(1)));
    CPPUNIT_ASSERT(!this->Find(MakePrompt({kOther}), seconds(1)));
  }

  // Guards against a burst of long prompts, or another entry's reports, that take memory without a
  // bound until the next sweep.
  auto testSoundRecordsAreBoundedBetweenSweeps() -> void {
    constexpr std::uint64_t blocks = 2700;
    for (int i = 0; i < 3; ++i) {
      RecordSoundResponse(this->table, this->policy, MakePrompt({kOther}), this->now);
    }
    CrashEvidence reported{{"a", this->now}, {}};
    std::uint64_t id = 1000;
    for (int i = 0; i < 10; ++i) {
      std::vector<std::uint64_t> ids(blocks);
      for (auto& block : ids) block = ++id;
      RecordSoundResponse(this->table, this->policy, MakePrompt(ids), this->now);
      CPPUNIT_ASSERT(this->table.sound.size() <= this->policy.max_sound_burst);
      for (const auto block : ids) reported.blocks.push_back({block << 32, 0, 1});
    }
    CPPUNIT_ASSERT(this->table.sound.contains(kOther));
    AddEvidence(this->table, this->policy, reported);
    CPPUNIT_ASSERT(this->table.sound.size() <= this->policy.max_sound_burst);
  }

  // Guards against a caller that chooses ids which all fall into one bucket of a hash table, so
  // that each response takes time with the square of its prompt while the dispatch table is locked.
  auto testChosenIdsTakeNoMoreTime() -> void {
    constexpr double max_factor = 20;
    // Buckets that the standard library's hash table of as many records has.
    constexpr std::uint64_t buckets = 20753;
    const auto measure = [&](std::uint64_t step) {
      QuarantineTable filled;
      Prompt prompt;
      std::uint64_t id = 0;
      for (int i = 0; i < 5; ++i) {
        prompt.blocks.clear();
        while (prompt.blocks.size() < 2646) prompt.blocks.push_back({++id * step, 16});
        RecordSoundResponse(filled, this->policy, prompt, this->now);
      }
      auto best = std::chrono::steady_clock::duration::max();
      for (int i = 0; i < 5; ++i) {
        const auto start = std::chrono::steady_clock::now();
        RecordSoundResponse(filled, this->policy, prompt, this->now);
        best = std::min(best, std::chrono::steady_clock::now() - start);
      }
      return std::chrono::duration<double>(best);
    };
    CPPUNIT_ASSERT(measure(buckets) < max_factor * measure(1));
  }

  // Guards against one request that crashes replica after replica by its own retries.
  auto testRetriesStopBeforeTheQuarantine() -> void {
    const auto prompt = MakePrompt({kDeadly});
    this->Crash(prompt, "a", seconds(0));
    CPPUNIT_ASSERT(MayRetryAfterCrash(this->table, this->policy, prompt, this->now));
    this->Crash(prompt, "b", seconds(0));
    CPPUNIT_ASSERT(!MayRetryAfterCrash(this->table, this->policy, prompt, this->now));
    CPPUNIT_ASSERT(!this->Find(prompt, seconds(0)));
  }

  auto testQuarantineEndsAndReturnsWithOneCrash() -> void {
    const auto prompt = MakePrompt({kDeadly});
    for (const auto* replica : {"a", "b", "c"}) this->Crash(prompt, replica, seconds(0));
    CPPUNIT_ASSERT(this->Find(prompt, minutes(9)));
    CPPUNIT_ASSERT(!this->Find(prompt, minutes(10)));
    this->Crash(prompt, "d", minutes(11));
    CPPUNIT_ASSERT(this->Find(prompt, minutes(11)));
    RemoveOldEvidence(this->table, this->policy, this->now + minutes(72));
    CPPUNIT_ASSERT(this->table.blocks.empty());
  }

  auto testSuspectsAreThoseWhoseResponseJustBegan() -> void {
    Assignment assignment;
    const auto suspect = [&](bool lost_before, core::Time at) {
      return IsCrashSuspect(this->policy, assignment, lost_before, at);
    };
    CPPUNIT_ASSERT(!suspect(false, this->now));
    CPPUNIT_ASSERT(suspect(true, this->now));
    RecordResponseHead(assignment, this->now);
    CPPUNIT_ASSERT(suspect(false, this->now + milliseconds(50)));
    CPPUNIT_ASSERT(!suspect(true, this->now + milliseconds(1500)));
  }

  // Guards against requests with one attempt whose replicas end before they answer: only the block
  // that they share shows it, and only while no response to it went well.
  auto testLossesOfRequestsThatShareABlock() -> void {
    const auto lose = [&](const std::string& replica, core::Duration at) {
      return RecordUnansweredLoss(this->table, this->policy, MakePrompt({kCommon, kDeadly}),
                                  {{replica, this->now + at}, replica + ":80"});
    };
    CPPUNIT_ASSERT(!lose("a", seconds(0)));
    CPPUNIT_ASSERT(!lose("a", seconds(1)));
    RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon}), this->now + seconds(1));
    const auto earlier = lose("b", seconds(2));
    CPPUNIT_ASSERT(earlier);
    CPPUNIT_ASSERT_EQUAL(std::string("a:80"), earlier->loss.address);
    CPPUNIT_ASSERT(ListBlockIds(earlier->shared) == std::vector<std::uint64_t>{kDeadly});
    RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon, kDeadly}),
                        this->now + seconds(3));
    CPPUNIT_ASSERT(!lose("c", seconds(4)));
    CPPUNIT_ASSERT(!lose("d", seconds(5) + this->policy.loss_memory));
  }

  // Guards against crashes that stay unseen because a supervisor holds the address, and against
  // taking a listing of the same start, of another replica or of much later for the confirmation.
  auto testNewStartConfirmsACrash() -> void {
    const auto take = [&](const std::string& id, const std::string& address,
                          std::int64_t started_ms, core::Duration at) {
      return TakeConfirmedCrashes(this->table, this->policy,
                                  {.id = id, .address = address, .started_ms = started_ms},
                                  this->now + at)
          .size();
    };
    const auto cut = [&] {
      RecordUnconfirmedCrash(this->table, this->policy,
                             {{"a", this->now}, "a:80", 5, MakePrompt({kDeadly})});
    };
    cut();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, take("a", "a:80", 5, seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, take("b", "b:80", 9, seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, take("a", "a:81", 6, seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, take("a", "a:81", 6, seconds(1)));
    cut();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, take("c", "a:80", 0, seconds(1)));
    cut();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, take("c", "a:80", 0, minutes(1)));
    CPPUNIT_ASSERT(this->table.unconfirmed.empty());
    for (std::size_t i = 0; i <= this->policy.max_unconfirmed; ++i) cut();
    CPPUNIT_ASSERT_EQUAL(this->policy.max_unconfirmed, this->table.unconfirmed.size());
  }

  // Guards against refusing sound prompts because the address of the replica is also listed for an
  // earlier replica whose entry has not lapsed yet: no replica started after the cut.
  auto testOldListingAtTheAddressConfirmsNoCrash() -> void {
    RecordUnconfirmedCrash(this->table, this->policy,
                           {{"a", this->now}, "a:80", 5, MakePrompt({kDeadly})});
    const auto take = [&](std::int64_t started_ms) {
      Listing listing;
      listing.id = "b";
      listing.address = "a:80";
      listing.started_ms = started_ms;
      return TakeConfirmedCrashes(this->table, this->policy, listing, this->now + seconds(1))
          .size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, take(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, take(6));
  }

  // Guards against memory that grows with the prompts of cut attempts whose replicas may have
  // ended; the latest one is kept.
  auto testUnconfirmedCrashesOfLongPromptsAreBounded() -> void {
    constexpr std::size_t max_bytes = std::size_t{2} << 20;
    const auto prompt = MakeLongPrompt(2700, 2700, 0);
    for (std::size_t i = 0; i < this->policy.max_unconfirmed; ++i) {
      RecordUnconfirmedCrash(this->table, this->policy, {{"a", this->now}, "a:80", 5, prompt});
    }
    CPPUNIT_ASSERT(EstimateBytes(this->table) < max_bytes);
    CPPUNIT_ASSERT(!this->table.unconfirmed.empty());
  }

  // Guards against one crash for each entry before a block that nobody got a response for is
  // suspected, and against suspecting a request for the last block, which it alone has.
  auto testUnprovenBlocks() -> void {
    const auto prompt = MakePrompt({kCommon, kDeadly});
    const auto is_unproven = [&](core::Duration at) {
      return HasUnprovenBlock(this->table, this->policy, prompt, this->now + at);
    };
    RecordSoundResponse(this->table, this->policy, MakePrompt({kCommon}), this->now);
    CPPUNIT_ASSERT(is_unproven(seconds(1)));
    RecordSoundResponse(this->table, this->policy, MakePrompt({kDeadly}), this->now);
    CPPUNIT_ASSERT(!is_unproven(seconds(1)));
    CPPUNIT_ASSERT(is_unproven(this->policy.sound_memory));
    CPPUNIT_ASSERT(!HasUnprovenBlock(this->table, this->policy, MakePrompt({}), this->now));
  }

  // Guards against memory that grows with the requests that are lost.
  auto testLossesAreBounded() -> void {
    for (std::uint64_t i = 0; i < 2 * this->policy.max_losses; ++i) {
      RecordUnansweredLoss(this->table, this->policy, MakePrompt({i}),
                           {{"a", this->now + milliseconds(i)}, "a:80"});
    }
    CPPUNIT_ASSERT_EQUAL(this->policy.max_losses, this->table.losses.size());
    CPPUNIT_ASSERT(!this->table.losses.contains(0));
    RemoveOldEvidence(this->table, this->policy, this->now + minutes(11));
    CPPUNIT_ASSERT(this->table.losses.empty());
  }

  // Guards against a deadly block that is never suspected since its replicas end before they answer
  // and its prompts have more blocks than are remembered of a loss.
  auto testLossesOfLongPromptsAreRemembered() -> void {
    for (const std::size_t place : {0, 1, 1350, 2699}) {
      this->table = {};
      const auto lose = [&](const std::string& replica, const Prompt& prompt, core::Duration at) {
        return RecordUnansweredLoss(this->table, this->policy, prompt,
                                    {{replica, this->now + at}, replica + ":80"});
      };
      CPPUNIT_ASSERT(!lose("a", MakeLongPrompt(2700, place, kDeadly), seconds(0)));
      const auto earlier = lose("b", MakePrompt({kDeadly}), seconds(1));
      CPPUNIT_ASSERT(earlier);
      CPPUNIT_ASSERT(ListBlockIds(earlier->shared) == std::vector<std::uint64_t>{kDeadly});
    }
  }

  // Guards against an entry that starts anew and sends what the others hold back.
  auto testEvidenceOfATableReproducesIt() -> void {
    for (const auto* replica : {"a", "b", "c"}) {
      this->Crash(MakePrompt({kCommon, kDeadly}), replica, seconds(0));
    }
    QuarantineTable copy;
    for (const auto& evidence : ListEvidence(this->table)) {
      CPPUNIT_ASSERT(AddEvidence(copy, this->policy, evidence) == evidence.blocks);
    }
    for (const auto& evidence : ListEvidence(this->table)) {
      CPPUNIT_ASSERT(AddEvidence(copy, this->policy, evidence).empty());
    }
    const auto prompt = MakePrompt({kCommon, kDeadly});
    CPPUNIT_ASSERT(FindQuarantine(copy, this->policy, prompt, this->now));
    CPPUNIT_ASSERT(!FindQuarantine(copy, this->policy, MakePrompt({kCommon, kOther}), this->now));
  }

  // Guards against memory that grows with the crashes; a block with several of them is kept.
  auto testTableIsBounded() -> void {
    QuarantinePolicy small;
    small.max_evidence = 512;
    const auto crash = [&](const Prompt& prompt, const std::string& replica) {
      AddEvidence(this->table, small, CollectEvidence(prompt, {replica, this->now}));
    };
    for (const auto* replica : {"a", "b", "c"}) crash(MakePrompt({kDeadly}), replica);
    for (std::uint64_t id = 100; id < 2000; ++id) crash(MakePrompt({id}), "x");
    CPPUNIT_ASSERT_EQUAL(small.max_evidence, CountEvidence(this->table));
    CPPUNIT_ASSERT(this->Find(MakePrompt({kDeadly}), seconds(1)));
  }

  // Guards against a deadly block that is forgotten in the crash that showed it, since its prompts
  // have more blocks than are remembered: wherever it stands in them, and whatever its id.
  auto testDeadlyBlockIsFoundInLongPrompts() -> void {
    for (const std::size_t blocks : {700, 2700}) {
      for (const std::size_t place : {std::size_t{0}, std::size_t{1}, blocks / 2, blocks - 1}) {
        for (const std::uint64_t deadly : {std::uint64_t{2}, ~std::uint64_t{0}}) {
          this->table = {};
          const auto prompt = MakeLongPrompt(blocks, place, deadly);
          RecordSoundResponse(this->table, this->policy, MakeLongPrompt(blocks, blocks, 0),
                              this->now);
          for (const auto* replica : {"a", "b", "c"}) this->Crash(prompt, replica, seconds(0));
          const auto found = this->Find(prompt, seconds(0));
          CPPUNIT_ASSERT(found);
          CPPUNIT_ASSERT_EQUAL(deadly, found->block);
          CPPUNIT_ASSERT(!this->Find(MakeLongPrompt(blocks, blocks, 0), seconds(0)));
        }
      }
    }
  }

  // Guards against forgetting a deadly block because its replicas also run long prompts, whose
  // blocks are known to be sound.
  auto testSoundBlocksMakeRoomForUnprovenOnes() -> void {
    QuarantinePolicy small;
    small.max_evidence = 1000;
    const auto sound = MakeLongPrompt(900, 900, 0);
    RecordSoundResponse(this->table, this->policy, sound, this->now);
    for (const auto* replica : {"a", "b", "c"}) {
      const ReplicaCrash crash{replica, this->now};
      AddEvidence(this->table, small, CollectEvidence(MakePrompt({kDeadly}), crash));
      AddEvidence(this->table, small, CollectEvidence(sound, crash));
      CPPUNIT_ASSERT(CountEvidence(this->table) <= small.max_evidence);
    }
    CPPUNIT_ASSERT(this->Find(MakePrompt({kDeadly}), seconds(0)));
  }

 private:
  // Returns a prompt of that many shared blocks, which all such prompts share, with `deadly` added
  // before the one at `place`, if there is one.
  static auto MakeLongPrompt(std::size_t blocks, std::size_t place, std::uint64_t deadly)
      -> Prompt {
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    std::vector<std::uint64_t> ids;
    for (std::size_t i = 0; i < blocks; ++i) {
      if (i == place) ids.push_back(deadly);
      ids.push_back((i + 1) * multiplier);
    }
    return MakePrompt(ids);
  }

  auto Crash(const Prompt& prompt, const std::string& replica, core::Duration after) -> void {
    AddEvidence(this->table, this->policy, CollectEvidence(prompt, {replica, this->now + after}));
  }

  auto Find(const Prompt& prompt, core::Duration after) const -> std::optional<Quarantine> {
    return FindQuarantine(this->table, this->policy, prompt, this->now + after);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

}  // namespace
}  // namespace filbertstair::direct
