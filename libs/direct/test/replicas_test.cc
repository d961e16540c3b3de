#include "filbertstair/direct/replicas.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicasTest);
  CPPUNIT_TEST(testNearestIdleReplica);
  CPPUNIT_TEST(testEntriesAgreeOnTheKeeper);
  CPPUNIT_TEST(testBusyKeeperGivesWay);
  CPPUNIT_TEST(testFullReplicas);
  CPPUNIT_TEST(testOtherEntriesCount);
  CPPUNIT_TEST(testLeavingAndGone);
  CPPUNIT_TEST(testForgivenDelisting);
  CPPUNIT_TEST(testRestartForgetsKeptParts);
  CPPUNIT_TEST(testSetAside);
  CPPUNIT_TEST(testFullReplicasAreNoReasonForFailedOnes);
  CPPUNIT_TEST(testTriedReplicasAreLeftOut);
  CPPUNIT_TEST(testOtherServicesAddress);
  CPPUNIT_TEST(testHugeReportIsNoRoom);
  CPPUNIT_TEST_SUITE_END();

  const ReplicaPolicy policy{};
  const core::Time now{seconds(1000)};
  const Origin origin{"n1", {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}}};

  static auto Make(const std::string& id, const std::string& domain, std::uint32_t slots = 10)
      -> Listing {
    Listing listing;
    listing.id = id;
    listing.service = "llm";
    listing.address = "127.0.0.1:" + std::to_string(1000 + id.back());
    listing.failure_domain = domain;
    listing.slots = slots;
    return listing;
  }

  static auto MakePrompt(std::uint64_t shared, std::uint32_t shared_tokens, std::uint32_t own)
      -> Prompt {
    Prompt prompt;
    prompt.model = "m";
    prompt.parts = {{1, shared_tokens / 2}, {shared, shared_tokens / 2}, {99, own}};
    prompt.tokens_in = shared_tokens + own;
    return prompt;
  }

  static auto MakeTable() -> ReplicaTable {
    ReplicaTable table;
    for (const auto& id : {"a", "b"}) Upsert(table, Make(id, "n1"));
    Upsert(table, Make("c", "n2"));
    for (const auto& id : {"d", "e"}) Upsert(table, Make(id, "s1"));
    return table;
  }

  auto ChooseFor(const ReplicaTable& table, const Prompt* prompt,
                 const std::set<std::string>* tried = nullptr) const -> Choice {
    return Choose(table, this->policy, this->origin, {"llm", prompt, tried}, this->now);
  }

 public:
  auto testNearestIdleReplica() -> void {
    auto table = MakeTable();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->ChooseFor(table, nullptr).id);
    Assigned(*Find(table, "llm", "a"), this->policy, {}, 0);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->ChooseFor(table, nullptr).id);
    CPPUNIT_ASSERT(
        Choose(table, this->policy, this->origin, {"other", nullptr, nullptr}, this->now).status ==
        ChoiceStatus::none);
  }

  // Guards against entries of different regions that each read the same parts at a replica of
  // their own.
  auto testEntriesAgreeOnTheKeeper() -> void {
    const auto table = MakeTable();
    const Origin south{"s1", this->origin.regions};
    for (std::uint64_t shared = 10; shared < 60; ++shared) {
      const auto prompt = MakePrompt(shared, 5000, 1000);
      const auto here = this->ChooseFor(table, &prompt);
      const auto there = Choose(table, this->policy, south, {"llm", &prompt, nullptr}, this->now);
      CPPUNIT_ASSERT_EQUAL(here.id, there.id);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, here.unread);
    }
  }

  // Guards against requests that queue at the replica that keeps their parts while others idle,
  // and against spreading them over all others.
  auto testBusyKeeperGivesWay() -> void {
    auto table = MakeTable();
    const auto prompt = MakePrompt(10, 5000, 1000);
    const auto keeper = this->ChooseFor(table, &prompt).id;
    Find(table, "llm", keeper)->unread = 40000;
    const auto second = this->ChooseFor(table, &prompt).id;
    CPPUNIT_ASSERT(second != keeper);
    Assigned(*Find(table, "llm", second), this->policy, prompt, 6000);
    Began(*Find(table, "llm", second), 6000);
    const auto third = this->ChooseFor(table, &prompt);
    CPPUNIT_ASSERT_EQUAL(second, third.id);
    CPPUNIT_ASSERT(third.unread < 1001);
  }

  // Guards against handing over more than replicas can run, where arrival order would rule.
  auto testFullReplicas() -> void {
    auto table = MakeTable();
    int assigned = 0;
    for (;; ++assigned) {
      const auto choice = this->ChooseFor(table, nullptr);
      if (choice.status != ChoiceStatus::chosen) {
        CPPUNIT_ASSERT(choice.status == ChoiceStatus::full);
        break;
      }
      Assigned(*Find(table, "llm", choice.id), this->policy, {}, 0);
    }
    CPPUNIT_ASSERT(assigned <= 50);
    CPPUNIT_ASSERT(assigned >= 5 * static_cast<int>(10 * this->policy.full_share));
    Ended(*Find(table, "llm", "d"));
    CPPUNIT_ASSERT_EQUAL(std::string("d"), this->ChooseFor(table, nullptr).id);
  }

  // Guards against entries that fill replicas because they don't know of each other's requests.
  auto testOtherEntriesCount() -> void {
    auto table = MakeTable();
    for (const auto& id : {"a", "b", "c", "d", "e"}) {
      SetPeerUse(table, "entry-2", id, {10, 0});
    }
    CPPUNIT_ASSERT(this->ChooseFor(table, nullptr).status == ChoiceStatus::full);
    SetPeerUse(table, "entry-2", "b", {3, 0});
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->ChooseFor(table, nullptr).id);
    DropPeer(table, "entry-2");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->ChooseFor(table, nullptr).id);
    CPPUNIT_ASSERT(table.elsewhere.empty());
    Reported(*Find(table, "llm", "a"), {9, 4, 10}, this->now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->ChooseFor(table, nullptr).id);
  }

  // Guards against new requests at a replica that leaves.
  auto testLeavingAndGone() -> void {
    auto table = MakeTable();
    auto leaving = Make("a", "n1");
    leaving.state = ReplicaState::leaving;
    Upsert(table, leaving);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->ChooseFor(table, nullptr).id);
    Find(table, "llm", "b")->in_flight = 1;
    Delist(table, "b", core::Time{});
    CPPUNIT_ASSERT_EQUAL(std::string("c"), this->ChooseFor(table, nullptr).id);
    Sweep(table, this->now);
    CPPUNIT_ASSERT(Find(table, "llm", "b") != nullptr);
    Ended(*Find(table, "llm", "b"));
    Sweep(table, this->now);
    CPPUNIT_ASSERT(Find(table, "llm", "b") == nullptr);
  }

  // Guards against dropping live replicas whose entries lapsed while the platform's list was away,
  // and against using them for ever if they don't come back.
  auto testForgivenDelisting() -> void {
    ReplicaTable table;
    Upsert(table, Make("a", "n1"));
    Delist(table, "a", this->now + seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->ChooseFor(table, nullptr).id);
    Upsert(table, Make("a", "n1"));
    Sweep(table, this->now + seconds(3));
    CPPUNIT_ASSERT(Find(table, "llm", "a") != nullptr);
    Delist(table, "a", this->now + seconds(2));
    const Need need{"llm", nullptr, nullptr};
    CPPUNIT_ASSERT(Choose(table, this->policy, this->origin, need, this->now + seconds(2)).status ==
                   ChoiceStatus::none);
    Sweep(table, this->now + seconds(3));
    CPPUNIT_ASSERT(Find(table, "llm", "a") == nullptr);
  }

  // Guards against counting on memory that a restart under the same id has emptied.
  auto testRestartForgetsKeptParts() -> void {
    ReplicaTable table;
    Upsert(table, Make("a", "n1"));
    const auto prompt = MakePrompt(10, 100, 10);
    Assigned(*Find(table, "llm", "a"), this->policy, prompt, 110);
    CPPUNIT_ASSERT_EQUAL(110u, KeptTokens(Find(table, "llm", "a")->kept, Keyed(prompt)));
    auto restarted = Make("a", "n1");
    restarted.started_ms = 5;
    Upsert(table, restarted);
    CPPUNIT_ASSERT_EQUAL(0u, KeptTokens(Find(table, "llm", "a")->kept, Keyed(prompt)));
  }

  // Guards against sending request after request to a replica that fails them, and against leaving
  // callers without any replica when all have failed.
  auto testSetAside() -> void {
    ReplicaTable table;
    Upsert(table, Make("a", "n1"));
    Upsert(table, Make("b", "n1"));
    auto& replica = *Find(table, "llm", "a");
    for (std::uint32_t i = 0; i < this->policy.failures_to_set_aside; ++i) {
      Failed(replica, this->policy, Fault::bad_answer, this->now);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->ChooseFor(table, nullptr).id);
    const auto first = replica.aside_until - this->now;
    Failed(replica, this->policy, Fault::bad_answer, this->now);
    CPPUNIT_ASSERT(replica.aside_until - this->now == 2 * first);
    for (int i = 0; i < 40; ++i) {
      Failed(replica, this->policy, Fault::bad_answer, this->now);
    }
    CPPUNIT_ASSERT(replica.aside_until - this->now == this->policy.max_aside);
    Delist(table, "b", core::Time{});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->ChooseFor(table, nullptr).id);
    Succeeded(replica);
    CPPUNIT_ASSERT(replica.aside_until == core::Time{});
  }

  // Guards against requests that are spent on replicas that are down because the others are busy.
  auto testFullReplicasAreNoReasonForFailedOnes() -> void {
    ReplicaTable table;
    Upsert(table, Make("a", "n1", 1));
    Upsert(table, Make("b", "n1", 1));
    Failed(*Find(table, "llm", "a"), this->policy, Fault::unreachable, this->now);
    Assigned(*Find(table, "llm", "b"), this->policy, {}, 0);
    CPPUNIT_ASSERT(this->ChooseFor(table, nullptr).status == ChoiceStatus::full);
  }

  auto testTriedReplicasAreLeftOut() -> void {
    const auto table = MakeTable();
    const std::set<std::string> tried = {"a", "b", "c", "d"};
    CPPUNIT_ASSERT_EQUAL(std::string("e"), this->ChooseFor(table, nullptr, &tried).id);
    const std::set<std::string> all = {"a", "b", "c", "d", "e"};
    CPPUNIT_ASSERT(this->ChooseFor(table, nullptr, &all).status == ChoiceStatus::none);
  }

  // Guards against a replica that is listed under two services after its id moved.
  auto testOtherServicesAddress() -> void {
    ReplicaTable table;
    Upsert(table, Make("a", "n1"));
    auto moved = Make("a", "n1");
    moved.service = "app";
    Upsert(table, moved);
    CPPUNIT_ASSERT(this->ChooseFor(table, nullptr).status == ChoiceStatus::none);
    const Need need{"app", nullptr, nullptr};
    CPPUNIT_ASSERT(Choose(table, this->policy, this->origin, need, this->now).id == "a");
  }

  // Guards against a load that wraps around 32 bits, so that a replica that calls itself full looks
  // empty.
  auto testHugeReportIsNoRoom() -> void {
    constexpr auto max = std::numeric_limits<std::uint32_t>::max();
    for (const auto& report :
         std::vector<LoadReport>{{max, 0, 8}, {max, 1, 8}, {1, max, 8}, {max, max, 8}}) {
      ReplicaTable table;
      Upsert(table, Make("a", "n1"));
      auto& replica = *Find(table, "llm", "a");
      for (int requests = 0; requests < 3; ++requests) {
        Reported(replica, report, this->now);
        CPPUNIT_ASSERT(this->ChooseFor(table, nullptr).status == ChoiceStatus::full);
        Assigned(replica, this->policy, {}, 0);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicasTest);

}  // namespace
}  // namespace filbertstair::direct
