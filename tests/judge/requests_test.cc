#include "tests/judge/test_history.h"

namespace filbertstair::judge {
namespace {

// One request, with one arrival that ran.
auto One(RequestKind kind) -> History {
  History out;
  AddAttempt(out, "a", kStart, kind);
  AddArrival(out, "a", "r0", kStart);
  return out;
}

// A stream that went on at another replica, while the first one worked for `more` after that.
auto Resumed(Time more) -> History {
  auto out = One(RequestKind::resumable_stream);
  out.arrivals.front().ended_at = kStart + kSecond + more;
  AddArrival(out, "a", "r1", kStart + kSecond).resume_after = "3";
  out.arrivals.back().deadline = kSecond;
  return out;
}

// A request that reached a replica `after` the acknowledgement of its leaving.
auto SentAfterLeaving(Time after) -> History {
  auto out = One(RequestKind::safe);
  out.departures.push_back({"r0", kStart - after, 0, -1});
  return out;
}

// Clients that gave up, and requests that a replica had begun: `at_work` of them end later than 0.5
// s after that, `ended` in time.
auto GaveUp(int at_work, int ended) -> History {
  History out;
  for (int i = 0; i < at_work + ended; ++i) {
    const auto id = std::to_string(i);
    const auto& attempt = AddAttempt(out, id, kStart);
    out.attempts.back().gave_up = true;
    auto& arrival = AddArrival(out, id, "r0", kStart);
    arrival.end = ArrivalEnd::abandoned;
    arrival.ended_at = attempt.ended_at + kSecond / 2 + (i < at_work ? 1 : 0);
  }
  return out;
}

// Four requests that reach a replica `after` their client gave up.
auto SentAfterClose(Time after) -> History {
  History out;
  for (int i = 0; i < 4; ++i) {
    const auto& attempt = AddAttempt(out, std::to_string(i), kStart);
    out.attempts.back().gave_up = true;
    AddArrival(out, attempt.id, "r0", attempt.ended_at + after);
  }
  return out;
}

// Requests with a timeout of 3 s of which `late` end later than 0.5 s after it, `others` in time.
auto TimedOut(int late, int others) -> History {
  History out;
  for (int i = 0; i < late + others; ++i) {
    auto& attempt = AddAttempt(out, std::to_string(i), kStart);
    attempt.timeout = 3 * kSecond;
    attempt.ended_at = kStart + 3'500'000 + (i < late ? 1 : 0);
  }
  return out;
}

auto Stream(const std::vector<int>& pieces) -> History {
  auto out = One(RequestKind::stream);
  out.attempts.front().pieces = pieces;
  out.attempts.front().piece_count = 4;
  return out;
}

// Of 500 requests, `denied` end with 404, and `disturbed` more at an entry that was just killed.
auto Denied(int denied, int disturbed) -> History {
  History out;
  for (int i = 0; i < 500; ++i) {
    auto& attempt = AddAttempt(out, std::to_string(i), kStart);
    attempt.allowed = true;
    if (i < denied + disturbed) attempt.status = 404;
    if (i >= denied) attempt.entry = 1;
  }
  Disturb(out, DisturbanceKind::kill, kStart, kStart, 1);
  return out;
}

// 20 requests before a fault and 20 more than 10 s after it, of which so many are served.
auto Served(int before, int after) -> History {
  History out;
  for (int i = 0; i < 40; ++i) {
    const auto at = i < 20 ? kStart : kStart + 19 * kSecond + 1;
    auto& attempt = AddAttempt(out, std::to_string(i), at);
    if (i < 20 ? i >= before : i - 20 >= after) attempt.status = 503;
  }
  Disturb(out, DisturbanceKind::kill, kStart + 5 * kSecond, kStart + 9 * kSecond);
  return out;
}

class RequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestsTest);
  CPPUNIT_TEST(testRefusedRequestsThatRanAreFound);
  CPPUNIT_TEST(testSecondRunsAreFound);
  CPPUNIT_TEST(testOverlappingRunsAreFound);
  CPPUNIT_TEST(testRequestsToReplicasThatLeftAreFound);
  CPPUNIT_TEST(testDisturbedEntriesMayMissALeaving);
  CPPUNIT_TEST(testWorkAfterAClientsCloseIsFound);
  CPPUNIT_TEST(testRequestsAfterAClientsCloseAreFound);
  CPPUNIT_TEST(testMissedTimeoutsAreFound);
  CPPUNIT_TEST(testMissingAndRepeatedPiecesAreFound);
  CPPUNIT_TEST(testDeniedRequestsAreFound);
  CPPUNIT_TEST(testMissingRecoveryIsFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Fails if a request that may run once runs though its client was told that it does not.
  auto testRefusedRequestsThatRanAreFound() -> void {
    for (const int status : {408, 421, 429, 503}) {
      auto history = One(RequestKind::unsafe);
      history.attempts.front().status = status;
      history.attempts.front().from_replica = true;
      AssertBroken(history, Rule::refused, Form::refused_and_ran, 1);
      history.attempts.front().kind = RequestKind::safe;
      AssertHeld(history);
      history.attempts.front().kind = RequestKind::stream;
      history.arrivals.front().ran = false;
      AssertHeld(history);
    }
    auto history = One(RequestKind::unsafe);
    history.attempts.front().status = 502;
    AssertHeld(history);
  }

  // Fails if a second run of a request that may run once goes unnoticed.
  auto testSecondRunsAreFound() -> void {
    auto history = One(RequestKind::stream);
    AddArrival(history, "a", "r0", kStart + 1);
    AssertBroken(history, Rule::twice, Form::ran_again, 1);
    // Nothing excuses it.
    Disturb(history, DisturbanceKind::kill, kStart, kStart, -1);
    AssertBroken(history, Rule::twice, Form::ran_again, 1);
    history.arrivals.back().ran = false;
    AssertHeld(history);
    history.arrivals.back().ran = true;
    history.attempts.back().kind = RequestKind::resumable_stream;
    AssertHeld(history);
  }

  // Fails if a stream may go on while the replica before works on it, out of touch or not.
  auto testOverlappingRunsAreFound() -> void {
    AssertHeld(Resumed(400'000));
    AssertBroken(Resumed(400'001), Rule::twice, Form::overlap, 1);
    auto history = Resumed(400'001);
    DisturbReplica(history, "r0", kStart + kSecond);
    AssertHeld(history);
    history = Resumed(400'001);
    Disturb(history, DisturbanceKind::cut_link, kStart, kStart);
    AssertHeld(history);
    // A paused replica is none at work, and a new attempt or the same replica no overlap.
    history = Resumed(400'001);
    history.arrivals.front().sound = false;
    AssertHeld(history);
    history = Resumed(400'001);
    history.arrivals.back().resume_after.clear();
    AssertHeld(history);
    history = Resumed(400'001);
    history.arrivals.back().replica = "r0";
    AssertHeld(history);
  }

  // Fails if a replica gets requests later than the drain timeout after its leaving.
  auto testRequestsToReplicasThatLeftAreFound() -> void {
    AssertHeld(SentAfterLeaving(2'500'000));
    AssertBroken(SentAfterLeaving(2'500'001), Rule::drain, Form::left_replica, 1);
    auto history = SentAfterLeaving(2'500'001);
    history.arrivals.front().status = 421;
    AssertHeld(history);
    history.arrivals.front().status = 200;
    history.departures.front().until = kStart;
    AssertHeld(history);
    history.departures.front().until = kStart + 1;
    AssertBroken(history, Rule::drain, Form::left_replica, 1);
    history.arrivals.front().replica = "r1";
    AssertHeld(history);
  }

  // Fails if an entry out of touch is bound, or one that acknowledged the leaving itself is not.
  auto testDisturbedEntriesMayMissALeaving() -> void {
    auto history = SentAfterLeaving(2'500'001);
    Disturb(history, DisturbanceKind::store, kStart - 5 * kSecond, kStart - 5 * kSecond, -1);
    AssertHeld(history);
    history.departures.front().entry = 1;
    AssertHeld(history);
    history.departures.front().entry = 0;
    AssertBroken(history, Rule::drain, Form::left_replica, 1);
    // It is excused if it, or the entry that took the request, was disturbed.
    history.departures.front().entry = 1;
    history.arrivals.front().entry = 1;
    AssertBroken(history, Rule::drain, Form::left_replica, 1);
    for (const int entry : {0, 1}) {
      Disturb(history, DisturbanceKind::freeze, kStart, kStart, entry);
      AssertHeld(history);
      history.disturbances.pop_back();
    }
    history = SentAfterLeaving(5 * kSecond);
    Disturb(history, DisturbanceKind::store, kStart, kStart, -1);
    AssertHeld(history);
  }

  // Fails if replicas work on for clients that have left, in more than a quarter of the cases.
  auto testWorkAfterAClientsCloseIsFound() -> void {
    AssertHeld(GaveUp(1, 3));
    AssertBroken(GaveUp(2, 5), Rule::gone, Form::work_after_close, 2);
    auto history = GaveUp(2, 5);
    history.attempts.front().kind = RequestKind::unsafe;
    AssertHeld(history);
    // One that was answered in time would not have lasted so long.
    history = GaveUp(1, 3);
    history.arrivals.back().end = ArrivalEnd::answered;
    AssertBroken(history, Rule::gone, Form::work_after_close, 1);
    history = GaveUp(2, 5);
    Disturb(history, DisturbanceKind::slow, kStart, kStart);
    AssertHeld(history);
  }

  // Fails if a fourth request is sent on after its client has left.
  auto testRequestsAfterAClientsCloseAreFound() -> void {
    AssertHeld(SentAfterClose(kSecond / 2));
    AssertBroken(SentAfterClose(kSecond / 2 + 1), Rule::gone, Form::sent_after_close, 4);
    auto history = SentAfterClose(kSecond / 2 + 1);
    Disturb(history, DisturbanceKind::freeze, kStart, kStart);
    AssertHeld(history);
    history = SentAfterClose(kSecond / 2 + 1);
    history.arrivals.pop_back();
    AssertHeld(history);
  }

  // Fails if requests may stay without an answer after their route's timeout.
  auto testMissedTimeoutsAreFound() -> void {
    AssertHeld(TimedOut(7, 7));
    AssertBroken(TimedOut(7, 6), Rule::config, Form::timeouts, 7);
    AssertHeld(TimedOut(8, 24));
    AssertBroken(TimedOut(8, 23), Rule::config, Form::timeouts, 8);
    // A client that gave up shortly after the timeout tells nothing.
    auto history = TimedOut(7, 7);
    history.attempts.back().gave_up = true;
    AssertBroken(history, Rule::config, Form::timeouts, 7);
    history = TimedOut(7, 6);
    Disturb(history, DisturbanceKind::slow, kStart, kStart);
    AssertHeld(history);
  }

  // Fails if a stream may lack a piece, repeat one or end as complete before its last one.
  auto testMissingAndRepeatedPiecesAreFound() -> void {
    AssertHeld(Stream({0, 1, 2, 3}));
    for (const auto& pieces : {std::vector{0, 2, 3}, {0, 1, 1, 2, 3}, {1, 2, 3}, {0, 1, 2}}) {
      AssertBroken(Stream(pieces), Rule::order, Form::pieces, 1);
    }
    auto history = Stream({0, 1, 2});
    history.attempts.front().complete = false;
    AssertHeld(history);
    history = Stream({});
    history.attempts.front().status = 503;
    history.arrivals.front().ran = false;
    AssertHeld(history);
    history = Stream({2, 3});
    history.attempts.front().first_piece = 2;
    AssertHeld(history);
  }

  // Fails if proper requests are denied in more than a few cases.
  auto testDeniedRequestsAreFound() -> void {
    AssertHeld(Denied(6, 0));
    AssertBroken(Denied(7, 0), Rule::denied, Form::denied, 7);
    // What all configurations allow counts from any entry.
    AssertBroken(Denied(0, 7), Rule::denied, Form::denied, 7);
    auto history = Denied(0, 7);
    history.attempts.front().status = 400;
    AssertHeld(history);
    history = Denied(7, 0);
    history.attempts.front().status = 429;
    AssertHeld(history);
    for (const auto change : {&ClientAttempt::allowed, &ClientAttempt::from_replica}) {
      history = Denied(7, 0);
      history.attempts.front().*change = !(history.attempts.front().*change);
      AssertHeld(history);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Judge(Denied(0, 10)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Judge(Denied(0, 11)).size());
  }

  // Fails if a run passes in which service does not come back after the last fault.
  auto testMissingRecoveryIsFound() -> void {
    AssertHeld(Served(5, 5));
    AssertBroken(Served(5, 4), Rule::recover, Form::not_served, 16);
    AssertHeld(Served(4, 4));
    // The entries are back 1 us later, so that the requests are sent within the time to recover.
    auto history = Served(5, 4);
    history.disturbances.front().until += 1;
    AssertHeld(history);
    // Planned work is no fault.
    history = Served(5, 4);
    Disturb(history, DisturbanceKind::reload, kStart + 18 * kSecond, kStart + 18 * kSecond);
    AssertBroken(history, Rule::recover, Form::not_served, 16);
    // What was not served during the fault tells nothing, and an incomplete answer is none.
    AddAttempt(history, "during", kStart + 6 * kSecond).status = 503;
    AssertBroken(history, Rule::recover, Form::not_served, 16);
    history.attempts.front().complete = false;
    AssertHeld(history);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestsTest);

}  // namespace
}  // namespace filbertstair::judge
