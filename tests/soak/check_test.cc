#include "tests/soak/check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "tests/judge/judge.h"
#include "tests/soak/convert.h"

namespace filbertstair::soak {
namespace {

constexpr std::int64_t kSecond = 1'000'000;
// Times of a run in which nothing happens otherwise.
constexpr std::int64_t kSent = 100 * kSecond;

// A call with a whole answer of a replica.
auto Answered(const std::string& id, CallKind kind) -> CallRecord {
  CallRecord out;
  out.id = id;
  out.kind = kind;
  out.connected_at = kSent - kSecond;
  out.began_at = kSent;
  out.sent_at = kSent;
  out.ended_at = kSent + kSecond;
  out.status = 200;
  out.outcome = "ran";
  out.complete = true;
  out.sound = true;
  return out;
}

// A call whose connection ended after `time` without a byte.
auto Unanswered(const std::string& id, CallKind kind, std::int64_t time) -> CallRecord {
  auto out = Answered(id, kind);
  out.ended_at = out.sent_at + time;
  out.status = 0;
  out.outcome.clear();
  out.complete = false;
  out.sound = false;
  return out;
}

auto Refused(const std::string& id, CallKind kind, int status) -> CallRecord {
  auto out = Answered(id, kind);
  out.status = status;
  out.outcome = "not_run";
  return out;
}

// A process that was ready quickly and stopped cleanly, long after the calls.
auto StoppedRun() -> EntryRun {
  EntryRun out;
  out.started_at = 10 * kSecond;
  out.ready_at = 11 * kSecond;
  out.terminated_at = 200 * kSecond;
  out.ended_at = 203 * kSecond;
  return out;
}

// A run in which all held.
auto SoundRun() -> Observations {
  Observations out;
  out.calls = {Answered("c1", CallKind::once), Answered("c2", CallKind::stream),
               Refused("c3", CallKind::once, 503), Refused("c4", CallKind::large_upload, 413)};
  out.starts = {{"c1", 1}, {"c2", 2}};
  out.runs = {StoppedRun()};
  out.usages = {{0, {1 << 20, 30, 8}, {1 << 20, 30, 8}, 1 << 20}};
  return out;
}

// Asserts that exactly this promise is found broken, once.
auto AssertBroken(const Observations& observed, Promise promise) -> void {
  const auto violations = CheckRun(observed);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations.size());
  CPPUNIT_ASSERT_EQUAL(std::string(core::Name(promise)),
                       std::string(core::Name(violations.front().promise)));
}

auto AssertHeld(const Observations& observed) -> void {
  const auto violations = CheckRun(observed);
  CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front().detail, violations.empty());
}

// Each promise is broken once by hand: a check that can't fail would let every fault pass.
class CheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckTest);
  CPPUNIT_TEST(testSoundRunHolds);
  CPPUNIT_TEST(testRunWithoutAnswer);
  CPPUNIT_TEST(testRequestWithoutAnswer);
  CPPUNIT_TEST(testCrossingIsNotPassedOn);
  CPPUNIT_TEST(testUploadCutByAStop);
  CPPUNIT_TEST(testUnsoundAnswer);
  CPPUNIT_TEST(testCutAnswer);
  CPPUNIT_TEST(testUntrueRefusal);
  CPPUNIT_TEST(testJudgeHasWhatMayRunOnce);
  CPPUNIT_TEST(testCallerLeavesAtItsDeadline);
  CPPUNIT_TEST(testProperRequestRefused);
  CPPUNIT_TEST(testRevokedKeyIsUsed);
  CPPUNIT_TEST(testRevokedKeyIsRefused);
  CPPUNIT_TEST(testProcessEndsByItself);
  CPPUNIT_TEST(testStopWithAnotherCode);
  CPPUNIT_TEST(testStopBeyondItsGrace);
  CPPUNIT_TEST(testSlowStart);
  CPPUNIT_TEST(testUsageStaysUp);
  CPPUNIT_TEST(testFaultsExplainOnlyTheirTime);
  CPPUNIT_TEST(testOnlyTheLoaderMayEndBySighup);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testSoundRunHolds() -> void { AssertHeld(SoundRun()); }

  auto testRunWithoutAnswer() -> void {
    auto observed = SoundRun();
    // Also within the time in which a request that was not passed on may cross the close.
    observed.calls.push_back(Unanswered("c5", CallKind::once, 100'000));
    observed.starts["c5"] = 1;
    AssertBroken(observed, Promise::run_is_answered);
  }

  auto testRequestWithoutAnswer() -> void {
    auto observed = SoundRun();
    observed.calls.push_back(Unanswered("c5", CallKind::again, 300'000));
    AssertBroken(observed, Promise::request_is_answered);
  }

  // RULES.md, LOST: a request that crosses the close and isn't passed on doesn't count.
  auto testCrossingIsNotPassedOn() -> void {
    auto observed = SoundRun();
    observed.calls.push_back(Unanswered("c5", CallKind::again, 100'000));
    AssertHeld(observed);
    CPPUNIT_ASSERT_EQUAL(1, CountCrossings(observed));
  }

  // A planned stop has time for an upload that it has begun to read.
  auto testUploadCutByAStop() -> void {
    auto observed = SoundRun();
    auto upload = Unanswered("c5", CallKind::slow_upload, 0);
    upload.sent_at = 0;
    upload.ended_at = observed.runs.front().terminated_at + 2'600'000;
    upload.began_at = upload.ended_at - 1'000'000;
    upload.connected_at = upload.began_at;
    observed.calls.push_back(upload);
    AssertBroken(observed, Promise::request_is_answered);
    observed.calls.back().began_at = upload.ended_at - 100'000;
    AssertHeld(observed);
  }

  auto testUnsoundAnswer() -> void {
    auto observed = SoundRun();
    observed.calls.front().sound = false;
    AssertBroken(observed, Promise::answer_is_sound);
  }

  auto testCutAnswer() -> void {
    auto observed = SoundRun();
    observed.calls.front().complete = false;
    AssertBroken(observed, Promise::answer_is_whole);
  }

  auto testUntrueRefusal() -> void {
    auto observed = SoundRun();
    observed.starts["c3"] = 1;
    AssertBroken(observed, Promise::refusal_is_true);
  }

  // Guards against a run that is refused or starts twice and that neither the check nor the judge
  // finds: the judge is handed the kind, the status and each start.
  auto testJudgeHasWhatMayRunOnce() -> void {
    auto observed = SoundRun();
    auto refused = Refused("c5", CallKind::once, 503);
    refused.outcome.clear();
    observed.calls = {Answered("c1", CallKind::once), refused, Answered("c6", CallKind::again)};
    for (const auto* id : {"c1", "c1", "c5", "c6", "c6"}) {
      judge::Arrival arrival;
      arrival.id = id;
      arrival.service = "app";
      arrival.at = kSent;
      arrival.ran = true;
      observed.arrivals.push_back(arrival);
    }
    AssertHeld(observed);
    const auto findings = judge::Judge(ToHistory(observed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, findings.size());
    CPPUNIT_ASSERT(findings[0].form == judge::Form::refused_and_ran);
    CPPUNIT_ASSERT(findings[1].form == judge::Form::ran_again);
    CPPUNIT_ASSERT(std::vector<std::string>{"c1"} == findings[1].requests);
  }

  // Guards against a silent entry that is excused because its caller gave up in the end.
  auto testCallerLeavesAtItsDeadline() -> void {
    auto observed = SoundRun();
    observed.calls.push_back(Unanswered("c5", CallKind::again, 2 * kSecond));
    observed.calls.back().gave_up = true;
    observed.calls.back().deadline_ms = 2000;
    AssertHeld(observed);
    observed.calls.back().deadline_ms = 1000;
    AssertBroken(observed, Promise::request_is_answered);
  }

  auto testProperRequestRefused() -> void {
    auto observed = SoundRun();
    observed.calls.push_back(Refused("c5", CallKind::again, 404));
    AssertBroken(observed, Promise::request_is_accepted);
  }

  auto testRevokedKeyIsUsed() -> void {
    auto observed = SoundRun();
    observed.calls.front().second_key = true;
    observed.revoke_began_at = observed.revoked_at = kSent - 6 * kSecond;
    AssertBroken(observed, Promise::key_is_revoked);
    observed.revoke_began_at = observed.revoked_at = kSent - 4 * kSecond;
    AssertHeld(observed);
    observed.revoke_began_at = observed.revoked_at = kSent - 6 * kSecond;
    observed.calls.front().second_key = false;
    AssertHeld(observed);
  }

  // A refusal of the key is wrong before it is revoked, and of another key at any time.
  auto testRevokedKeyIsRefused() -> void {
    auto observed = SoundRun();
    observed.calls.push_back(Refused("c5", CallKind::again, 401));
    observed.calls.back().second_key = true;
    AssertBroken(observed, Promise::request_is_accepted);
    observed.revoke_began_at = observed.revoked_at = kSent;
    AssertHeld(observed);
    observed.calls.back().second_key = false;
    AssertBroken(observed, Promise::request_is_accepted);
  }

  auto testProcessEndsByItself() -> void {
    for (const int status : {0, 1, 128 + SIGABRT, 128 + SIGHUP}) {
      auto observed = SoundRun();
      observed.runs.front().terminated_at = 0;
      observed.runs.front().status = status;
      AssertBroken(observed, Promise::process_stays);
    }
  }

  auto testStopWithAnotherCode() -> void {
    auto observed = SoundRun();
    observed.runs.front().status = 128 + SIGSEGV;
    AssertBroken(observed, Promise::stop_is_clean);
  }

  auto testStopBeyondItsGrace() -> void {
    auto observed = SoundRun();
    observed.runs.front().ended_at = observed.runs.front().terminated_at + 9 * kSecond;
    AssertBroken(observed, Promise::stop_is_clean);
  }

  auto testSlowStart() -> void {
    auto observed = SoundRun();
    observed.runs.front().terminated_at = 0;
    observed.runs.front().ended_at = 0;
    observed.runs.front().ready_at = observed.runs.front().started_at + 6 * kSecond;
    AssertBroken(observed, Promise::start_is_quick);
  }

  auto testUsageStaysUp() -> void {
    auto observed = SoundRun();
    observed.usages.front().peak_resident = std::int64_t{300} << 20;
    AssertBroken(observed, Promise::usage_is_bounded);
    observed = SoundRun();
    observed.usages.front().after.descriptors += 100;
    AssertBroken(observed, Promise::usage_is_bounded);
    observed = SoundRun();
    observed.usages.front().after.threads += 2;
    AssertBroken(observed, Promise::usage_is_bounded);
  }

  // A replica's crash explains a cut answer at that time, but not before or long after it.
  auto testFaultsExplainOnlyTheirTime() -> void {
    auto observed = SoundRun();
    observed.calls.front().complete = false;
    observed.disturbances = {{FaultKind::kill_replica, -1, kSent + 500'000, kSent + 500'000}};
    AssertHeld(observed);
    observed.disturbances = {
        {FaultKind::kill_replica, -1, kSent + 2 * kSecond, kSent + 3 * kSecond}};
    AssertBroken(observed, Promise::answer_is_whole);
    observed.disturbances = {
        {FaultKind::kill_replica, -1, kSent - 9 * kSecond, kSent - 2 * kSecond}};
    AssertBroken(observed, Promise::answer_is_whole);
    observed.disturbances = {{FaultKind::terminate, 0, kSent, kSent}};
    AssertBroken(observed, Promise::answer_is_whole);
  }

  // No program can handle a signal before the dynamic loader has ended.
  auto testOnlyTheLoaderMayEndBySighup() -> void {
    auto observed = SoundRun();
    auto& run = observed.runs.front();
    run.terminated_at = run.ready_at = 0;
    run.status = 128 + SIGHUP;
    run.ended_at = run.started_at + 10'000;
    AssertBroken(observed, Promise::process_stays);
    observed.disturbances = {
        {FaultKind::reload_at_start, 0, run.started_at - 1000, run.started_at + 9000}};
    AssertHeld(observed);
    run.ended_at = run.started_at + 100'000;
    AssertBroken(observed, Promise::process_stays);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckTest);

}  // namespace
}  // namespace filbertstair::soak
