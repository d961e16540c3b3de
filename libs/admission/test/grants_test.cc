#include "filbertstair/admission/grants.h"

#include "property.h"

namespace filbertstair::admission {
namespace {

using core::Reason;

const DemandKey kKey{"chat", "office", "north"};

class GrantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GrantsTest);
  CPPUNIT_TEST(testRedeemedOnce);
  CPPUNIT_TEST(testExpired);
  CPPUNIT_TEST(testClaimOfAnother);
  CPPUNIT_TEST(testReturned);
  CPPUNIT_TEST(testFrozenEntryIsPaused);
  CPPUNIT_TEST(testDropped);
  CPPUNIT_TEST_SUITE_END();

  GrantTable grants;
  Slots slots;
  DemandTable demand;

  // Issues a grant to entry "e1" that expires at 1 s, and returns the matching claim.
  auto IssueClaim() -> GrantClaim {
    const auto grant = IssueGrant(this->grants, this->slots, this->demand, kKey, "e1", At(1));
    return {grant.id, grant.granter, "e1", grant.entry_incarnation, kKey.service, kKey.workspace};
  }

  auto Redeem(const GrantClaim& claim, double now) -> std::optional<Reason> {
    const auto refusal = RedeemGrant(this->grants, this->slots, this->demand, claim, At(now));
    CPPUNIT_ASSERT(!refusal || refusal->status == AttemptStatus::not_run);
    return refusal ? std::optional(refusal->reason) : std::nullopt;
  }

 public:
  auto setUp() -> void override {
    this->grants = {};
    this->grants.incarnation = 7;
    this->slots = {};
    this->demand = {};
    OpenDemandSource(this->demand, "e1", 3, 1, "north");
    const std::vector<DemandItem> items{{kKey.service, kKey.workspace, 5}};
    ReplaceDemand(this->demand, "e1", 3, items);
  }

  // Guards against a grant that admits two requests or holds its slot after use.
  auto testRedeemedOnce() -> void {
    const auto claim = this->IssueClaim();
    CPPUNIT_ASSERT_EQUAL(1U, this->slots.granted);
    CPPUNIT_ASSERT(NextGrantExpiry(this->grants) == At(1));
    CPPUNIT_ASSERT(!this->Redeem(claim, 0.5));
    CPPUNIT_ASSERT_EQUAL(0U, this->slots.granted);
    CPPUNIT_ASSERT(this->Redeem(claim, 0.5) == Reason::grant_expired);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, ListGrantCandidates(this->demand)[0].waiting);
  }

  // Guards against an entry that redeems a grant after it expired and its slot was given to another
  // request.
  auto testExpired() -> void {
    const auto claim = this->IssueClaim();
    CPPUNIT_ASSERT(this->Redeem(claim, 1) == Reason::grant_expired);
    CPPUNIT_ASSERT_EQUAL(0U, this->slots.granted);
    const auto other = this->IssueClaim();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ExpireGrants(this->grants, this->slots, this->demand, At(1)).size());
    CPPUNIT_ASSERT(this->Redeem(other, 0.5) == Reason::grant_expired);
    CPPUNIT_ASSERT_EQUAL(0U, this->slots.granted);
  }

  // Guards against a grant redeemed by another process, or for a workspace that was not chosen.
  auto testClaimOfAnother() -> void {
    const auto claim = this->IssueClaim();
    auto wrong = claim;
    wrong.granter = 6;
    CPPUNIT_ASSERT(this->Redeem(wrong, 0) == Reason::stale_incarnation);
    wrong = claim;
    wrong.entry = "e2";
    CPPUNIT_ASSERT(this->Redeem(wrong, 0) == Reason::internal_error);
    wrong = claim;
    wrong.entry_incarnation = 2;
    CPPUNIT_ASSERT(this->Redeem(wrong, 0) == Reason::stale_incarnation);
    CPPUNIT_ASSERT_EQUAL(1U, this->slots.granted);
    wrong = claim;
    wrong.workspace = "audit";
    CPPUNIT_ASSERT(this->Redeem(wrong, 0) == Reason::internal_error);
    CPPUNIT_ASSERT_EQUAL(0U, this->slots.granted);
  }

  // Guards against a returned grant that holds its slot, or whose request is granted again at once.
  auto testReturned() -> void {
    const auto claim = this->IssueClaim();
    CPPUNIT_ASSERT(ReturnGrant(this->grants, this->slots, this->demand, claim, At(0)));
    CPPUNIT_ASSERT(!ReturnGrant(this->grants, this->slots, this->demand, claim, At(0)));
    CPPUNIT_ASSERT_EQUAL(0U, this->slots.granted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, ListGrantCandidates(this->demand)[0].waiting);
  }

  // Guards against an unresponsive entry that holds a slot for more than one time to live, and
  // against one that receives no grants after it responds again.
  auto testFrozenEntryIsPaused() -> void {
    const auto claim = this->IssueClaim();
    ExpireGrants(this->grants, this->slots, this->demand, At(1));
    CPPUNIT_ASSERT(!HasDemand(this->demand));
    CPPUNIT_ASSERT(!ReturnGrant(this->grants, this->slots, this->demand, claim, At(2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, ListGrantCandidates(this->demand)[0].waiting);
  }

  // Guards against slots held by the grants of a disconnected entry. Also checks the bounds of the
  // time to live.
  auto testDropped() -> void {
    this->IssueClaim();
    this->IssueClaim();
    CPPUNIT_ASSERT(RevokeEntryGrants(this->grants, this->slots, this->demand, "e1", 2).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2}, RevokeEntryGrants(this->grants, this->slots, this->demand, "e1", 3).size());
    CPPUNIT_ASSERT_EQUAL(0U, this->slots.granted);
    CPPUNIT_ASSERT(!NextGrantExpiry(this->grants));
    CPPUNIT_ASSERT(GrantTimeToLive(std::chrono::milliseconds(1)) == std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(GrantTimeToLive(std::chrono::seconds(1)) == std::chrono::seconds(4));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrantsTest);

}  // namespace
}  // namespace filbertstair::admission
