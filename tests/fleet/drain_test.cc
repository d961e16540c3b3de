#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <future>
#include <thread>

#include "tests/fleet/harness.h"

namespace filbertstair::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

// Time that the processes have to stop, with a second for a busy machine.
constexpr milliseconds kStop{5000};

const std::string kDocument = R"(name: certificates
version: 1
hosts: [certificates.example]
pools:
  - name: certificates
    max_slots: 1
workspaces:
  - id: inspectors
once:
  - method: POST
    path: /issue
timeouts:
  request: 9s
  queue: 9s
  idle: 9s
)";

auto Outcome(const Reply& reply) -> std::string { return reply.Header("x-outcome"); }

// Planned stops of an entry and of an endpoint process, each with 4 s of grace.
class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(testEntryRefusesWhatCannotFinish);
  CPPUNIT_TEST(testEntryAnswersWhatItTook);
  CPPUNIT_TEST(testEndpointAnswersWhatItTook);
  CPPUNIT_TEST_SUITE_END();

  Fleet fleet;
  Node* entry = nullptr;
  Node* endpoint = nullptr;

  // Starts one call that takes `service` at the replica.
  auto Start(const std::string& id, milliseconds service, const std::string& hint = "")
      -> std::future<Reply> {
    Call call;
    call.address = this->entry->callers;
    call.method = "POST";
    call.target = "/issue";
    call.host = "certificates.example";
    call.headers["X-Workspace"] = "inspectors";
    call.headers["X-Test-Service-Ms"] = std::to_string(service.count());
    if (!hint.empty()) call.headers["X-Cost-Hint-Ms"] = hint;
    call.id = id;
    call.workspace = "inspectors";
    call.service = "certificates";
    call.call_class = core::CallClass::once;
    return std::async(std::launch::async, [call] { return Send(call); });
  }

  auto Runs(const std::string& id) -> int {
    int runs = 0;
    for (const auto& event : ReadEvents(this->fleet)) {
      runs += event.kind == EventKind::start && event.id == id;
    }
    return runs;
  }

 public:
  auto setUp() -> void override {
    this->fleet.directory = MakeDirectory("drain-test");
    this->fleet.recorder = std::make_unique<Recorder>(this->fleet.directory / "callers.jsonl");
    NodeSpec spec;
    spec.id = "entry-1";
    spec.settings = "drain_grace: 4s\n";
    this->entry = &AddNode(this->fleet, spec);
    spec.role = core::Role::endpoint;
    spec.id = "app-1";
    spec.pool = "certificates";
    spec.replica = ReplicaKind::app;
    this->endpoint = &AddNode(this->fleet, spec);
    PublishDocument(this->fleet, "certificates", kDocument);
    PublishVms(this->fleet);
    StartPlatform(this->fleet);
    for (const auto& node : this->fleet.nodes) StartDaemon(this->fleet, *node);
    WaitDaemons(this->fleet, seconds(30));
    CPPUNIT_ASSERT(WaitFor(
        seconds(10), [&] { return this->Start("warm", milliseconds(1)).get().status == 200; }));
  }

  auto tearDown() -> void override {
    const auto failed = StopAll(this->fleet, seconds(10));
    std::filesystem::remove_all(this->fleet.directory);
    this->fleet = Fleet{};
    CPPUNIT_ASSERT(failed.empty());
  }

  // Guards against a call that an entry takes late in a planned stop and cuts at its end, and
  // against turning away one that ends in time.
  auto testEntryRefusesWhatCannotFinish() -> void {
    CPPUNIT_ASSERT_EQUAL(200, this->Start("slow", milliseconds(3000)).get().status);
    this->entry->daemon->Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(1500));
    const auto begin = Clock::now();
    const auto late = this->Start("late", milliseconds(3000), "60000").get();
    CPPUNIT_ASSERT(Clock::now() - begin < milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(503, late.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(late));
    CPPUNIT_ASSERT_EQUAL(std::string("0.1"), late.Header("retry-after"));
    CPPUNIT_ASSERT(late.body.find("draining") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, this->Runs("late"));
    CPPUNIT_ASSERT(this->entry->daemon->Wait(kStop) == 0);
  }

  // Guards against calls in flight that get no answer at the end of an entry's planned stop.
  auto testEntryAnswersWhatItTook() -> void {
    auto running = this->Start("running", seconds(8));
    CPPUNIT_ASSERT(WaitFor(seconds(2), [&] { return this->Runs("running") == 1; }));
    auto waiting = this->Start("waiting", seconds(8));
    std::this_thread::sleep_for(milliseconds(300));
    this->entry->daemon->Signal(SIGTERM);
    const auto unknown = running.get();
    CPPUNIT_ASSERT(unknown.complete);
    CPPUNIT_ASSERT_EQUAL(502, unknown.status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(unknown));
    const auto refused = waiting.get();
    CPPUNIT_ASSERT(refused.complete);
    CPPUNIT_ASSERT_EQUAL(503, refused.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(refused));
    CPPUNIT_ASSERT_EQUAL(0, this->Runs("waiting"));
    CPPUNIT_ASSERT(this->entry->daemon->Wait(kStop) == 0);
  }

  // Guards against a call whose endpoint process ends without a word on it, and against a status
  // that promises that it did not run.
  auto testEndpointAnswersWhatItTook() -> void {
    auto running = this->Start("running", seconds(8));
    CPPUNIT_ASSERT(WaitFor(seconds(2), [&] { return this->Runs("running") == 1; }));
    this->endpoint->daemon->Signal(SIGTERM);
    const auto unknown = running.get();
    CPPUNIT_ASSERT(unknown.complete);
    CPPUNIT_ASSERT_EQUAL(502, unknown.status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(unknown));
    CPPUNIT_ASSERT(unknown.body.find("was stopped") != std::string::npos);
    CPPUNIT_ASSERT(this->endpoint->daemon->Wait(kStop) == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace filbertstair::fleet
