#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "filbertstair/relay/relay.h"
#include "fixture.h"

namespace filbertstair::relay {
namespace {

// Response time of the slow replica.
constexpr milliseconds kSlow{800};
// Longer than any test.
constexpr milliseconds kNever{60000};

auto RespondSlowly(const net::HttpRequest& request, net::Responder& responder) -> void {
  runtime::SleepFor(kSlow);
  responder.Respond(200, AnswerHeaders(request), "");
}

auto NeverRespond(const net::HttpRequest&, net::Responder& responder) -> void {
  runtime::SleepFor(kNever);
  responder.Abort();
}

auto Outcome(const CallerResponse& answer) -> std::string {
  return std::string(net::FindHeader(answer.headers, "X-Outcome"));
}

// Begins a planned stop that leaves `left` for requests to be answered.
auto BeginStop(TestEntry& entry, milliseconds left) -> void {
  entry.node.exit_at = node::Now() + left + node::kFinalAnswerTime;
  Drain(*entry.relay);
}

// Runs a request on its own thread.
auto CallAsync(TestEntry& entry, const std::string& target, const std::string& id)
    -> std::future<CallerResponse> {
  return std::async(std::launch::async,
                    [&entry, target, id] { return entry.Call(Get(target, id)); });
}

// Planned stops of an entry: each request gets a final response before the process exits.
class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(testLateRequestIsRefused);
  CPPUNIT_TEST(testRequestThatFinishesIsServed);
  CPPUNIT_TEST(testReplicaGetsTheTimeThatIsLeft);
  CPPUNIT_TEST(testRequestsInFlightAreAnswered);
  CPPUNIT_TEST(testFailedRequestIsNotRepeated);
  CPPUNIT_TEST(testBegunStreamIsCutLast);
  CPPUNIT_TEST(testRequestThatCrossesTheClose);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against forwarding a request that the exit of the process will truncate.
  auto testLateRequestIsRefused() -> void {
    FakeReplica replica("a", RespondSlowly);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    for (const auto* target : {"/once/x", "/again/x"}) {
      CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get(target)).status);
    }
    BeginStop(entry, kSlow);
    for (const auto* target : {"/once/x", "/again/x", "/stream-once/x"}) {
      const auto late = entry.Call(Get(target));
      CPPUNIT_ASSERT_EQUAL(503, late.status);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(late));
      CPPUNIT_ASSERT(late.body.find("draining") != std::string::npos);
      CPPUNIT_ASSERT(net::FindHeader(late.headers, "Retry-After") == "0.1");
      CPPUNIT_ASSERT(net::FindHeader(late.headers, "Connection") == "close");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replica.Requests().size());
  }

  // Guards against refusing callers that the balancer still sends, although there is time to serve
  // them.
  auto testRequestThatFinishesIsServed() -> void {
    FakeReplica replica("a", RespondSlowly);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x")).status);
    BeginStop(entry, 5 * kSlow);
    const auto answer = entry.Call(Get("/once/x"));
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT(net::FindHeader(answer.headers, "Connection") == "close");
  }

  // Guards against a replica that continues to work for an entry that has exited.
  auto testReplicaGetsTheTimeThatIsLeft() -> void {
    FakeReplica replica("a", RespondSlowly);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    const auto remaining = [&] {
      const auto requests = replica.Requests();
      return std::stoi(std::string(net::FindHeader(requests.back().headers, "Remaining")));
    };
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/again/x")).status);
    CPPUNIT_ASSERT(remaining() > 3000);
    BeginStop(entry, milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/again/x")).status);
    CPPUNIT_ASSERT(remaining() > 1000 && remaining() <= 3000);
  }

  // Guards against requests whose connections end without a response, and against a status that
  // misstates what happened.
  auto testRequestsInFlightAreAnswered() -> void {
    constexpr int calls = 6;
    FakeReplica replica("a", NeverRespond);
    TestEntry entry;
    auto configuration = MakeFleetConfig();
    // Long enough for all requests to wait until the stop.
    for (auto& route : configuration.routes) route.latency_objective = seconds(9);
    entry.Configure(configuration);
    direct::Listing listing;
    listing.id = "a";
    listing.service = "s";
    listing.address = replica.address;
    listing.failure_domain = "n1";
    listing.slots = 1;
    AcceptListing(*entry.relay, listing);
    std::vector<std::future<CallerResponse>> answers;
    answers.reserve(calls);
    for (int i = 0; i < calls; ++i) {
      answers.push_back(CallAsync(entry, "/once/x", "call-" + std::to_string(i)));
    }
    std::this_thread::sleep_for(milliseconds(400));
    const auto sent = replica.Requests().size();
    CPPUNIT_ASSERT(sent > 0 && sent < calls);
    BeginStop(entry, milliseconds(0));
    Stop(*entry.relay, node::StopScope::unanswered);
    std::size_t refused = 0;
    for (auto& pending : answers) {
      const auto answer = pending.get();
      CPPUNIT_ASSERT(answer.whole);
      refused += answer.status == 503;
      CPPUNIT_ASSERT(answer.status == 503 || answer.status == 502);
      CPPUNIT_ASSERT_EQUAL(std::string(answer.status == 503 ? "not_run" : "unknown"),
                           Outcome(answer));
    }
    CPPUNIT_ASSERT_EQUAL(calls - sent, refused);
    CPPUNIT_ASSERT_EQUAL(sent, replica.Requests().size());
    // The last request counts until its connection's fiber has run after the response.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         entry.node.in_flight.WaitUntilIdle(node::Now() + kTimeout));
  }

  // Guards against a second attempt for which no time remains.
  auto testFailedRequestIsNotRepeated() -> void {
    FakeReplica first("a", NeverRespond);
    FakeReplica second("b", NeverRespond);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    auto pending = CallAsync(entry, "/again/x", "1");
    std::this_thread::sleep_for(milliseconds(300));
    BeginStop(entry, milliseconds(0));
    Stop(*entry.relay, node::StopScope::unanswered);
    const auto answer = pending.get();
    CPPUNIT_ASSERT_EQUAL(502, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(answer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.Requests().size() + second.Requests().size());
  }

  // Guards against truncating a stream while there is time, and against a truncated stream that
  // looks complete.
  auto testBegunStreamIsCutLast() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Begin(200, AnswerHeaders(request));
      const bool endless = request.target.ends_with("endless");
      for (int i = 0; endless || i < 10; ++i) {
        responder.Write("data: part\n\n");
        runtime::SleepFor(milliseconds(100));
      }
      responder.End();
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    auto ends = CallAsync(entry, "/stream-once/x", "1");
    auto endless = CallAsync(entry, "/stream/endless", "2");
    std::this_thread::sleep_for(milliseconds(300));
    BeginStop(entry, milliseconds(0));
    Stop(*entry.relay, node::StopScope::unanswered);
    const auto whole = ends.get();
    CPPUNIT_ASSERT_EQUAL(200, whole.status);
    CPPUNIT_ASSERT(whole.whole);
    CPPUNIT_ASSERT(endless.wait_for(milliseconds(0)) == std::future_status::timeout);
    Stop(*entry.relay, node::StopScope::all);
    const auto cut = endless.get();
    CPPUNIT_ASSERT_EQUAL(200, cut.status);
    CPPUNIT_ASSERT(!cut.whole);
    CPPUNIT_ASSERT_EQUAL(std::string(), cut.failure);
  }

  // Guards against admitting or losing a request that its caller was still sending when the
  // listener closed.
  auto testRequestThatCrossesTheClose() -> void {
    FakeReplica replica("a", RespondSlowly);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x")).status);
    BeginStop(entry, std::chrono::duration_cast<milliseconds>(node::kDrainNoticeTime) + kSlow);
    // A header must arrive within 3 s.
    std::this_thread::sleep_for(seconds(1));
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), entry.node.settings.callers.port});
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GET /once/x HTTP/1.1\r\nId: 2\r\n")));
    std::this_thread::sleep_for(node::kDrainNoticeTime - milliseconds(700));
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("Key: k\r\nHost: a.example\r\n\r\n")));
    std::string answer;
    boost::system::error_code ended;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n", ended);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), answer.substr(0, 12));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica.Requests().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace filbertstair::relay
