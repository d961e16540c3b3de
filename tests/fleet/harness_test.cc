#include "tests/fleet/harness.h"

#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <thread>

#include "tests/fleet/checker.h"

namespace filbertstair::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kPrompt = R"({"model":"m","prompt":"p","max_tokens":9999,"stream":true})";

// Guards against a harness or a stand-in that hides a fault of the fleet: a lost or foreign answer,
// a cut that does not cut, an unrecorded start.
class HarnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HarnessTest);
  CPPUNIT_TEST(testEngineAnswers);
  CPPUNIT_TEST(testEngineCancels);
  CPPUNIT_TEST(testEngineOrders);
  CPPUNIT_TEST(testAppDropsAfterRunning);
  CPPUNIT_TEST(testPlatformWatch);
  CPPUNIT_TEST(testPlatformDownAndStale);
  CPPUNIT_TEST(testVmLag);
  CPPUNIT_TEST(testRelayLinks);
  CPPUNIT_TEST(testRelayTellsSourcesApart);
  CPPUNIT_TEST(testProcessSignals);
  CPPUNIT_TEST(testProcessInheritsNoDescriptors);
  CPPUNIT_TEST_SUITE_END();

  Fleet fleet;

  auto Replica(const std::string& id, ReplicaKind kind, std::vector<std::string> arguments)
      -> Node& {
    NodeSpec spec;
    spec.role = core::Role::endpoint;
    spec.id = id;
    spec.pool = "p";
    spec.replica = kind;
    spec.replica_arguments = std::move(arguments);
    return AddNode(this->fleet, spec);
  }

  static auto Completion(const Node& node, const std::string& id, int tokens) -> Call {
    Call call;
    call.address = node.replica_address;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers["X-Test-Tokens"] = std::to_string(tokens);
    call.body = kPrompt;
    call.id = id;
    call.workspace = "w";
    return call;
  }

  static auto Get(const std::string& address, const std::string& target) -> Reply {
    Call call;
    call.address = address;
    call.target = target;
    return fleet::Send(call);
  }

  auto CountKind(EventKind kind, const std::string& id) -> int {
    const auto events = ReadEvents(this->fleet);
    return static_cast<int>(std::count_if(events.begin(), events.end(), [&](const Event& event) {
      return event.kind == kind && event.id == id;
    }));
  }

 public:
  auto setUp() -> void override {
    this->fleet.directory = MakeDirectory("harness");
    this->fleet.recorder = std::make_unique<Recorder>(this->fleet.directory / "callers.jsonl");
  }

  auto tearDown() -> void override {
    const auto failed = StopAll(this->fleet, seconds(10));
    std::filesystem::remove_all(this->fleet.directory);
    this->fleet = Fleet{};
    CPPUNIT_ASSERT(failed.empty());
  }

  auto testEngineAnswers() -> void {
    auto& node = this->Replica("r1", ReplicaKind::engine, {"--token-ms", "1", "--batch", "2"});
    std::vector<std::thread> callers;
    callers.reserve(6);
    for (int i = 0; i < 6; ++i) {
      callers.emplace_back([&, i] {
        Invoke(Completion(node, "x" + std::to_string(i), 20), "caller", *this->fleet.recorder);
      });
    }
    for (auto& caller : callers) caller.join();
    const auto events = ReadEvents(this->fleet);
    CPPUNIT_ASSERT_EQUAL(std::string(), FormatViolations(CheckHistory(events, {})));
    for (int i = 0; i < 6; ++i) {
      const auto id = "x" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(1, this->CountKind(EventKind::answer, id));
      CPPUNIT_ASSERT_EQUAL(1, this->CountKind(EventKind::start, id));
      CPPUNIT_ASSERT_EQUAL(1, this->CountKind(EventKind::end, id));
    }
  }

  auto testEngineCancels() -> void {
    auto& node = this->Replica("r1", ReplicaKind::engine, {"--token-ms", "5", "--batch", "1"});
    auto call = Completion(node, "x", 100000);
    call.on_part = [](std::string_view) { return false; };
    const auto outcome = Invoke(call, "caller", *this->fleet.recorder);
    CPPUNIT_ASSERT(outcome.kind == EventKind::disconnect);
    // A part must reach the caller when it arrives, not only with the end of the answer.
    CPPUNIT_ASSERT_EQUAL(std::string("closed by the caller"), outcome.reason);
    CPPUNIT_ASSERT(
        WaitFor(seconds(10), [&] { return this->CountKind(EventKind::cancel, "x") == 1; }));
    // The place in the batch is free again.
    const auto next = Invoke(Completion(node, "y", 2), "caller", *this->fleet.recorder);
    CPPUNIT_ASSERT(next.kind == EventKind::answer);
  }

  auto testEngineOrders() -> void {
    auto& strict = this->Replica("r1", ReplicaKind::engine, {});
    auto& lax = this->Replica("r2", ReplicaKind::engine, {"--ignore-fencing"});
    const auto order = [](const Node& node, const std::string& body) {
      Call call;
      call.address = node.replica_address;
      call.method = "POST";
      call.target = "/orders";
      call.body = body;
      return fleet::Send(call).status;
    };
    for (const auto* node : {&strict, &lax}) {
      CPPUNIT_ASSERT_EQUAL(200, order(*node, R"({"order":"load","model":"m","fencing":[5,2]})"));
    }
    const std::string stale = R"({"order":"unload","model":"m","fencing":[5,1]})";
    CPPUNIT_ASSERT_EQUAL(409, order(strict, stale));
    CPPUNIT_ASSERT_EQUAL(200, order(lax, stale));
  }

  auto testAppDropsAfterRunning() -> void {
    auto& node = this->Replica("r1", ReplicaKind::app, {"--service-ms", "1"});
    Call call;
    call.address = node.replica_address;
    call.method = "POST";
    call.target = "/issue";
    call.id = "x";
    call.headers["X-Test-Drop"] = "1";
    CPPUNIT_ASSERT(Invoke(call, "caller", *this->fleet.recorder).kind == EventKind::disconnect);
    CPPUNIT_ASSERT_EQUAL(1, this->CountKind(EventKind::end, "x"));
    call.id = "y";
    call.headers.clear();
    CPPUNIT_ASSERT(Invoke(call, "caller", *this->fleet.recorder).complete);
  }

  auto testPlatformWatch() -> void {
    PublishDocument(this->fleet, "a", "version: 1\n");
    StartPlatform(this->fleet);
    const auto& address = this->fleet.platform_address;
    const auto first = Get(address, "/v1/watch?since=0&wait_ms=0");
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"revision":1,"objects":[{"name":"documents/a.yaml"}]})"),
                         first.body);
    std::string woken;
    std::thread waiter([&] { woken = Get(address, "/v1/watch?since=1&wait_ms=20000").body; });
    CPPUNIT_ASSERT(WaitFor(seconds(10), [&] {
      return ControlPlatform(this->fleet, "/counts").find(R"("watch":2)") != std::string::npos;
    }));
    PublishDocument(this->fleet, "b", "version: 1\n");
    waiter.join();
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"revision":2,"objects":[{"name":"documents/b.yaml"}]})"),
                         woken);
    const auto object = Get(address, "/v1/objects/documents/b.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string("version: 1\n"), object.body);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), object.Header("x-revision"));
    CPPUNIT_ASSERT_EQUAL(404, Get(address, "/v1/objects/documents/c.yaml").status);
  }

  auto testPlatformDownAndStale() -> void {
    PublishDocument(this->fleet, "a", "version: 1\n");
    StartPlatform(this->fleet);
    const auto& address = this->fleet.platform_address;
    ControlPlatform(this->fleet, "/down?on=1");
    CPPUNIT_ASSERT_EQUAL(0, Get(address, "/v1/objects/documents/a.yaml").status);
    ControlPlatform(this->fleet, "/down?on=0");
    ControlPlatform(this->fleet, "/stale?on=1");
    PublishDocument(this->fleet, "a", "version: 2\n");
    const std::string name = "/v1/objects/documents/a.yaml";
    CPPUNIT_ASSERT_EQUAL(std::string("version: 1\n"), Get(address, name).body);
    ControlPlatform(this->fleet, "/stale?on=0");
    CPPUNIT_ASSERT_EQUAL(std::string("version: 2\n"), Get(address, name).body);
  }

  auto testVmLag() -> void {
    // Long enough that the list cannot change between publishing and reading.
    StartPlatform(this->fleet, {"--vm-lag-ms", "60000"});
    PublishVms(this->fleet);
    PublishDocument(this->fleet, "a", "version: 1\n");
    const auto& address = this->fleet.platform_address;
    CPPUNIT_ASSERT_EQUAL(404, Get(address, "/v1/objects/vms.json").status);
    CPPUNIT_ASSERT_EQUAL(200, Get(address, "/v1/objects/documents/a.yaml").status);
  }

  auto testRelayLinks() -> void {
    auto& node = this->Replica("r1", ReplicaKind::engine, {"--token-ms", "1"});
    const auto listen = FreeAddress();
    Relay relay(listen, node.replica_address);
    auto call = Completion(node, "x", 10);
    call.address = listen;
    CPPUNIT_ASSERT(Invoke(call, "caller", *this->fleet.recorder).complete);
    CPPUNIT_ASSERT(relay.Bytes() > 0);

    // A silent link holds a request back and delivers it once it is open.
    relay.SetLink("", {.mode = LinkMode::silent, .delay = {}});
    call.id = "y";
    std::atomic<bool> answered = false;
    std::thread caller([&] { answered = Invoke(call, "caller", *this->fleet.recorder).complete; });
    CPPUNIT_ASSERT(
        WaitFor(seconds(10), [&] { return this->CountKind(EventKind::invoke, "y") == 1; }));
    std::this_thread::sleep_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0, this->CountKind(EventKind::start, "y"));
    relay.SetLink("", {.mode = LinkMode::open, .delay = milliseconds(5)});
    caller.join();
    CPPUNIT_ASSERT(answered);

    // A reset cuts an answer that is under way and refuses new connections.
    auto cut = Completion(node, "z", 100000);
    cut.address = listen;
    cut.on_part = [&](std::string_view) {
      relay.SetLink("", {.mode = LinkMode::reset, .delay = {}});
      return true;
    };
    CPPUNIT_ASSERT(Invoke(cut, "caller", *this->fleet.recorder).kind == EventKind::disconnect);
    CPPUNIT_ASSERT_EQUAL(0, Get(listen, "/readyz").status);
    relay.SetLink("", {});
    CPPUNIT_ASSERT_EQUAL(200, Get(listen, "/readyz").status);
  }

  auto testRelayTellsSourcesApart() -> void {
    auto& node = this->Replica("r1", ReplicaKind::engine, {});
    const auto listen = FreeAddress();
    const auto self = getpid();
    Relay relay(listen, node.replica_address, [self](std::uint16_t port) -> std::string {
      return FindSocketOwner(port, {self}) == self ? "self" : "other";
    });
    relay.SetLink("other", {.mode = LinkMode::reset, .delay = {}});
    CPPUNIT_ASSERT_EQUAL(200, Get(listen, "/readyz").status);
    relay.SetLink("self", {.mode = LinkMode::reset, .delay = {}});
    CPPUNIT_ASSERT_EQUAL(0, Get(listen, "/readyz").status);
  }

  auto testProcessSignals() -> void {
    auto& node = this->Replica("r1", ReplicaKind::app, {});
    auto& process = *node.replica;
    process.Signal(SIGSTOP);
    Call call;
    call.address = node.replica_address;
    call.target = "/readyz";
    call.timeout = milliseconds(200);
    CPPUNIT_ASSERT_EQUAL(0, fleet::Send(call).status);
    process.Signal(SIGCONT);
    CPPUNIT_ASSERT(WaitReady(node.replica_address, seconds(10)));
    process.Signal(SIGKILL);
    CPPUNIT_ASSERT(process.Wait(seconds(10)) == 128 + SIGKILL);
    StartReplica(this->fleet, node);
    CPPUNIT_ASSERT(node.replica->Running());
  }

  // A child with a copy of a socket keeps a connection open that the test has closed.
  auto testProcessInheritsNoDescriptors() -> void {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
    Process process("/bin/sleep", {"60"}, (this->fleet.directory / "sleep.log").string());
    close(ends[1]);
    char byte = 0;
    pollfd poll_end{ends[0], POLLIN, 0};
    const int polled = poll(&poll_end, 1, 5000);
    const auto count = polled == 1 ? read(ends[0], &byte, 1) : -1;
    close(ends[0]);
    CPPUNIT_ASSERT_EQUAL(ssize_t{0}, count);
    CPPUNIT_ASSERT(process.Running());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HarnessTest);

}  // namespace
}  // namespace filbertstair::fleet
