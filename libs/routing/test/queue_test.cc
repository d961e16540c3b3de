#include "filbertstair/routing/queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::routing {
namespace {

constexpr core::Time kNow{core::Duration(1000)};
constexpr core::Time kLater{core::Duration(2000)};

class QueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueueTest);
  CPPUNIT_TEST(testFirstInFirstOut);
  CPPUNIT_TEST(testBoundCountsAllQueuesOfTheWorkspace);
  CPPUNIT_TEST(testFloodLeavesOtherWorkspacesRoom);
  CPPUNIT_TEST(testExpiredRequestsAreSkipped);
  CPPUNIT_TEST(testOwnedRequestsAreTakenByTheirOwnerOnly);
  CPPUNIT_TEST(testRemoveAfterTake);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reordering within a queue and a wrong total of waiting requests.
  auto testFirstInFirstOut() -> void {
    QueueTable table;
    const auto first = Enqueue(table, {"s", "w", ""}, 10, kLater).id;
    const auto second = Enqueue(table, {"s", "w", ""}, 10, kLater).id;
    CPPUNIT_ASSERT(TakeForGrant(table, "s", "w", "e", kNow) == first);
    CPPUNIT_ASSERT(TakeForGrant(table, "s", "w", "e", kNow) == second);
    CPPUNIT_ASSERT(!TakeForGrant(table, "s", "w", "e", kNow));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.waiting);
  }

  // Guards against a workspace exceeding its limit with calls that carry idempotency keys.
  auto testBoundCountsAllQueuesOfTheWorkspace() -> void {
    QueueTable table;
    Enqueue(table, {"s", "w", "a"}, 2, kLater);
    Enqueue(table, {"s", "w", "b"}, 2, kLater);
    CPPUNIT_ASSERT(Enqueue(table, {"s", "w", ""}, 2, kLater).refusal == core::Reason::queue_full);
  }

  // Guards against one workspace's flood filling the queue for the others.
  auto testFloodLeavesOtherWorkspacesRoom() -> void {
    QueueTable table;
    for (int i = 0; i < 1000; ++i) Enqueue(table, {"s", "flood", ""}, 5, kLater);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, table.waiting);
    CPPUNIT_ASSERT(!Enqueue(table, {"s", "small", ""}, 5, kLater).refusal);
  }

  // Guards against using a grant for a request whose caller has already been refused.
  auto testExpiredRequestsAreSkipped() -> void {
    QueueTable table;
    Enqueue(table, {"s", "w", ""}, 10, kNow);
    const auto unexpired = Enqueue(table, {"s", "w", ""}, 10, kLater).id;
    CPPUNIT_ASSERT(TakeForGrant(table, "s", "w", "e", kNow) == unexpired);
  }

  // Guards against an endpoint serving, or being asked to grant slots for, calls that another one
  // owns.
  auto testOwnedRequestsAreTakenByTheirOwnerOnly() -> void {
    QueueTable table;
    const auto owned = Enqueue(table, {"s", "w", "b"}, 10, kLater).id;
    CPPUNIT_ASSERT(!TakeForGrant(table, "s", "w", "a", kNow));
    CPPUNIT_ASSERT(CountWaitingFor(table, "a", {"s"}).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, CountWaitingFor(table, "b", {"s"}).at(0).count);
    CPPUNIT_ASSERT(CountWaitingFor(table, "b", {"t"}).empty());
    CPPUNIT_ASSERT(TakeForGrant(table, "s", "w", "b", kNow) == owned);
  }

  // Guards against a request both timing out and using a grant.
  auto testRemoveAfterTake() -> void {
    QueueTable table;
    const auto id = Enqueue(table, {"s", "w", ""}, 10, kLater).id;
    CPPUNIT_ASSERT(TakeForGrant(table, "s", "w", "e", kNow) == id);
    CPPUNIT_ASSERT(!RemoveWaiter(table, {"s", "w", ""}, id));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueTest);

}  // namespace
}  // namespace filbertstair::routing
