#include "filbertstair/direct/dispute.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::direct {
namespace {

using std::chrono::seconds;

auto Make(const std::string& service, const std::string& address, std::int64_t started_ms)
    -> Listing {
  return {.id = "a",
          .service = service,
          .address = address,
          .failure_domain = "n1",
          .slots = 16,
          .started_ms = started_ms};
}

const std::string kAddress = "127.0.0.1:1";
const std::string kOtherAddress = "127.0.0.1:2";

class DisputeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DisputeTest);
  CPPUNIT_TEST(testNeitherOfTwoListingsIsUsed);
  CPPUNIT_TEST(testListingThatStandsIsBelieved);
  CPPUNIT_TEST(testOtherClaimStartsAnew);
  CPPUNIT_TEST(testLaterStartIsBelieved);
  CPPUNIT_TEST(testLapseEndsTheDispute);
  CPPUNIT_TEST_SUITE_END();

  const core::Time now{seconds(10000)};
  ReplicaTable table;

 public:
  auto setUp() -> void override { CPPUNIT_ASSERT(this->Apply(Make("s", kAddress, 5), this->now)); }

  // Guards against using another writer's whole entry, whose requests would run at a replica of
  // another service, and against using the known one, which may be that writer's.
  auto testNeitherOfTwoListingsIsUsed() -> void {
    for (const auto& odd : {Make("t", kAddress, 5), Make("s", kOtherAddress, 5),
                            Make("t", kAddress, 4), Make("s", kOtherAddress, 0)}) {
      CPPUNIT_ASSERT(!this->Apply(odd, this->now));
      CPPUNIT_ASSERT(!this->IsUsed("s") && !this->IsUsed("t"));
      // The next check-in of the replica.
      CPPUNIT_ASSERT(this->Apply(Make("s", kAddress, 5), this->now));
      CPPUNIT_ASSERT(this->IsUsed("s") && !this->IsUsed("t"));
      SettleDisputes(this->table, this->now + seconds(60));
      CPPUNIT_ASSERT(this->IsUsed("s") && !this->IsUsed("t"));
    }
  }

  // Guards against a live replica that is never used because the first entry under its id was
  // another writer's.
  auto testListingThatStandsIsBelieved() -> void {
    CPPUNIT_ASSERT(!this->Apply(Make("t", kOtherAddress, 5), this->now));
    CPPUNIT_ASSERT(!this->Apply(Make("t", kOtherAddress, 5), this->now + seconds(3)));
    SettleDisputes(this->table, this->now + std::chrono::milliseconds(3999));
    CPPUNIT_ASSERT(!this->IsUsed("s") && !this->IsUsed("t"));
    SettleDisputes(this->table, this->now + seconds(4));
    CPPUNIT_ASSERT(!this->IsUsed("s") && this->IsUsed("t"));
    CPPUNIT_ASSERT(this->table.disputes.empty());
  }

  auto testOtherClaimStartsAnew() -> void {
    CPPUNIT_ASSERT(!this->Apply(Make("t", kAddress, 5), this->now));
    CPPUNIT_ASSERT(!this->Apply(Make("s", kOtherAddress, 5), this->now + seconds(3)));
    SettleDisputes(this->table, this->now + seconds(5));
    CPPUNIT_ASSERT(!this->IsUsed("s"));
    SettleDisputes(this->table, this->now + seconds(7));
    CPPUNIT_ASSERT_EQUAL(kOtherAddress, FindListedReplica(this->table, "a")->listing.address);
  }

  // Guards against keeping a replica that was started again out of use. The start counts from the
  // latest that was listed: an entry without one in between changes nothing.
  auto testLaterStartIsBelieved() -> void {
    CPPUNIT_ASSERT(this->Apply(Make("s", kAddress, 0), this->now));
    CPPUNIT_ASSERT(!this->Apply(Make("t", kOtherAddress, 5), this->now));
    CPPUNIT_ASSERT(this->Apply(Make("t", kOtherAddress, 6), this->now));
    CPPUNIT_ASSERT(!this->IsUsed("s") && this->IsUsed("t"));
  }

  auto testLapseEndsTheDispute() -> void {
    CPPUNIT_ASSERT(!this->Apply(Make("t", kAddress, 5), this->now));
    DropDispute(this->table, "a");
    SettleDisputes(this->table, this->now + seconds(60));
    CPPUNIT_ASSERT(!this->IsUsed("s") && !this->IsUsed("t"));
    CPPUNIT_ASSERT(this->Apply(Make("t", kAddress, 5), this->now));
    CPPUNIT_ASSERT(this->IsUsed("t"));
  }

 private:
  auto Apply(Listing listing, core::Time time) -> bool {
    return ApplyListing(this->table, {}, std::move(listing), time);
  }

  auto IsUsed(const std::string& service) const -> bool {
    return ChooseReplica(this->table, {}, {"n1", {}}, {.service = service}, this->now).status ==
           ChoiceStatus::chosen;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DisputeTest);

}  // namespace
}  // namespace filbertstair::direct
