#ifndef FILBERTSTAIR_TESTS_JUDGE_TEST_HISTORY_H_
#define FILBERTSTAIR_TESTS_JUDGE_TEST_HISTORY_H_

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/judge/index.h"

// Made-up histories for the tests of the judge.
namespace filbertstair::judge {

using detail::kSecond;

// A time long after the start of all processes.
constexpr Time kStart = 1000 * kSecond;

// Adds an attempt of 1 s that was answered with 200.
inline auto AddAttempt(History& history, const std::string& id, Time at,
                       RequestKind kind = RequestKind::safe) -> ClientAttempt& {
  ClientAttempt attempt;
  attempt.id = id;
  attempt.service = "s";
  attempt.kind = kind;
  attempt.connection = "c" + id;
  attempt.began_at = attempt.sent_at = at;
  attempt.deadline = 5 * kSecond;
  attempt.ended_at = at + kSecond;
  attempt.status = 200;
  attempt.complete = true;
  history.attempts.push_back(attempt);
  return history.attempts.back();
}

// Adds an arrival with the time that is left of 5 s, at a replica that answers at once.
inline auto AddArrival(History& history, const std::string& id, const std::string& replica, Time at)
    -> Arrival& {
  Arrival arrival;
  arrival.id = id;
  arrival.service = "s";
  arrival.replica = replica;
  arrival.entry = 0;
  arrival.at = arrival.ended_at = at;
  arrival.deadline = 5 * kSecond;
  arrival.ran = true;
  arrival.end = ArrivalEnd::answered;
  arrival.status = 200;
  history.arrivals.push_back(arrival);
  return history.arrivals.back();
}

inline auto Disturb(History& history, DisturbanceKind kind, Time from, Time until, int entry = 0)
    -> void {
  history.disturbances.push_back({kind, entry, "", from, until});
}

inline auto DisturbReplica(History& history, const std::string& replica, Time at) -> void {
  history.disturbances.push_back({DisturbanceKind::replica, -1, replica, at, at});
}

inline auto AssertHeld(const History& history) -> void {
  const auto findings = Judge(history);
  CPPUNIT_ASSERT_MESSAGE(findings.empty() ? ""
                                          : std::string(core::Name(findings.front().form)) + ": " +
                                                findings.front().detail,
                         findings.empty());
}

// Asserts that exactly this form is broken, by this many requests.
inline auto AssertBroken(const History& history, Rule rule, Form form, std::size_t requests)
    -> void {
  const auto findings = Judge(history);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.size());
  const auto& finding = findings.front();
  CPPUNIT_ASSERT_EQUAL(std::string(core::Name(rule)), std::string(core::Name(finding.rule)));
  CPPUNIT_ASSERT_EQUAL(std::string(core::Name(form)), std::string(core::Name(finding.form)));
  CPPUNIT_ASSERT_EQUAL(requests, finding.requests.size());
}

}  // namespace filbertstair::judge

#endif  // FILBERTSTAIR_TESTS_JUDGE_TEST_HISTORY_H_
