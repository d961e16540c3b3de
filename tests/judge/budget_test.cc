#include "tests/judge/test_history.h"

namespace filbertstair::judge {
namespace {

auto AssertBudget(const History& history, Form form, std::size_t requests) -> void {
  AssertBroken(history, Rule::budget, form, requests);
}

// Sends `count` streams from `from` on, 10 ms apart, each with one arrival.
auto AddRequests(History& history, const std::string& prefix, int count, Time from) -> void {
  for (int i = 0; i < count; ++i) {
    const auto id = prefix + std::to_string(i);
    const auto at = from + i * Time{10'000};
    AddAttempt(history, id, at, RequestKind::resumable_stream);
    AddArrival(history, id, "r0", at);
  }
}

// Repeats the first `count` requests, each once, from `from` on and 10 ms apart.
auto Repeat(History& history, const std::string& prefix, int count, Time from) -> void {
  for (int i = 0; i < count; ++i) {
    auto& repeat = AddArrival(history, prefix + std::to_string(i), "r0", from + i * Time{10'000});
    repeat.deadline = kSecond / 10;
  }
}

// 100 requests within 1 s allow 0.2 x 100 + 54 = 74 repeats in 10 s.
auto Repeated(int repeats) -> History {
  History out;
  AddRequests(out, "a", 100, kStart);
  Repeat(out, "a", repeats, kStart + 2 * kSecond);
  return out;
}

// `count` requests that ran at two replicas though their route allows one.
auto RunTwice(int count) -> History {
  History out;
  for (int i = 0; i < count; ++i) {
    const auto id = std::to_string(i);
    AddAttempt(out, id, kStart);
    AddArrival(out, id, "r0", kStart);
    AddArrival(out, id, "r1", kStart + 1000);
  }
  return out;
}

// `count` requests that reach their replica with `deadline`.
auto HandedOn(int count, std::optional<Time> deadline) -> History {
  History out;
  for (int i = 0; i < count; ++i) {
    const auto id = std::to_string(i);
    AddAttempt(out, id, kStart);
    AddArrival(out, id, "r0", kStart).deadline = deadline;
  }
  return out;
}

// `count` requests that are sent once more 1 s later, with `deadline`.
auto HandedOnAgain(int count, Time deadline) -> History {
  auto out = HandedOn(count, 5 * kSecond);
  for (int i = 0; i < count; ++i) {
    AddArrival(out, std::to_string(i), "r0", kStart + kSecond).deadline = deadline;
  }
  return out;
}

// A replica that asks for 4 s without requests, and `count` requests that reach it `after` that.
auto RefusedThenSent(int count, Time after) -> History {
  History out;
  AddAttempt(out, "first", kStart);
  auto& refusal = AddArrival(out, "first", "r0", kStart);
  refusal.end = ArrivalEnd::refused;
  refusal.ran = false;
  refusal.status = 503;
  refusal.retry_after = 4 * kSecond;
  for (int i = 0; i < count; ++i) {
    const auto id = std::to_string(i);
    AddAttempt(out, id, kStart + after);
    AddArrival(out, id, "r0", kStart + after);
  }
  return out;
}

// `crashes` replicas that crash at a request, and `count` such requests `after` the last crash.
auto Crashed(int crashes, int count, Time after) -> History {
  History out;
  for (int i = 0; i < crashes + count; ++i) {
    const auto id = std::to_string(i);
    const auto at = i < crashes ? kStart : kStart + after;
    AddAttempt(out, id, at);
    auto& arrival = AddArrival(out, id, "r" + id, at);
    arrival.deadly = true;
    if (i < crashes) arrival.end = ArrivalEnd::none;
  }
  return out;
}

class BudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BudgetTest);
  CPPUNIT_TEST(testRepeatsAboveTheBoundAreFound);
  CPPUNIT_TEST(testRepeatsOfAllEntriesAreSummed);
  CPPUNIT_TEST(testRepeatsInASlidingWindowAreFound);
  CPPUNIT_TEST(testRequestsOfEarlierWindowsCount);
  CPPUNIT_TEST(testRepeatsAreCountedWhereTheyArrive);
  CPPUNIT_TEST(testTooManyReplicasAreFound);
  CPPUNIT_TEST(testReplicasThatEndedAreExcused);
  CPPUNIT_TEST(testLongDeadlinesAreFound);
  CPPUNIT_TEST(testMissingDeadlinesAreFound);
  CPPUNIT_TEST(testDeadlinesThatStartAnewAreFound);
  CPPUNIT_TEST(testRequestsBeforeTheEndOfRetryAfterAreFound);
  CPPUNIT_TEST(testRetryAfterIsForgottenInARestart);
  CPPUNIT_TEST(testRetryAfterBindsEntriesInTouch);
  CPPUNIT_TEST(testRetryAfterBindsTheEntryThatGotIt);
  CPPUNIT_TEST(testRequestsAfterTheFifthCrashAreFound);
  CPPUNIT_TEST(testDisturbedEntriesMaySendDeadlyRequests);
  CPPUNIT_TEST(testFiguresOfARun);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Fails if a repeat too many goes unnoticed, or one that the bound allows is reported.
  auto testRepeatsAboveTheBoundAreFound() -> void {
    AssertHeld(Repeated(74));
    AssertBudget(Repeated(75), Form::repeats, 75);
  }

  // Fails if the bound is applied to each entry by itself.
  auto testRepeatsOfAllEntriesAreSummed() -> void {
    auto history = Repeated(75);
    for (std::size_t i = 0; i < history.arrivals.size(); ++i) {
      history.arrivals[i].entry = static_cast<int>(i % 5);
    }
    AssertBudget(history, Form::repeats, 75);
    // Nothing excuses repeats.
    Disturb(history, DisturbanceKind::kill, kStart, kStart + 9 * kSecond, -1);
    AssertBudget(history, Form::repeats, 75);
  }

  // Fails if windows start at fixed times, or are longer or shorter than the window of the bounds.
  auto testRepeatsInASlidingWindowAreFound() -> void {
    const auto history = [](Time between) {
      History out;
      AddRequests(out, "a", 75, kStart);
      Repeat(out, "a", 40, kStart + 5 * kSecond);
      Repeat(out, "a", 35, kStart + 5 * kSecond + between);
      return out;
    };
    // 70 of 75 lie within 10 s, where 0.2 x 75 + 54 = 69 are allowed.
    AssertBudget(history(9'700'000), Form::repeats, 70);
    // 69 of 75.
    AssertHeld(history(9'710'000));
  }

  // Fails if the requests of the window before are not counted where there are more of them.
  auto testRequestsOfEarlierWindowsCount() -> void {
    const auto shifted = [](Time shift) {
      auto out = Repeated(74);
      for (std::size_t i = 100; i < out.arrivals.size(); ++i) out.arrivals[i].at += shift;
      return out;
    };
    // All 100 requests are in the 10 s before the first repeat.
    AssertHeld(shifted(8 * kSecond));
    // Ten are not, which leaves 72.
    AssertBudget(shifted(8'100'000), Form::repeats, 74);
  }

  // Fails if repeats at one service are set against the requests for another.
  auto testRepeatsAreCountedWhereTheyArrive() -> void {
    auto history = Repeated(74);
    for (std::size_t i = 100; i < history.arrivals.size(); ++i) history.arrivals[i].service = "t";
    // The first arrival at a service is no repeat there.
    AssertHeld(history);
    Repeat(history, "a", 74, kStart + 3 * kSecond);
    for (std::size_t i = 174; i < history.arrivals.size(); ++i) history.arrivals[i].service = "t";
    // 74 at a service that no client asked for: 54 are allowed.
    AssertBudget(history, Form::repeats, 74);
  }

  // Fails if a fourth request at too many replicas goes unnoticed.
  auto testTooManyReplicasAreFound() -> void {
    AssertHeld(RunTwice(3));
    AssertBudget(RunTwice(4), Form::replicas, 4);
    // Where two are allowed, or the second did not run it, they hold.
    auto history = RunTwice(4);
    history.attempts.front().attempts = 2;
    AssertHeld(history);
    history = RunTwice(4);
    history.arrivals.back().ran = false;
    AssertHeld(history);
    // A second run at the same replica is no further replica.
    history = RunTwice(4);
    history.arrivals.back().replica = "r0";
    AssertHeld(history);
  }

  // Fails if a replica that ended during the request counts, or one that ended at another time not.
  auto testReplicasThatEndedAreExcused() -> void {
    auto history = RunTwice(4);
    DisturbReplica(history, "r0", kStart + kSecond / 2);
    AssertHeld(history);
    history = RunTwice(4);
    DisturbReplica(history, "r0", kStart + 2 * kSecond);
    AssertBudget(history, Form::replicas, 4);
    Disturb(history, DisturbanceKind::cut_link, kStart, kStart + kSecond);
    AssertHeld(history);
  }

  // Fails if deadlines longer than the client's go unnoticed.
  auto testLongDeadlinesAreFound() -> void {
    const Time longer = 5 * kSecond + kSecond / 2;
    AssertHeld(HandedOn(21, longer));
    AssertHeld(HandedOn(20, longer + 1));
    AssertBudget(HandedOn(21, longer + 1), Form::deadlines, 21);
    auto history = HandedOn(21, longer + 1);
    history.attempts.front().kind = RequestKind::stream;
    AssertHeld(history);
    history = HandedOn(21, longer + 1);
    Disturb(history, DisturbanceKind::freeze, kStart - 5 * kSecond, kStart - 4 * kSecond);
    AssertHeld(history);
    Disturb(history, DisturbanceKind::freeze, kStart - 5 * kSecond, kStart - 4 * kSecond - 1, 1);
    history.disturbances.erase(history.disturbances.begin());
    AssertBudget(history, Form::deadlines, 21);
  }

  // Fails if a request without a deadline counts as one without too much time.
  auto testMissingDeadlinesAreFound() -> void {
    AssertHeld(HandedOn(20, std::nullopt));
    AssertBudget(HandedOn(21, std::nullopt), Form::deadlines, 21);
    auto history = HandedOn(21, std::nullopt);
    Disturb(history, DisturbanceKind::store, kStart - 9 * kSecond, kStart - kSecond, -1);
    AssertHeld(history);
  }

  // Fails if a late repeat may have the whole time again, or the share is not counted.
  auto testDeadlinesThatStartAnewAreFound() -> void {
    // Sent 1 s later with 4.5 s, it ends 0.5 s after the client's.
    AssertHeld(HandedOnAgain(21, 4'500'000));
    AssertHeld(HandedOnAgain(20, 4'500'001));
    AssertBudget(HandedOnAgain(21, 4'500'001), Form::deadlines, 21);
    // The client's own end may be later than that of the first.
    auto history = HandedOnAgain(21, 4'500'001);
    history.attempts.front().deadline = 6 * kSecond;
    AssertHeld(history);
    // So may that of the first.
    history = HandedOnAgain(21, 4'500'001);
    history.arrivals.front().deadline = 5'000'001;
    AssertHeld(history);
    // 21 of 105 are a fifth, 21 of 104 more.
    const auto add_sound = [&](int count) {
      history = HandedOnAgain(21, 4'500'001);
      for (int i = 0; i < count; ++i) {
        const auto id = "sound" + std::to_string(i);
        AddAttempt(history, id, kStart);
        AddArrival(history, id, "r0", kStart);
        AddArrival(history, id, "r0", kStart + kSecond).deadline = kSecond;
      }
      history.bounds.retry_extra = 1000;
    };
    add_sound(84);
    AssertHeld(history);
    add_sound(83);
    AssertBudget(history, Form::deadlines, 21);
    Disturb(history, DisturbanceKind::slow, kStart, kStart);
    AssertHeld(history);
  }

  // Fails if requests reach a replica that wants none, or those on the way are reported.
  auto testRequestsBeforeTheEndOfRetryAfterAreFound() -> void {
    AssertHeld(RefusedThenSent(2, kSecond));
    AssertBudget(RefusedThenSent(3, kSecond), Form::unwanted, 3);
    AssertHeld(RefusedThenSent(3, kSecond / 2));
    AssertBudget(RefusedThenSent(3, 4 * kSecond), Form::unwanted, 3);
    AssertHeld(RefusedThenSent(3, 4 * kSecond + 1));
    auto history = RefusedThenSent(3, kSecond);
    history.arrivals.front().status = 429;
    AssertHeld(history);
    history = RefusedThenSent(3, kSecond);
    history.arrivals.front().retry_after = 0;
    AssertHeld(history);
  }

  // Fails if a process is bound by what the one before it was told.
  auto testRetryAfterIsForgottenInARestart() -> void {
    for (const auto kind : {DisturbanceKind::kill, DisturbanceKind::terminate,
                            DisturbanceKind::freeze, DisturbanceKind::cut_link}) {
      auto history = RefusedThenSent(3, kSecond);
      Disturb(history, kind, kStart + kSecond / 4, kStart + kSecond / 4);
      AssertHeld(history);
      history.disturbances.front().entry = 1;
      AssertBudget(history, Form::unwanted, 3);
    }
  }

  // Fails if an entry is bound that was disturbed shortly before the refusal.
  auto testRetryAfterBindsEntriesInTouch() -> void {
    auto history = RefusedThenSent(3, kSecond);
    Disturb(history, DisturbanceKind::store, kStart - 3 * kSecond, kStart - 3 * kSecond, -1);
    AssertHeld(history);
    Disturb(history, DisturbanceKind::slow, kStart - 3 * kSecond - 1, kStart - 3 * kSecond - 1);
    history.disturbances.erase(history.disturbances.begin());
    AssertBudget(history, Form::unwanted, 3);
  }

  // Fails if the requests of several entries or replicas are added up.
  auto testRetryAfterBindsTheEntryThatGotIt() -> void {
    auto history = RefusedThenSent(3, kSecond);
    history.arrivals.back().entry = 1;
    AssertHeld(history);
    history = RefusedThenSent(3, kSecond);
    history.arrivals.back().replica = "r1";
    AssertHeld(history);
  }

  // Fails if requests that crash replicas are sent on for ever.
  auto testRequestsAfterTheFifthCrashAreFound() -> void {
    AssertHeld(Crashed(5, 3, 4 * kSecond + 1));
    AssertBudget(Crashed(5, 4, 4 * kSecond + 1), Form::deadly, 4);
    AssertHeld(Crashed(5, 4, 4 * kSecond));
    AssertHeld(Crashed(4, 4, 4 * kSecond + 1));
  }

  // Fails if an entry that may not know of the crashes is bound by them.
  auto testDisturbedEntriesMaySendDeadlyRequests() -> void {
    auto history = Crashed(5, 4, 4 * kSecond + 1);
    Disturb(history, DisturbanceKind::start, kStart + kSecond, kStart + kSecond);
    AssertHeld(history);
  }

  // Fails if the figures of a run differ from its history.
  auto testFiguresOfARun() -> void {
    auto history = Repeated(37);
    history.arrivals.back().deadline = 5 * kSecond;
    AddAttempt(history, "b0", kStart).status = 0;
    AddAttempt(history, "b1", kStart).status = 0;
    AddArrival(history, "b1", "r0", kStart);
    AddAttempt(history, "b2", kStart).status = 0;
    history.attempts.back().gave_up = true;
    const auto figures = Measure(history);
    CPPUNIT_ASSERT_EQUAL(103, figures.requests);
    CPPUNIT_ASSERT_EQUAL(138, figures.arrivals);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, figures.services.size());
    CPPUNIT_ASSERT_EQUAL(37, figures.services.front().repeats);
    CPPUNIT_ASSERT_EQUAL(37, figures.services.front().worst_repeats);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2 * 103 + 54, figures.services.front().worst_bound, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(37 / 74.6, figures.services.front().worst_ratio, 0.001);
    CPPUNIT_ASSERT_EQUAL(1, figures.late_deadlines);
    CPPUNIT_ASSERT_EQUAL(2, figures.closes_without_answer);
    CPPUNIT_ASSERT_EQUAL(1, figures.closes_after_arrival);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);

}  // namespace
}  // namespace filbertstair::judge
