#include "tests/judge/test_history.h"

namespace filbertstair::judge {
namespace {

auto AssertLost(const History& history, Form form, std::size_t requests) -> void {
  AssertBroken(history, Rule::lost, form, requests);
}

// A request whose connection ended after 1 s without a complete answer, with a replica at work.
auto AddCut(History& history, const std::string& id, Time at) -> ClientAttempt& {
  auto& attempt = AddAttempt(history, id, at);
  attempt.complete = false;
  attempt.status = 0;
  auto& arrival = AddArrival(history, id, "r0", at);
  arrival.ended_at = attempt.ended_at;
  arrival.end = ArrivalEnd::abandoned;
  return attempt;
}

// `count` requests on kept connections that were closed without an answer.
auto Closed(int count) -> History {
  History out;
  for (int i = 0; i < count; ++i) AddCut(out, std::to_string(i), kStart).order = 1;
  return out;
}

// A request that was cut 1 s after it was sent, with planned work `before` its end.
auto CutAfter(DisturbanceKind work, Time before) -> History {
  History out;
  AddCut(out, "a", kStart);
  Disturb(out, work, kStart + kSecond - before, kStart + kSecond - before);
  return out;
}

// Requests of which `cut` are cut beside a configuration, and `cut_before` of 10 long before it.
auto CutBeside(int cut, int cut_before) -> History {
  History out;
  for (int i = 0; i < 10; ++i) {
    const auto id = "before" + std::to_string(i);
    if (i < cut_before) {
      AddCut(out, id, kStart - 100 * kSecond);
    } else {
      AddAttempt(out, id, kStart - 100 * kSecond);
    }
  }
  for (int i = 0; i < 10; ++i) {
    const auto id = "beside" + std::to_string(i);
    if (i < cut) {
      AddCut(out, id, kStart);
    } else {
      AddAttempt(out, id, kStart);
    }
  }
  Disturb(out, DisturbanceKind::configuration, kStart - kSecond, kStart, -1);
  return out;
}

class LostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostTest);
  CPPUNIT_TEST(testClosedKeptConnectionsAreFound);
  CPPUNIT_TEST(testClosesThatLoseNothingHold);
  CPPUNIT_TEST(testClosesOutOfTouchAreExcused);
  CPPUNIT_TEST(testRequestsCutInAStopAreFound);
  CPPUNIT_TEST(testRequestsThatOutlastTheGraceAreExcused);
  CPPUNIT_TEST(testRequestsCutAfterAReloadAreFound);
  CPPUNIT_TEST(testRequestsThatWereNotReadHold);
  CPPUNIT_TEST(testCutsWithAnotherCauseAreExcused);
  CPPUNIT_TEST(testStoreExcusesStreamsAlone);
  CPPUNIT_TEST(testCutsBesideAConfigurationAreFound);
  CPPUNIT_TEST(testLateCutsBesideAConfigurationHold);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Fails if a fourth kept connection that is closed without an answer goes unnoticed.
  auto testClosedKeptConnectionsAreFound() -> void {
    AssertHeld(Closed(3));
    AssertLost(Closed(4), Form::kept_close, 4);
  }

  // Fails if a close that loses no request of a sound replica is reported.
  auto testClosesThatLoseNothingHold() -> void {
    const auto closed = [](auto change) {
      auto history = Closed(4);
      change(history);
      AssertHeld(history);
    };
    closed([](History& h) { h.attempts.back().order = 0; });
    closed([](History& h) { h.attempts.back().status = 200; });
    closed([](History& h) { h.attempts.back().gave_up = true; });
    closed([](History& h) { h.arrivals.pop_back(); });
    closed([](History& h) { h.arrivals.back().sound = false; });
    closed([](History& h) { h.arrivals.back().end = ArrivalEnd::cut; });
    closed([](History& h) { h.arrivals.back().end = ArrivalEnd::refused; });
    closed([](History& h) { DisturbReplica(h, "r0", kStart + kSecond); });
  }

  // Fails if an entry that was disturbed shortly before is judged, or one that was not is excused.
  auto testClosesOutOfTouchAreExcused() -> void {
    auto history = Closed(4);
    Disturb(history, DisturbanceKind::reset_connections, kStart - 9 * kSecond,
            kStart - 4 * kSecond);
    AssertHeld(history);
    history.disturbances.front().until -= 1;
    AssertLost(history, Form::kept_close, 4);
    history.disturbances = {{DisturbanceKind::kill, 0, "", kStart + kSecond, kStart + kSecond}};
    AssertHeld(history);
    history.disturbances.front().entry = 1;
    AssertLost(history, Form::kept_close, 4);
    Disturb(history, DisturbanceKind::store, kStart, kStart, -1);
    AssertHeld(history);
  }

  // Fails if a single request that is cut in a stop goes unnoticed until 1 s after the grace.
  auto testRequestsCutInAStopAreFound() -> void {
    AssertLost(CutAfter(DisturbanceKind::terminate, 0), Form::stop, 1);
    AssertLost(CutAfter(DisturbanceKind::terminate, kSecond), Form::stop, 1);
    AssertHeld(CutAfter(DisturbanceKind::terminate, -1));
    AssertLost(CutAfter(DisturbanceKind::terminate, 9 * kSecond), Form::stop, 1);
    AssertHeld(CutAfter(DisturbanceKind::terminate, 9 * kSecond + 1));
    // An incomplete answer is none.
    auto history = CutAfter(DisturbanceKind::terminate, 0);
    history.attempts.front().status = 200;
    AssertLost(history, Form::stop, 1);
    history.attempts.front().complete = true;
    AssertHeld(history);
    history = CutAfter(DisturbanceKind::terminate, 0);
    history.disturbances.front().entry = 1;
    AssertHeld(history);
  }

  // Fails if a stop must wait for a replica that is at work at the end of the grace.
  auto testRequestsThatOutlastTheGraceAreExcused() -> void {
    const auto history = [](Time sent_after, Time worked_until) {
      History out;
      auto& attempt = AddCut(out, "a", kStart + sent_after);
      attempt.deadline = 60 * kSecond;
      attempt.ended_at = out.arrivals.front().ended_at = kStart + worked_until;
      Disturb(out, DisturbanceKind::terminate, kStart, kStart);
      out.bounds.grace = 6 * kSecond;
      return out;
    };
    AssertHeld(history(3 * kSecond, 5 * kSecond));
    auto working = history(3 * kSecond, 5 * kSecond - 1);
    working.arrivals.front().end = ArrivalEnd::none;
    AssertHeld(working);
    AssertLost(history(3 * kSecond, 5 * kSecond - 1), Form::stop, 1);
    AssertLost(history(3 * kSecond + 1, 5 * kSecond), Form::stop, 1);
  }

  // Fails if a request is cut by a reload.
  auto testRequestsCutAfterAReloadAreFound() -> void {
    AssertLost(CutAfter(DisturbanceKind::reload, 0), Form::reload, 1);
    AssertHeld(CutAfter(DisturbanceKind::reload, -1));
    // The request was sent 2.5 s after the signal, or later.
    AssertLost(CutAfter(DisturbanceKind::reload, 3'500'000), Form::reload, 1);
    AssertHeld(CutAfter(DisturbanceKind::reload, 3'500'001));
  }

  // Fails if a request that crosses the close is reported, or one that was read is not.
  auto testRequestsThatWereNotReadHold() -> void {
    auto history = CutAfter(DisturbanceKind::terminate, 0);
    history.arrivals.clear();
    auto& attempt = history.attempts.front();
    AssertLost(history, Form::stop, 1);
    attempt.sent_at = attempt.ended_at - history.bounds.loss_slack;
    AssertHeld(history);
    attempt.sent_at -= 1;
    AssertLost(history, Form::stop, 1);
    attempt.sent_at = 0;
    AssertHeld(history);
  }

  // Fails if a cut is put down to planned work though something else explains it.
  auto testCutsWithAnotherCauseAreExcused() -> void {
    const auto excused = [](auto change) {
      auto history = CutAfter(DisturbanceKind::terminate, kSecond);
      change(history);
      AssertHeld(history);
    };
    excused([](History& h) { h.attempts.back().gave_up = true; });
    excused([](History& h) { h.attempts.back().deadline = kSecond; });
    excused([](History& h) { h.attempts.back().timeout = kSecond; });
    excused([](History& h) { h.arrivals.back().end = ArrivalEnd::cut; });
    excused([](History& h) { DisturbReplica(h, "r0", kStart + kSecond); });
    excused([](History& h) { Disturb(h, DisturbanceKind::kill, kStart, kStart); });
    excused([](History& h) {
      Disturb(h, DisturbanceKind::freeze, kStart - 9 * kSecond, kStart - 4 * kSecond);
    });
    auto history = CutAfter(DisturbanceKind::terminate, kSecond);
    history.attempts.back().deadline = history.attempts.back().timeout = kSecond + 1;
    Disturb(history, DisturbanceKind::freeze, kStart - 9 * kSecond, kStart - 4 * kSecond - 1);
    AssertLost(history, Form::stop, 1);
    // A silent replica is no reason to end an answer.
    history.arrivals.back().sound = false;
    AssertLost(history, Form::stop, 1);
  }

  // Fails if disturbance of the store excuses a safe or unsafe request.
  auto testStoreExcusesStreamsAlone() -> void {
    auto history = CutAfter(DisturbanceKind::terminate, 0);
    Disturb(history, DisturbanceKind::store, kStart, kStart, -1);
    AssertLost(history, Form::stop, 1);
    history.attempts.back().kind = RequestKind::unsafe;
    AssertLost(history, Form::stop, 1);
    history.attempts.back().kind = RequestKind::stream;
    AssertHeld(history);
  }

  // Fails if an entry may cut requests over three times as often beside a configuration.
  auto testCutsBesideAConfigurationAreFound() -> void {
    AssertLost(CutBeside(1, 0), Form::configuration, 1);
    AssertHeld(CutBeside(3, 1));
    AssertLost(CutBeside(4, 1), Form::configuration, 4);
    // Until 3.5 s after its acknowledgement.
    auto history = CutBeside(1, 0);
    history.disturbances.front().until = kStart - 2'500'000;
    history.disturbances.front().from = kStart - 9 * kSecond;
    AssertLost(history, Form::configuration, 1);
    history.disturbances.front().until -= 1;
    AssertHeld(history);
    // Cuts of another entry do not count.
    history = CutBeside(4, 1);
    history.attempts.front().entry = 1;
    AssertLost(history, Form::configuration, 4);
    Disturb(history, DisturbanceKind::slow, kStart, kStart);
    AssertHeld(history);
  }

  // Fails if a request that has used seven tenths of its time counts beside a configuration.
  auto testLateCutsBesideAConfigurationHold() -> void {
    auto history = CutBeside(1, 0);
    auto& attempt = history.attempts[10];
    attempt.deadline = 10 * kSecond;
    attempt.ended_at = attempt.began_at + 6'999'999;
    history.disturbances.front().until = attempt.ended_at;
    AssertLost(history, Form::configuration, 1);
    attempt.ended_at += 1;
    history.disturbances.front().until = attempt.ended_at;
    AssertHeld(history);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostTest);

}  // namespace
}  // namespace filbertstair::judge
