#include "filbertstair/admission/admission.h"

#include <algorithm>
#include <set>

#include "property.h"

namespace filbertstair::admission {
namespace {

// Model of one endpoint process and its entries, driven by random steps. Records the starts and
// answers over all incarnations of the process.
class EndpointModel {
 public:
  EndpointModel() { this->Restart(); }

  auto Step(std::uint32_t word) -> void {
    Choices choices{word};
    switch (choices.Next(16)) {
      case 0:
      case 1:
      case 2:
        this->Deliver(this->CreateSubmission(choices));
        break;
      case 3:
        this->CreateSubmission(choices);
        break;
      case 4:
      case 5:
        if (const auto* sent = this->PickSent(choices)) this->Deliver(*sent);
        break;
      case 6:
        if (const auto* sent = this->PickSent(choices)) this->Withdraw(*sent);
        break;
      case 7:
      case 8:
        this->FinishRandom(choices);
        break;
      case 9:
        this->now += std::chrono::milliseconds(100 * choices.Next(20));
        break;
      case 10:
        ExpireGrantsAndRecords(this->state, this->policy, this->Clock());
        break;
      case 11:
        this->Announce(choices);
        break;
      case 12:
      case 13:
        this->IssueFirstCandidate();
        break;
      case 14:
        this->state.slots.limit = static_cast<std::uint32_t>(choices.Next(4) + choices.Next(2));
        break;
      default:
        this->InjectFault(choices);
    }
    this->RecordStarts(admission::StartStagedAttempts(this->state, this->Clock()).started);
    this->CheckInvariants();
  }

  // Ends all work and checks that no slot remains claimed.
  auto EndAllWork() -> void {
    this->state.slots.limit = 100;
    this->now += std::chrono::hours(1);
    ExpireGrantsAndRecords(this->state, this->policy, this->Clock());
    this->RecordStarts(admission::StartStagedAttempts(this->state, this->Clock()).started);
    while (!this->running.empty()) {
      const auto attempt = this->running.back();
      this->FinishRunning(attempt, core::Outcome::ran);
    }
    this->CheckInvariants();
    RC_ASSERT(this->state.slots.running + this->state.slots.staged + this->state.slots.granted ==
              0U);
    RC_ASSERT(this->state.attempt_keys.empty());
  }

 private:
  auto Clock() const -> ClockReading {
    return {core::Time(this->now),
            WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(this->now))};
  }

  auto Restart() -> void {
    this->state = MakeAdmissionState(++this->incarnation, 2, this->Clock());
    this->state.owner_histories["chat"].self = "x";
    ObserveEndpoints(this->state.owner_histories["chat"], this->policy.keys, {"x"},
                     this->Clock().wall);
    this->running.clear();
    this->outstanding.clear();
    this->ended.clear();
    for (const std::size_t entry : {0, 1}) this->OpenStream(entry);
  }

  auto OpenStream(std::size_t entry) -> void {
    OpenEntryStream(this->state, kEntries[entry], this->entries[entry], ++this->streams, "north");
  }

  // Restarts the endpoint process or an entry, replaces or closes a control stream, drains, or
  // briefly removes this endpoint from the set of owners.
  auto InjectFault(Choices& choices) -> void {
    const auto entry = choices.Next(2);
    switch (choices.Next(12)) {
      case 0:
        this->Restart();
        break;
      case 1:
        ++this->entries[entry];
        this->OpenStream(entry);
        break;
      case 2:
        this->OpenStream(entry);
        break;
      case 3:
        CloseEntryStream(this->state, kEntries[entry],
                         this->state.demand.sources[kEntries[entry]].stream);
        break;
      case 4:
        if (choices.Next(4) == 0) DrainAdmission(this->state);
        break;
      case 5:
      case 6:
        for (const auto* id : {"y", "x"}) {
          ObserveEndpoints(this->state.owner_histories["chat"], this->policy.keys, {id},
                           this->Clock().wall);
        }
        break;
      default:
        break;
    }
  }

  auto CreateSubmission(Choices& choices) -> Submission {
    const auto entry = choices.Next(2);
    Submission submission{
        .attempt = {kEntries[entry], this->entries[entry], ++this->serial},
        .endpoint = this->incarnation,
        .grant = 0,
        .service = "chat",
        .workspace = "office",
        .deadline = core::Time(this->now) + std::chrono::seconds(choices.Next(16)),
        .key = std::nullopt};
    const auto& grants = this->state.grants.outstanding;
    if (!grants.empty() && choices.Next(4) != 0) {
      const auto& grant =
          std::next(grants.begin(), static_cast<std::ptrdiff_t>(choices.Next(grants.size())))
              ->second;
      submission.grant = grant.id;
      submission.attempt.entry = grant.entry;
      submission.attempt.incarnation = grant.entry_incarnation;
    }
    if (choices.Next(2) == 0) {
      if (this->keys.empty() || choices.Next(2) == 0) {
        this->keys.push_back({std::to_string(this->keys.size()), this->Clock().wall});
      }
      submission.key = this->keys[choices.Next(this->keys.size())];
    }
    this->sent.push_back(submission);
    return submission;
  }

  auto PickSent(Choices& choices) -> const Submission* {
    return this->sent.empty() ? nullptr : &this->sent[choices.Next(this->sent.size())];
  }

  auto Deliver(const Submission& submission) -> void {
    const auto grant = this->state.grants.outstanding.find(submission.grant);
    const auto usable = grant != this->state.grants.outstanding.end() &&
                        this->Clock().steady < grant->second.expires_at;
    const auto decision = AdmitSubmission(this->state, this->policy, submission, this->Clock());
    if (decision.verdict == Verdict::run) this->RecordStarts({submission.attempt});
    if (decision.verdict != Verdict::refused) {
      RC_ASSERT(submission.grant == 0U || usable);
    } else if (decision.refusal->status == AttemptStatus::not_run) {
      this->RecordNotRun(submission.attempt);
    }
  }

  auto Withdraw(const Submission& submission) -> void {
    const auto status = admission::WithdrawSubmission(this->state, this->policy, submission.attempt,
                                                      submission.endpoint, this->Clock());
    if (status == AttemptStatus::not_run) this->RecordNotRun(submission.attempt);
    if (status == AttemptStatus::ran) RC_ASSERT(this->starts[submission.attempt] == 1);
  }

  auto FinishRandom(Choices& choices) -> void {
    if (this->running.empty()) return;
    const auto attempt = this->running[choices.Next(this->running.size())];
    this->FinishRunning(attempt, core::kNames<core::Outcome>[choices.Next(3)].first);
  }

  auto FinishRunning(const core::AttemptId& attempt, core::Outcome outcome) -> void {
    RC_ASSERT(admission::FinishAttempt(this->state, this->policy, attempt, outcome, this->Clock()));
    std::erase(this->running, attempt);
    if (outcome == core::Outcome::not_run) {
      --this->key_runs[this->KeyOf(attempt)];
      this->never_reached_replica.insert(attempt);
    }
  }

  auto Announce(Choices& choices) -> void {
    const auto entry = choices.Next(2);
    const std::vector<DemandItem> items{
        {"chat", "office", static_cast<std::uint32_t>(choices.Next(4))}};
    ReplaceDemand(this->state.demand, kEntries[entry], this->entries[entry], items);
  }

  auto IssueFirstCandidate() -> void {
    const auto candidates = ListGrantCandidates(this->state.demand);
    if (candidates.empty()) return;
    const DemandKey key{std::string(candidates[0].service), std::string(candidates[0].workspace),
                        std::string(candidates[0].region)};
    admission::IssueNextGrant(this->state, key, 1, std::chrono::seconds(1), this->Clock());
  }

  auto KeyOf(const core::AttemptId& attempt) const -> std::string {
    const auto found =
        std::find_if(this->sent.begin(), this->sent.end(),
                     [&attempt](const auto& sent) { return sent.attempt == attempt; });
    return found->key ? found->key->text : "";
  }

  auto RecordStarts(const std::vector<core::AttemptId>& attempts) -> void {
    for (const auto& attempt : attempts) {
      RC_ASSERT(++this->starts[attempt] == 1);
      RC_ASSERT(!this->answered_not_run.contains(attempt));
      const auto key = this->KeyOf(attempt);
      RC_ASSERT(++this->key_runs[key] == 1 || key.empty());
      this->running.push_back(attempt);
      RC_ASSERT(this->state.slots.running <= this->state.slots.limit);
    }
  }

  auto RecordNotRun(const core::AttemptId& attempt) -> void {
    RC_ASSERT(this->starts[attempt] == 0 || this->never_reached_replica.contains(attempt));
    this->answered_not_run.insert(attempt);
  }

  // Checks that the counts and sums match the tables, and that no ended grant becomes outstanding
  // again.
  auto CheckInvariants() -> void {
    RC_ASSERT(this->state.slots.running == this->running.size());
    RC_ASSERT(this->state.slots.staged == this->state.staged.size());
    RC_ASSERT(this->state.slots.granted == this->state.grants.outstanding.size());
    std::uint64_t grantable = 0;
    for (const auto& [key, group] : this->state.demand.groups) {
      for (const auto& [entry, row] : group.rows) {
        if (this->state.demand.sources.at(entry).paused) continue;
        grantable += row.waiting - std::min(row.waiting, row.granted);
      }
    }
    RC_ASSERT(this->state.demand.grantable == grantable);
    std::set<GrantId> now_outstanding;
    for (const auto& [id, grant] : this->state.grants.outstanding) now_outstanding.insert(id);
    for (const auto id : this->outstanding) {
      if (!now_outstanding.contains(id)) this->ended.insert(id);
    }
    for (const auto id : now_outstanding) RC_ASSERT(!this->ended.contains(id));
    this->outstanding = now_outstanding;
  }

  inline static const std::vector<std::string> kEntries{"e0", "e1"};

  AdmissionState state;
  // Small tables and short times, so that evictions and changes of the owner occur within a test
  // case.
  AdmissionPolicy policy{
      .attempts = {.retention = std::chrono::seconds(20), .max_records = 8, .max_sources = 3},
      .keys = {.lifetime = std::chrono::seconds(20),
               .quiet_period = std::chrono::milliseconds(500),
               .max_skew = std::chrono::milliseconds(0),
               .max_keys = 8}};
  core::Duration now = std::chrono::hours(1);
  core::Incarnation incarnation = 100;
  std::vector<core::Incarnation> entries{10, 20};
  std::uint64_t streams = 0;
  std::uint64_t serial = 0;
  std::vector<Submission> sent;
  std::vector<IdempotencyKey> keys;
  std::vector<core::AttemptId> running;
  std::map<core::AttemptId, int> starts;
  std::map<std::string, int> key_runs;
  // Attempts that were answered with not_run, and attempts whose request never reached the replica.
  std::set<core::AttemptId> answered_not_run;
  std::set<core::AttemptId> never_reached_replica;
  std::set<GrantId> outstanding;
  std::set<GrantId> ended;
};

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(testRandomSteps);
  CPPUNIT_TEST(testStagedRequestsStartInOrder);
  CPPUNIT_TEST(testStagedPastItsDeadline);
  CPPUNIT_TEST(testRefusedKeyEndsTheGrant);
  CPPUNIT_TEST_SUITE_END();

  AdmissionState state = MakeAdmissionState(7, 1, {});
  AdmissionPolicy policy;

  auto Request(std::uint64_t serial, GrantId grant = 0) -> Submission {
    return {.attempt = {"e1", 3, serial},
            .endpoint = 7,
            .grant = grant,
            .service = "chat",
            .workspace = "office",
            .deadline = At(10),
            .key = std::nullopt};
  }

  auto Submit(const Submission& submission) -> Verdict {
    return admission::AdmitSubmission(this->state, this->policy, submission, {}).verdict;
  }

  // Issues grants 1 and 2 for a process with one slot.
  auto IssueTwoGrants() -> void {
    OpenEntryStream(this->state, "e1", 3, 1, "north");
    const std::vector<DemandItem> items{{"chat", "office", 5}};
    ReplaceDemand(this->state.demand, "e1", 3, items);
    for (const auto expected : {1U, 2U, 0U}) {
      const auto grant =
          IssueNextGrant(this->state, {"chat", "office", "north"}, 1, std::chrono::seconds(1), {});
      CPPUNIT_ASSERT_EQUAL(GrantId{expected}, grant ? grant->id : 0);
    }
  }

 public:
  // Guards against an attempt or key that runs twice, a run after not_run was answered, more
  // running requests than slots, a grant that ends twice or never, and a leaked slot, over random
  // sequences of all messages, losses, duplicates, restarts and evictions.
  auto testRandomSteps() -> void {
    CheckProperty(4000, [] {
      EndpointModel model;
      for (const auto word : *RandomWords()) model.Step(word);
      model.EndAllWork();
    });
  }

  // Guards against a staged request that is overtaken by another one, and against a submission
  // without a grant that overtakes reported demand.
  auto testStagedRequestsStartInOrder() -> void {
    this->IssueTwoGrants();
    CPPUNIT_ASSERT(this->Submit(this->Request(1)) == Verdict::refused);
    CPPUNIT_ASSERT(this->Submit(this->Request(2, 1)) == Verdict::run);
    CPPUNIT_ASSERT(this->Submit(this->Request(3, 2)) == Verdict::staged);
    CPPUNIT_ASSERT(StartStagedAttempts(this->state, {}).started.empty());
    CPPUNIT_ASSERT(FinishAttempt(this->state, this->policy, {"e1", 3, 2}, core::Outcome::ran, {}));
    const auto starts = StartStagedAttempts(this->state, {});
    CPPUNIT_ASSERT(starts.started == std::vector<core::AttemptId>({{"e1", 3, 3}}));
  }

  // Guards against a staged request that runs after its caller received deadline_exceeded.
  auto testStagedPastItsDeadline() -> void {
    this->IssueTwoGrants();
    this->Submit(this->Request(1, 1));
    this->Submit(this->Request(2, 2));
    FinishAttempt(this->state, this->policy, {"e1", 3, 1}, core::Outcome::ran, {});
    const auto starts = StartStagedAttempts(this->state, {At(10), {}});
    CPPUNIT_ASSERT(starts.started.empty());
    CPPUNIT_ASSERT(starts.expired == std::vector<core::AttemptId>({{"e1", 3, 2}}));
    CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(this->state.slots));
  }

  // Guards against a Submit with a refused key whose grant holds its slot until it expires.
  auto testRefusedKeyEndsTheGrant() -> void {
    this->IssueTwoGrants();
    auto request = this->Request(1, 1);
    request.key = IdempotencyKey{"k", {}};
    CPPUNIT_ASSERT(this->Submit(request) == Verdict::refused);
    CPPUNIT_ASSERT_EQUAL(1U, this->state.slots.granted);
    CPPUNIT_ASSERT_EQUAL(0U, this->state.slots.staged + this->state.slots.running);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace filbertstair::admission
