#include "filbertstair/admission/attempts.h"

#include "property.h"

namespace filbertstair::admission {
namespace {

using core::Reason;

constexpr core::Incarnation kSelf = 7;

auto Id(std::uint64_t serial, core::Incarnation incarnation = 3) -> core::AttemptId {
  return {"e1", incarnation, serial};
}

class AttemptsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptsTest);
  CPPUNIT_TEST(testDuplicate);
  CPPUNIT_TEST(testRefusalIsKept);
  CPPUNIT_TEST(testWithdrawBeforeSubmit);
  CPPUNIT_TEST(testWithdrawAfterStart);
  CPPUNIT_TEST(testOtherIncarnation);
  CPPUNIT_TEST(testDrainingAndDeadline);
  CPPUNIT_TEST(testEvictedRecordIsRefused);
  CPPUNIT_TEST(testEvictedSourceIsRefused);
  CPPUNIT_TEST(testOlderEntryIncarnation);
  CPPUNIT_TEST_SUITE_END();

  AttemptTable table;
  AttemptPolicy policy;

  auto Admit(const core::AttemptId& id, double now = 0, core::Incarnation endpoint = kSelf)
      -> std::optional<Refusal> {
    return AdmitAttempt(this->table, this->policy, id, endpoint, At(1000), At(now));
  }

  auto Withdraw(const core::AttemptId& id, double now = 0, core::Incarnation endpoint = kSelf)
      -> AttemptStatus {
    return WithdrawAttempt(this->table, this->policy, id, endpoint, At(now));
  }

  auto Run(const core::AttemptId& id, core::Outcome outcome, double now = 0) -> void {
    CPPUNIT_ASSERT(!this->Admit(id, now));
    CPPUNIT_ASSERT(StartAttempt(this->table, id));
    CPPUNIT_ASSERT(EndAttempt(this->table, id, outcome, At(now)));
  }

  static auto IsRefusal(const std::optional<Refusal>& refusal, Reason reason, AttemptStatus status)
      -> bool {
    return refusal == Refusal{reason, status};
  }

 public:
  auto setUp() -> void override {
    this->table = {};
    this->table.incarnation = kSelf;
    this->policy = {};
  }

  // Guards against a second execution of a Submit that is delivered twice, at every stage of the
  // first delivery.
  auto testDuplicate() -> void {
    CPPUNIT_ASSERT(!this->Admit(Id(1)));
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(1)), Reason::duplicate_attempt, AttemptStatus::running));
    CPPUNIT_ASSERT(StartAttempt(this->table, Id(1)));
    CPPUNIT_ASSERT(!StartAttempt(this->table, Id(1)));
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(1)), Reason::duplicate_attempt, AttemptStatus::running));
    CPPUNIT_ASSERT(EndAttempt(this->table, Id(1), core::Outcome::ran, At(0)));
    CPPUNIT_ASSERT(!EndAttempt(this->table, Id(1), core::Outcome::ran, At(0)));
    CPPUNIT_ASSERT(IsRefusal(this->Admit(Id(1)), Reason::duplicate_attempt, AttemptStatus::ran));
    this->Run(Id(2), core::Outcome::unknown);
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(2)), Reason::duplicate_attempt, AttemptStatus::unknown));
    this->Run(Id(3), core::Outcome::not_run);
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(3)), Reason::engine_unreachable, AttemptStatus::not_run));
  }

  // Guards against admitting an attempt that was answered with not_run and is delivered again.
  auto testRefusalIsKept() -> void {
    CPPUNIT_ASSERT(!this->Admit(Id(1)));
    const Refusal refusal{Reason::key_history_lost, AttemptStatus::unknown};
    CPPUNIT_ASSERT(RefuseAttempt(this->table, Id(1), refusal, At(0)));
    CPPUNIT_ASSERT(!RefuseAttempt(this->table, Id(1), refusal, At(0)));
    CPPUNIT_ASSERT(!StartAttempt(this->table, Id(1)));
    CPPUNIT_ASSERT(this->Admit(Id(1)) == refusal);
    CPPUNIT_ASSERT(this->Withdraw(Id(1)) == AttemptStatus::not_run);
  }

  // Guards against running a Submit that arrives after its Withdraw was answered with not_run.
  auto testWithdrawBeforeSubmit() -> void {
    CPPUNIT_ASSERT(this->Withdraw(Id(1)) == AttemptStatus::not_run);
    CPPUNIT_ASSERT(IsRefusal(this->Admit(Id(1)), Reason::withdrawn, AttemptStatus::not_run));
    CPPUNIT_ASSERT(!this->Admit(Id(2)));
    CPPUNIT_ASSERT(this->Withdraw(Id(2)) == AttemptStatus::not_run);
    CPPUNIT_ASSERT(!StartAttempt(this->table, Id(2)));
  }

  // Guards against answering not_run for an attempt that has started.
  auto testWithdrawAfterStart() -> void {
    CPPUNIT_ASSERT(!this->Admit(Id(1)));
    CPPUNIT_ASSERT(StartAttempt(this->table, Id(1)));
    CPPUNIT_ASSERT(this->Withdraw(Id(1)) == AttemptStatus::running);
    CPPUNIT_ASSERT(EndAttempt(this->table, Id(1), core::Outcome::ran, At(0)));
    CPPUNIT_ASSERT(this->Withdraw(Id(1)) == AttemptStatus::ran);
    this->Run(Id(2), core::Outcome::unknown);
    CPPUNIT_ASSERT(this->Withdraw(Id(2)) == AttemptStatus::unknown);
  }

  // Guards against a restarted process that runs, or reports as not run, an attempt of its previous
  // incarnation.
  auto testOtherIncarnation() -> void {
    CPPUNIT_ASSERT(IsRefusal(this->Admit(Id(1), 0, kSelf - 1), Reason::stale_incarnation,
                             AttemptStatus::unknown));
    CPPUNIT_ASSERT(this->Withdraw(Id(1), 0, kSelf - 1) == AttemptStatus::unknown);
  }

  // Guards against admitting requests during a graceful shutdown or after their deadline.
  auto testDrainingAndDeadline() -> void {
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(1), 1000), Reason::deadline_exceeded, AttemptStatus::not_run));
    CPPUNIT_ASSERT(!this->Admit(Id(2)));
    this->table.draining = true;
    CPPUNIT_ASSERT(IsRefusal(this->Admit(Id(3)), Reason::draining, AttemptStatus::not_run));
    CPPUNIT_ASSERT(StartAttempt(this->table, Id(2)));
  }

  // Guards against a second execution after the attempt's record was evicted because of its age or
  // the number of records, and against evicting a running attempt.
  auto testEvictedRecordIsRefused() -> void {
    this->policy.max_records = 2;
    CPPUNIT_ASSERT(!this->Admit(Id(1)));
    CPPUNIT_ASSERT(StartAttempt(this->table, Id(1)));
    for (const auto serial : {2, 3, 4, 5}) this->Run(Id(serial), core::Outcome::ran);
    EvictAttempts(this->table, this->policy, At(0));
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(2)), Reason::duplicate_attempt, AttemptStatus::unknown));
    CPPUNIT_ASSERT(this->Withdraw(Id(2)) == AttemptStatus::unknown);
    CPPUNIT_ASSERT(IsRefusal(this->Admit(Id(5)), Reason::duplicate_attempt, AttemptStatus::ran));
    EvictAttempts(this->table, this->policy, At(600));
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(5)), Reason::duplicate_attempt, AttemptStatus::unknown));
    CPPUNIT_ASSERT(this->Withdraw(Id(1)) == AttemptStatus::running);
    CPPUNIT_ASSERT(!this->Admit(Id(6)));
  }

  // Guards against a second execution after all records of its entry incarnation were evicted.
  auto testEvictedSourceIsRefused() -> void {
    this->policy.max_sources = 4;
    for (const core::Incarnation entry : {0, 1, 2, 3, 4}) {
      const core::AttemptId id{"e" + std::to_string(entry), 10 + entry, 1};
      this->Run(id, core::Outcome::ran, static_cast<double>(entry));
    }
    EvictAttempts(this->table, this->policy, At(5));
    CPPUNIT_ASSERT(this->table.sources.size() <= 4);
    CPPUNIT_ASSERT(IsRefusal(this->Admit({"e0", 10, 1}, 5), Reason::stale_incarnation,
                             AttemptStatus::unknown));
    CPPUNIT_ASSERT(this->Withdraw({"e0", 10, 1}, 5) == AttemptStatus::unknown);
    CPPUNIT_ASSERT(!this->Admit({"e4", 14, 2}, 5));
    CPPUNIT_ASSERT(!this->Admit({"e9", 19, 1}, 5));
  }

  // Guards against running requests of an entry process that was replaced, and against answering
  // not_run for an attempt of it whose record was evicted.
  auto testOlderEntryIncarnation() -> void {
    this->Run(Id(1, 3), core::Outcome::ran);
    CPPUNIT_ASSERT(!this->Admit(Id(1, 4)));
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(2, 3)), Reason::stale_incarnation, AttemptStatus::not_run));
    CPPUNIT_ASSERT(IsRefusal(this->Admit(Id(1, 3)), Reason::duplicate_attempt, AttemptStatus::ran));
    EvictAttempts(this->table, this->policy, At(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table.sources.size());
    CPPUNIT_ASSERT(
        IsRefusal(this->Admit(Id(1, 3)), Reason::stale_incarnation, AttemptStatus::unknown));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptsTest);

}  // namespace
}  // namespace filbertstair::admission
