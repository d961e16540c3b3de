#include <cppunit/extensions/HelperMacros.h>

#include "libs/relay/test/fixture.h"
#include "tests/fleet/harness.h"

namespace filbertstair::fleet {
namespace {

using relay::RawReplica;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kDocument =
    "name: s\nversion: 1\nhosts: [s.example]\npools:\n  - name: s\n    max_slots: 4\n"
    "workspaces:\n  - id: w\n";
// Time for the processes to start and to link up.
constexpr seconds kStartTime{30};
const std::string kSuccess = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string kLeavingSuccess =
    "HTTP/1.1 200 OK\r\nX-Replica-Leaving: 1\r\nContent-Length: 0\r\n\r\n";

auto Refusal(const std::string& retry_after) -> std::string {
  return "HTTP/1.1 503 Service Unavailable\r\nX-Outcome: not_run\r\nRetry-After: " + retry_after +
         "\r\nContent-Length: 0\r\n\r\n";
}

// A replica whose response can be changed.
struct TestReplica {
  explicit TestReplica(const std::string& id, std::uint16_t port = 0)
      : replica(
            id,
            [this](int, const std::string&, const RawReplica::Writer& write) {
              const std::lock_guard lock(this->mutex);
              write(this->response);
            },
            port) {}

  auto Respond(const std::string& bytes) -> void {
    const std::lock_guard lock(this->mutex);
    this->response = bytes;
  }
  auto Port() const -> std::uint16_t {
    return static_cast<std::uint16_t>(
        std::stoi(this->replica.address.substr(this->replica.address.find(':') + 1)));
  }

  std::mutex mutex;
  std::string response = kSuccess;
  RawReplica replica;
};

// What endpoint processes make of what their replicas say of themselves.
class AvailabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AvailabilityTest);
  CPPUNIT_TEST(testLeavingReplicaGetsNothingUntilItsNextStart);
  CPPUNIT_TEST(testClosedReplicaGetsNothingUntilItReopens);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto setUp() -> void override {
    this->fleet.directory = MakeDirectory("availability");
    NodeSpec entry;
    entry.id = "entry";
    AddNode(this->fleet, entry);
    for (std::size_t i = 0; i < this->replicas.size(); ++i) {
      this->replicas[i] = std::make_unique<TestReplica>("r" + std::to_string(i));
      NodeSpec endpoint;
      endpoint.role = core::Role::endpoint;
      endpoint.id = "endpoint-" + std::to_string(i);
      endpoint.pool = "s";
      AddNode(this->fleet, endpoint).replica_address = this->replicas[i]->replica.address;
    }
    PublishDocument(this->fleet, "s", kDocument);
    PublishVms(this->fleet);
    StartPlatform(this->fleet);
    for (const auto& node : this->fleet.nodes) StartDaemon(this->fleet, *node);
    WaitDaemons(this->fleet, kStartTime);
    CPPUNIT_ASSERT(this->ReachesReplica(0, kStartTime));
    CPPUNIT_ASSERT(this->ReachesReplica(1, kStartTime));
  }

  auto tearDown() -> void override {
    this->fleet.nodes.clear();
    this->fleet.platform.reset();
    for (auto& replica : this->replicas) replica.reset();
  }

  // Guards against new requests at a replica that said in a response that it leaves, and against
  // leaving out its next start.
  auto testLeavingReplicaGetsNothingUntilItsNextStart() -> void {
    this->replicas[0]->Respond(kLeavingSuccess);
    CPPUNIT_ASSERT(this->ReachesReplica(0));
    const int served = this->replicas[0]->replica.Requests();
    for (int i = 0; i < 20; ++i) CPPUNIT_ASSERT_EQUAL(200, this->Call().status);
    CPPUNIT_ASSERT_EQUAL(served, this->replicas[0]->replica.Requests());
    const auto port = this->replicas[0]->Port();
    this->replicas[0].reset();
    std::this_thread::sleep_for(seconds(1));
    this->replicas[0] = std::make_unique<TestReplica>("r0", port);
    CPPUNIT_ASSERT(this->ReachesReplica(0));
  }

  // Guards against offers of a replica that wants no requests for a time, and against calls that
  // fail because it turned them away.
  auto testClosedReplicaGetsNothingUntilItReopens() -> void {
    this->replicas[0]->Respond(Refusal("1.5"));
    CPPUNIT_ASSERT(this->ReachesReplica(0));
    const int served = this->replicas[0]->replica.Requests();
    const auto end = std::chrono::steady_clock::now() + seconds(1);
    while (std::chrono::steady_clock::now() < end) {
      CPPUNIT_ASSERT_EQUAL(200, this->Call().status);
    }
    CPPUNIT_ASSERT_EQUAL(served, this->replicas[0]->replica.Requests());
    this->replicas[0]->Respond(kSuccess);
    CPPUNIT_ASSERT(this->ReachesReplica(0));
  }

 private:
  auto Call() const -> Reply {
    fleet::Call call;
    call.address = this->fleet.nodes.front()->callers;
    call.method = "GET";
    call.target = "/x";
    call.host = "s.example";
    call.workspace = "w";
    call.headers["Id"] = "1";
    call.timeout = seconds(10);
    return Send(call);
  }

  // Sends requests until one reaches the replica. All are answered with 200.
  auto ReachesReplica(std::size_t index, seconds time = seconds(10)) -> bool {
    const int before = this->replicas[index]->replica.Requests();
    return WaitFor(time, [&] {
      return this->Call().status == 200 && this->replicas[index]->replica.Requests() > before;
    });
  }

  Fleet fleet;
  std::array<std::unique_ptr<TestReplica>, 2> replicas;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AvailabilityTest);

}  // namespace
}  // namespace filbertstair::fleet
