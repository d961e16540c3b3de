#include "filbertstair/direct/round.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RoundTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoundTest);
  CPPUNIT_TEST(testRequestWithoutRoomBlocksNoOther);
  CPPUNIT_TEST(testPassedRequestKeepsItsReplica);
  CPPUNIT_TEST(testRoundIsBounded);
  CPPUNIT_TEST(testArrivalContinuesTheRound);
  CPPUNIT_TEST(testCallersOnOneEntry);
  CPPUNIT_TEST(testWaitForTheCacheOwnerReservesNothing);
  CPPUNIT_TEST(testRoundsTakeTheSamePartOfEachEntry);
  CPPUNIT_TEST_SUITE_END();

  // Pending prefill tokens at each replica: there is no capacity for a prompt of `kLarge`; for a
  // small one there is at the replica that has its shared block cached.
  static constexpr std::uint32_t kPrefillTokens = 10000;
  static constexpr std::uint32_t kLarge = 20000;

  const QueuePolicy queue_policy{};
  const ReplicaPolicy replica_policy{};
  const Origin origin{"n1", {{"n1", "north"}}};
  const core::Time now{seconds(1000)};
  FairQueue queue;
  ReplicaTable replicas;
  std::map<Ticket, Prompt> prompts;
  bool may_wait_for_cache_owner = false;
  // Number of requests that were evaluated.
  int evaluations = 0;

 public:
  auto setUp() -> void override {
    for (const auto* id : {"a", "b", "c", "d"}) {
      UpsertReplica(
          this->replicas,
          {.id = id, .service = "llm", .address = id, .failure_domain = "n1", .slots = 64});
      FindListedReplica(this->replicas, id)->prefill_tokens = kPrefillTokens;
    }
  }

  auto testRequestWithoutRoomBlocksNoOther() -> void {
    const auto cache_owner = this->AddWaiter(1, 1, kLarge);
    // A request whose shared block belongs to another replica.
    Ticket other = 2;
    while (this->CacheOwnerOf(MakePrompt(other, 200)) == cache_owner) ++other;
    this->AddWaiter(other, other, 200);
    AssignmentRound round;
    const auto resolved = this->ResolveNext(round);
    CPPUNIT_ASSERT(resolved);
    CPPUNIT_ASSERT_EQUAL(other, resolved->ticket);
    CPPUNIT_ASSERT(resolved->choice.status == ChoiceStatus::chosen);
  }

  // Guards against small requests that fill a replica again before a large one finds capacity
  // there.
  auto testPassedRequestKeepsItsReplica() -> void {
    const auto cache_owner = this->AddWaiter(1, 1, kLarge);
    this->AddWaiter(2, 1, 100);
    AssignmentRound round;
    CPPUNIT_ASSERT(!this->ResolveNext(round));
    CPPUNIT_ASSERT(round.reserved.contains(cache_owner));
    RemoveWaiter(this->queue, "w", 1);
    AssignmentRound without_large;
    CPPUNIT_ASSERT_EQUAL(cache_owner, this->ResolveNext(without_large).value().choice.id);
  }

  auto testRoundIsBounded() -> void {
    const auto waiters = static_cast<Ticket>(this->queue_policy.max_skipped) * 2;
    for (Ticket ticket = 1; ticket <= waiters; ++ticket) this->AddWaiter(ticket, 1, kLarge);
    AssignmentRound round;
    CPPUNIT_ASSERT(!this->ResolveNext(round));
    CPPUNIT_ASSERT_EQUAL(this->queue_policy.max_skipped, round.skipped.size());
  }

  // Guards against an entry that spends its processor time on its queue: without capacity, each
  // request that arrived had all others evaluated again.
  auto testArrivalContinuesTheRound() -> void {
    for (Ticket ticket = 1; ticket <= 5; ++ticket) this->AddWaiter(ticket, 1, kLarge);
    AssignmentRound round;
    CPPUNIT_ASSERT(!this->ResolveNext(round));
    Ticket other = 6;
    while (round.reserved.contains(this->CacheOwnerOf(MakePrompt(other, 200)))) ++other;
    this->AddWaiter(other, other, 200);
    this->evaluations = 0;
    const auto resolved = this->ResolveNext(round);
    CPPUNIT_ASSERT(resolved);
    CPPUNIT_ASSERT_EQUAL(other, resolved->ticket);
    CPPUNIT_ASSERT_EQUAL(1, this->evaluations);
  }

  // Guards against a workspace that gets a fifth of another's service because its callers are all
  // at one entry, where one large request without capacity held up a hundred others.
  auto testCallersOnOneEntry() -> void {
    this->AddWaiter(1, 1, kLarge);
    for (Ticket ticket = 2; ticket <= 60; ++ticket) this->AddWaiter(ticket, ticket, 300);
    AssignmentRound round;
    int assigned = 0;
    while (const auto resolved = this->ResolveNext(round)) {
      RemoveWaiter(this->queue, resolved->workspace, resolved->ticket);
      RecordAssignment(*FindListedReplica(this->replicas, resolved->choice.id),
                       this->replica_policy, this->prompts.at(resolved->ticket),
                       resolved->choice.prefill_tokens);
      ++assigned;
    }
    // All but the large request and those that use the same replica, some of which are skipped.
    CPPUNIT_ASSERT(assigned >= 30);
    CPPUNIT_ASSERT_EQUAL(Ticket{1}, this->queue.accounts.at("w").waiting.front().ticket);
  }

  // Guards against a request that waits for the cache owner of its blocks, though it could use
  // another replica, and keeps the owner from requests that have no other.
  auto testWaitForTheCacheOwnerReservesNothing() -> void {
    const auto cache_owner = this->AddWaiter(1, 1, kLarge);
    for (const auto* id : {"a", "b", "c", "d"}) {
      if (id != cache_owner) FindListedReplica(this->replicas, id)->prefill_tokens = 0;
    }
    this->AddWaiter(2, 1, 100);
    this->may_wait_for_cache_owner = true;
    AssignmentRound round;
    const auto resolved = this->ResolveNext(round);
    CPPUNIT_ASSERT(resolved);
    CPPUNIT_ASSERT_EQUAL(Ticket{2}, resolved->ticket);
    CPPUNIT_ASSERT(round.reserved.empty());
  }

  // Guards against rounds that use up the processor time of a weak entry, and against requests that
  // wait for the next round for most of the time that they may wait.
  auto testRoundsTakeTheSamePartOfEachEntry() -> void {
    CPPUNIT_ASSERT_EQUAL(core::Duration(milliseconds(10)), RoundInterval(1));
    CPPUNIT_ASSERT_EQUAL(core::Duration(milliseconds(10)), RoundInterval(0.5));
    CPPUNIT_ASSERT(RoundInterval(0.09) >= milliseconds(50));
    for (const double cores : {0.0, 1e-9, 0.01, 0.09}) {
      CPPUNIT_ASSERT(RoundInterval(cores) <= milliseconds(60));
    }
  }

 private:
  static auto MakePrompt(std::uint64_t shared, std::uint32_t own) -> Prompt {
    Prompt prompt;
    prompt.model = "m";
    prompt.blocks = {{shared, 400}, {1000 + shared, own}};
    prompt.tokens_in = 400 + own;
    return prompt;
  }

  // Returns the replica with capacity for the prompt, or the one for which it has to wait.
  auto CacheOwnerOf(const Prompt& prompt) const -> std::string {
    return ChooseReplica(this->replicas, this->replica_policy, this->origin, {"llm", &prompt},
                         this->now)
        .id;
  }

  // Adds a waiting request with a shared block and returns the replica that the block belongs to.
  auto AddWaiter(Ticket ticket, std::uint64_t shared, std::uint32_t own) -> std::string {
    this->prompts[ticket] = MakePrompt(shared, own);
    Enqueue(this->queue, "w", {ticket, 0, 1});
    return this->CacheOwnerOf(this->prompts.at(ticket));
  }

  auto ResolveNext(AssignmentRound& round) -> std::optional<ResolvedRequest> {
    const auto make_request = [&](Ticket ticket) {
      ++this->evaluations;
      return PlacementRequest{.service = "llm",
                              .prompt = &this->prompts.at(ticket),
                              .may_wait_for_cache_owner = this->may_wait_for_cache_owner};
    };
    return ResolveNextRequest(round,
                              {this->queue, this->queue_policy, this->replicas,
                               this->replica_policy, this->origin, make_request},
                              this->now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoundTest);

}  // namespace
}  // namespace filbertstair::direct
