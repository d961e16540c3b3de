#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/json.hpp>

#include "fixture.h"
#include "libs/relay/src/state.h"

namespace filbertstair::relay {
namespace {

constexpr int kEvents = 6;

auto Event(int id) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n";
}

auto AllEvents() -> std::string {
  std::string out;
  for (int id = 1; id <= kEvents; ++id) out += Event(id);
  return out;
}

// Streams the events after the one that the request names; aborts in the middle of event `cut`, if
// there is one.
auto Stream(const net::HttpRequest& request, net::Responder& responder, int cut) -> void {
  const auto after = net::FindHeader(request.headers, "After");
  auto headers = AnswerHeaders(request);
  headers.emplace_back("Started-After", after);
  responder.Begin(200, headers);
  for (int id = after.empty() ? 1 : std::stoi(std::string(after)) + 1; id <= kEvents; ++id) {
    if (id == cut) {
      responder.Write(Event(id).substr(0, 8));
      runtime::SleepFor(milliseconds(20));
      responder.Abort();
      return;
    }
    responder.Write(Event(id));
    runtime::SleepFor(milliseconds(2));
  }
  responder.End();
}

auto StreamCutAt(int cut) -> FakeReplica::Serve {
  return [cut](const net::HttpRequest& request, net::Responder& responder) {
    Stream(request, responder, cut);
  };
}

// Streams all events with a pause after one of them, or before the first one after event 0.
auto PauseAfter(int event, milliseconds pause) -> FakeReplica::Serve {
  return [event, pause](const net::HttpRequest& request, net::Responder& responder) {
    responder.Begin(200, AnswerHeaders(request));
    for (int id = 0; id <= kEvents; ++id) {
      if (id > 0) responder.Write(Event(id));
      runtime::SleepFor(id == event ? pause : milliseconds(2));
    }
    responder.End();
  };
}

class StreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamTest);
  CPPUNIT_TEST(testWholeStream);
  CPPUNIT_TEST(testSlowStreamStaysAtItsReplica);
  CPPUNIT_TEST(testLoadedEntrySendsEventsInBatches);
  CPPUNIT_TEST(testResumedAfterTheLastWholeEvent);
  CPPUNIT_TEST(testCutStreamDoesNotLookComplete);
  CPPUNIT_TEST(testHeldAnswerIsNotAddedToAStream);
  CPPUNIT_TEST(testResumedWhereTheCallerResumes);
  CPPUNIT_TEST(testCallerThatLeavesFreesTheReplica);
  CPPUNIT_TEST(testRequestOfACallerThatLeftIsNotSent);
  CPPUNIT_TEST(testCutAttemptsAreCountedByCause);
  CPPUNIT_TEST(testPauseWithoutAnotherReplicaDoesNotCutTheStream);
  CPPUNIT_TEST(testPauseWithoutARetryBudgetDoesNotCutTheStream);
  CPPUNIT_TEST(testLateFirstPartWithoutAnotherReplicaIsAwaited);
  CPPUNIT_TEST(testLateFirstPartWithoutARetryBudgetIsAwaited);
  CPPUNIT_TEST(testSilentReplicaIsLeftForAnotherOne);
  CPPUNIT_TEST(testPauseAtAnEntryThatStopsDoesNotCutTheStream);
  CPPUNIT_TEST(testSuspendedEntryStaysAtTheReplica);
  CPPUNIT_TEST(testHungReplicaIsEjectedWithoutARetryBudget);
  CPPUNIT_TEST(testSlowCallerStaysAtTheReplica);
  CPPUNIT_TEST(testEventWithoutAnEndIsLeftForAnotherReplica);
  CPPUNIT_TEST(testCallerThatResetsFreesTheSlot);
  CPPUNIT_TEST(testPauseWhileTheBodyIsSentIsAwaited);
  CPPUNIT_TEST(testReplicaThatDoesNotReadIsLeftForAnotherOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testWholeStream() -> void {
    FakeReplica replica("a", StreamCutAt(0));
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    const auto answer = entry.Call(Get("/stream-once/x"));
    CPPUNIT_ASSERT(answer.whole);
    CPPUNIT_ASSERT_EQUAL(AllEvents(), answer.body);
  }

  // Guards against a sound stream that is cut, or run again at another replica, because its replica
  // is slow or silent for a while.
  auto testSlowStreamStaysAtItsReplica() -> void {
    const auto serve = [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Begin(200, AnswerHeaders(request));
      for (int id = 1; id <= kEvents; ++id) {
        responder.Write(Event(id));
        runtime::SleepFor(id == 3 ? milliseconds(1000) : milliseconds(250));
      }
      responder.End();
    };
    FakeReplica first("a", serve);
    FakeReplica second("b", serve);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    for (const auto* path : {"/stream/x", "/stream-once/x"}) {
      const auto answer = entry.Call(Get(path));
      CPPUNIT_ASSERT(answer.whole);
      CPPUNIT_ASSERT_EQUAL(AllEvents(), answer.body);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.Requests().size() + second.Requests().size());
  }

  // Guards against an entry that uses up its processor time with a wake-up, a read and a write for
  // each event of its streams: a flood of one workspace at a weak entry then gets no further than
  // that.
  auto testLoadedEntrySendsEventsInBatches() -> void {
    constexpr int events = 60;
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Begin(200, AnswerHeaders(request));
      for (int id = 1; id <= events; ++id) {
        responder.Write(Event(id));
        runtime::SleepFor(milliseconds(10));
      }
      responder.End();
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    // Delays timers by 20 ms, more than an entry that keeps up and less than one that stalls.
    entry.node.pool.Post(0, [] {
      for (int i = 0; i < 60; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
        runtime::SleepFor(milliseconds(1));
      }
    });
    std::this_thread::sleep_for(milliseconds(300));
    const auto answer = entry.Call(Get("/stream/x"));
    CPPUNIT_ASSERT(answer.whole);
    std::string expected;
    for (int id = 1; id <= events; ++id) expected += Event(id);
    CPPUNIT_ASSERT_EQUAL(expected, answer.body);
    // Without batches there is a part for each turn of the worker, 25 to 30 of them.
    CPPUNIT_ASSERT(answer.parts <= 15);
  }

  // Guards against events that are missing, duplicated or mixed from two runs, for every event at
  // which a replica may stop.
  auto testResumedAfterTheLastWholeEvent() -> void {
    for (int cut = 1; cut <= kEvents; ++cut) {
      FakeReplica first("a", StreamCutAt(cut));
      FakeReplica second("b", StreamCutAt(0));
      TestEntry entry;
      entry.Configure(MakeFleetConfig());
      entry.List(first);
      entry.List(second);
      const auto answer = entry.Call(Get("/stream/x"));
      CPPUNIT_ASSERT(answer.whole);
      CPPUNIT_ASSERT_EQUAL(AllEvents(), answer.body);
      CPPUNIT_ASSERT(net::FindHeader(answer.headers, "Started-After").empty());
      const auto after = cut == 1 ? "" : std::to_string(cut - 1);
      CPPUNIT_ASSERT_EQUAL(after,
                           std::string(net::FindHeader(second.Requests().at(0).headers, "After")));
    }
  }

  auto testCutStreamDoesNotLookComplete() -> void {
    FakeReplica first("a", StreamCutAt(4));
    FakeReplica second("b", StreamCutAt(0));
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    const auto answer = entry.Call(Get("/stream-once/x"));
    CPPUNIT_ASSERT(!answer.whole);
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3), answer.body);
  }

  // Guards against a failed response of the first replica that is sent after the second replica's
  // stream was truncated, which callers could not parse.
  auto testHeldAnswerIsNotAddedToAStream() -> void {
    FakeReplica first("a", [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Respond(500, AnswerHeaders(request), "broken");
    });
    FakeReplica second("b", StreamCutAt(4));
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto answer = entry.Call(Get("/stream/x"));
    CPPUNIT_ASSERT(!answer.whole);
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3), answer.body);
    CPPUNIT_ASSERT(answer.failure.empty());
  }

  // Guards against restarting a stream from its beginning when the caller resumes it.
  auto testResumedWhereTheCallerResumes() -> void {
    FakeReplica replica("a", StreamCutAt(0));
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    auto request = Get("/stream/x");
    request.headers.emplace_back("After", "4");
    CPPUNIT_ASSERT_EQUAL(Event(5) + Event(6), entry.Call(request).body);
  }

  // Guards against a replica that continues to work for a caller that has disconnected.
  auto testCallerThatLeavesFreesTheReplica() -> void {
    std::promise<void> left;
    FakeReplica replica("a", [&](const net::HttpRequest& request, net::Responder& responder) {
      responder.OnCallerDisconnect([&] { left.set_value(); });
      responder.Begin(200, AnswerHeaders(request));
      responder.Write(Event(1));
      runtime::SleepFor(seconds(3));
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    std::promise<void> gone;
    entry.callers.Post(0, [&] {
      net::HttpExchange exchange;
      exchange.Connect(settings::FormatAddress(entry.node.settings.callers), kTimeout);
      auto request = Get("/stream-once/x");
      request.headers.emplace_back("Host", "a.example");
      exchange.Send(request, kTimeout);
      exchange.ReadHead(kTimeout);
      exchange.Cancel();
      gone.set_value();
    });
    gone.get_future().get();
    CPPUNIT_ASSERT(left.get_future().wait_for(seconds(2)) == std::future_status::ready);
  }

  // Guards against a lagging entry that forwards requests whose callers have disconnected.
  auto testRequestOfACallerThatLeftIsNotSent() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Respond(200, AnswerHeaders(request), "");
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    std::promise<void> stopped;
    std::promise<void> gone;
    auto left = gone.get_future();
    entry.node.pool.Post(0, [&] {
      stopped.set_value();
      left.wait();
    });
    stopped.get_future().get();
    entry.callers.Post(0, [&] {
      net::HttpExchange exchange;
      exchange.Connect(settings::FormatAddress(entry.node.settings.callers), kTimeout);
      auto request = Get("/once/x", "left");
      request.headers.emplace_back("Host", "a.example");
      exchange.Send(request, kTimeout);
      exchange.Cancel();
      gone.set_value();
    });
    left.wait();
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x", "stays")).status);
    std::this_thread::sleep_for(milliseconds(100));
    for (const auto& request : replica.Requests()) {
      CPPUNIT_ASSERT(net::FindHeader(request.headers, "Id") == "stays");
    }
  }

  // Guards against metrics that do not tell a replica that broke off from one that was given up
  // because it was silent and from one that had no time left.
  auto testCutAttemptsAreCountedByCause() -> void {
    const auto count = [](const FakeReplica::Serve& serve, const std::string& cause) {
      FakeReplica first("a", serve);
      FakeReplica second("b", StreamCutAt(0));
      TestEntry entry;
      auto fleet = MakeFleetConfig();
      for (auto& route : fleet.routes) route.timeout = seconds(cause == "deadline" ? 1 : 4);
      entry.Configure(std::move(fleet));
      entry.List(first);
      if (cause != "deadline") entry.List(second);
      entry.Call(Get("/stream/x"));
      const auto line = "filbertstair_attempts_cut_total{cause=\"" + cause + "\"} 1\n";
      CPPUNIT_ASSERT(entry.node.metrics.Render().find(line) != std::string::npos);
    };
    count(StreamCutAt(3), "replica");
    const auto pause = PauseAfter(3, milliseconds(2500));
    count(pause, "silence");
    count(pause, "deadline");
  }

  // Guards against cutting a stream whose replica only pauses although no other replica can take it
  // over: the caller would have had the rest from the same replica.
  auto testPauseWithoutAnotherReplicaDoesNotCutTheStream() -> void {
    FakeReplica replica("a", PauseAfter(3, milliseconds(2000)));
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    AssertServedOnce(entry, {&replica}, "/stream/x");
    // A replica that is ejected is no better.
    FakeReplica ejected("b", StreamCutAt(0));
    entry.List(ejected);
    entry.relay->dispatch.With([](DispatchTable& table) {
      direct::FindReplica(table.replicas, "s", "b")->ejected_until = node::Now() + seconds(60);
    });
    AssertServedOnce(entry, {&replica}, "/stream/x");
  }

  // Guards against the same while other replicas are there but the retry budget is used up.
  auto testPauseWithoutARetryBudgetDoesNotCutTheStream() -> void {
    FakeReplica first("a", PauseAfter(3, milliseconds(2000)));
    FakeReplica second("b", PauseAfter(3, milliseconds(2000)));
    TestEntry entry(MakeSettings("entry-1"), PoliciesWithoutRetries());
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    AssertServedOnce(entry, {&first, &second}, "/stream/x");
  }

  // Guards against refusing a request whose replica is slow to begin its response although no other
  // one can run it: the first part comes late, with or without the head before it.
  auto testLateFirstPartWithoutAnotherReplicaIsAwaited() -> void {
    for (const auto& [target, serve] : LateFirstParts()) {
      FakeReplica replica("a", serve);
      TestEntry entry;
      entry.Configure(MakeUrgentFleetConfig());
      entry.List(replica);
      AssertServedOnce(entry, {&replica}, target);
    }
  }

  // Guards against the same while other replicas are there but the retry budget is used up.
  auto testLateFirstPartWithoutARetryBudgetIsAwaited() -> void {
    for (const auto& [target, serve] : LateFirstParts()) {
      FakeReplica first("a", serve);
      FakeReplica second("b", serve);
      TestEntry entry(MakeSettings("entry-1"), PoliciesWithoutRetries());
      entry.Configure(MakeUrgentFleetConfig());
      entry.List(first);
      entry.List(second);
      AssertServedOnce(entry, {&first, &second}, target);
    }
  }

  // Guards against a caller that waits for a replica that hangs while another one could go on, and
  // against two replicas at work on one request.
  auto testSilentReplicaIsLeftForAnotherOne() -> void {
    std::promise<void> left;
    FakeReplica first("a", [&](const net::HttpRequest& request, net::Responder& responder) {
      responder.OnCallerDisconnect([&] { left.set_value(); });
      responder.Begin(200, AnswerHeaders(request));
      for (int id = 1; id <= 3; ++id) responder.Write(Event(id));
      runtime::SleepFor(seconds(4));
    });
    std::atomic<bool> left_before_resumed = false;
    auto has_left = left.get_future();
    FakeReplica second("b", [&](const net::HttpRequest& request, net::Responder& responder) {
      left_before_resumed = has_left.wait_for(milliseconds(100)) == std::future_status::ready;
      Stream(request, responder, 0);
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = entry.Call(Get("/stream/x"));
    CPPUNIT_ASSERT(answer.whole);
    CPPUNIT_ASSERT_EQUAL(AllEvents(), answer.body);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::string("3"),
                         std::string(net::FindHeader(second.Requests().at(0).headers, "After")));
    CPPUNIT_ASSERT(left_before_resumed);
    AssertNothingInFlight(entry);
  }

  // Guards against cutting a stream whose replica pauses at an entry that stops and sends nothing
  // to another replica that it could not finish.
  auto testPauseAtAnEntryThatStopsDoesNotCutTheStream() -> void {
    std::atomic<node::Node*> stopping = nullptr;
    const auto serve = [&](const net::HttpRequest& request, net::Responder& responder) {
      stopping.load()->draining = true;
      PauseAfter(3, milliseconds(2000))(request, responder);
    };
    FakeReplica first("a", serve);
    FakeReplica second("b", serve);
    TestEntry entry;
    stopping = &entry.node;
    entry.node.exit_at = node::Now() + milliseconds(3000) + node::kFinalAnswerTime;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    AssertServedOnce(entry, {&first, &second}, "/stream/x");
  }

  // Guards against an entry that was suspended, takes the time for silence of its replicas and runs
  // their streams again elsewhere.
  auto testSuspendedEntryStaysAtTheReplica() -> void {
    const auto serve = PauseAfter(3, milliseconds(300));
    FakeReplica first("a", serve);
    FakeReplica second("b", serve);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    entry.node.pool.Post(0, [] {
      runtime::SleepFor(milliseconds(150));
      std::this_thread::sleep_for(milliseconds(2000));
    });
    AssertServedOnce(entry, {&first, &second}, "/stream/x");
  }

  // Guards against a replica that hangs and goes on receiving requests, of which each waits for its
  // deadline, because no retry is left that would end an attempt there.
  auto testHungReplicaIsEjectedWithoutARetryBudget() -> void {
    FakeReplica hung(
        "a", [](const net::HttpRequest&, net::Responder&) { runtime::SleepFor(seconds(30)); });
    FakeReplica sound("b", StreamCutAt(0));
    TestEntry entry(MakeSettings("entry-1"), PoliciesWithoutRetries());
    auto fleet = MakeUrgentFleetConfig();
    for (auto& route : fleet.routes) route.timeout = milliseconds(1300);
    entry.Configure(std::move(fleet));
    entry.List(hung);
    entry.List(sound);
    for (int i = 0; i < 8; ++i) entry.Call(Get("/stream/x"));
    CPPUNIT_ASSERT(hung.Requests().size() <= 3);
  }

  // Guards against taking the time for which a caller does not read for silence of the replica.
  auto testSlowCallerStaysAtTheReplica() -> void {
    constexpr int events = 600;
    const auto serve = [](const net::HttpRequest& request, net::Responder& responder) {
      const std::string text(32000, 'x');
      responder.Begin(200, AnswerHeaders(request));
      for (int id = 1; id <= events; ++id) {
        responder.Write("id: " + std::to_string(id) + "\ndata: " + text + "\n\n");
      }
      responder.End();
    };
    FakeReplica first("a", serve);
    FakeReplica second("b", serve);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    std::promise<std::size_t> received;
    entry.callers.Post(0, [&] {
      std::size_t size = 0;
      net::HttpExchange exchange;
      exchange.Connect(settings::FormatAddress(entry.node.settings.callers), kTimeout);
      auto request = Get("/stream/x");
      request.headers.emplace_back("Host", "a.example");
      exchange.Send(request, kTimeout);
      exchange.ReadHead(kTimeout);
      runtime::SleepFor(milliseconds(2500));
      try {
        for (auto piece = exchange.ReadBody(kTimeout); !piece.empty();
             piece = exchange.ReadBody(kTimeout)) {
          size += piece.size();
        }
      } catch (const core::Error&) {
        size = 0;
      }
      received.set_value(size);
    });
    CPPUNIT_ASSERT(received.get_future().get() > std::size_t{32000} * events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.Requests().size() + second.Requests().size());
  }

  // Guards against bytes that keep arriving without ever completing an event and hold a caller
  // although another replica could serve it.
  auto testEventWithoutAnEndIsLeftForAnotherReplica() -> void {
    RawReplica first("a", [](int, const std::string& id, const RawReplica::Writer& write) {
      write("HTTP/1.1 200 OK\r\nId: " + id +
            "\r\nReceipt: r\r\nTransfer-Encoding: chunked\r\n\r\n");
      while (write("1\r\nx\r\n")) std::this_thread::sleep_for(milliseconds(20));
    });
    FakeReplica second("b", StreamCutAt(0));
    TestEntry entry;
    entry.Configure(MakeUrgentFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = entry.Call(Get("/stream/x"));
    CPPUNIT_ASSERT(answer.whole);
    CPPUNIT_ASSERT_EQUAL(AllEvents(), answer.body);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(1, first.Requests());
  }

  // Guards against slots of replicas that stay occupied for good after a caller left while events
  // were written to it.
  auto testCallerThatResetsFreesTheSlot() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      const std::string event = "data: " + std::string(32000, 'x') + "\n\n";
      responder.Begin(200, AnswerHeaders(request));
      for (int id = 1; id <= 2000; ++id) responder.Write(event);
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    for (int i = 0; i < 5; ++i) {
      std::promise<void> gone;
      entry.callers.Post(0, [&] {
        net::HttpExchange exchange;
        exchange.Connect(settings::FormatAddress(entry.node.settings.callers), kTimeout);
        auto request = Get("/stream/x");
        request.headers.emplace_back("Host", "a.example");
        exchange.Send(request, kTimeout);
        exchange.ReadHead(kTimeout);
        runtime::SleepFor(milliseconds(200));
        // Unread data makes the system reset the connection.
        exchange.Cancel();
        gone.set_value();
      });
      gone.get_future().get();
    }
    AssertNothingInFlight(entry);
  }

  // Guards against ending a request whose replica pauses before it has read the whole body,
  // although no other replica can or may run it.
  auto testPauseWhileTheBodyIsSentIsAwaited() -> void {
    for (const auto* target : {"/once/x", "/again/x"}) {
      RawReplica replica("a", ReadBodyAfter(milliseconds(2000)));
      TestEntry entry;
      entry.Configure(MakeFleetConfig());
      entry.List(replica);
      CPPUNIT_ASSERT_EQUAL(200, entry.Call(PostLongBody(target)).status);
      CPPUNIT_ASSERT_EQUAL(1, replica.Requests());
    }
  }

  // Guards against a caller that waits for a replica that hangs before it has read the whole body
  // while another one could run the request.
  auto testReplicaThatDoesNotReadIsLeftForAnotherOne() -> void {
    RawReplica first("a", ReadBodyAfter(milliseconds(3500)));
    RawReplica second("b", ReadBodyAfter(milliseconds(0)));
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto begin = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(PostLongBody("/again/x")).status);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(1, second.Requests());
  }

 private:
  // More than the system buffers for a connection whose receiver does not read.
  static constexpr std::size_t kLongBodyBytes = std::size_t{8} << 20;

  static auto PostLongBody(const std::string& target) -> net::HttpRequest {
    auto request = Get(target);
    request.method = "POST";
    request.body.assign(kLongBodyBytes, 'b');
    return request;
  }

  // Reads the body and responds after a pause.
  static auto ReadBodyAfter(milliseconds pause) -> RawReplica::Serve {
    return [pause](int, const std::string& id, const RawReplica::Writer& write) {
      std::this_thread::sleep_for(pause);
      // The fixture has read less than this together with the head.
      constexpr std::size_t max_read = std::size_t{64} << 10;
      std::string body(kLongBodyBytes - max_read, ' ');
      boost::system::error_code error;
      boost::asio::read(write.socket, boost::asio::buffer(body), error);
      if (error) return;
      write("HTTP/1.1 200 OK\r\nId: " + id + "\r\nReceipt: r\r\nContent-Length: 0\r\n\r\n");
    };
  }

  // Policies under which no request is sent a second time.
  static auto PoliciesWithoutRetries() -> Policies {
    Policies policies;
    policies.budget.retry_share = 0;
    policies.budget.fleet_constant = 0;
    return policies;
  }

  // Routes with a latency objective of which the tests can wait for several.
  static auto MakeUrgentFleetConfig() -> direct::FleetConfig {
    auto fleet = MakeFleetConfig();
    for (auto& route : fleet.routes) route.latency_objective = milliseconds(300);
    return fleet;
  }

  // Repeatable requests and replicas that begin the response to them after more than three of these
  // objectives.
  static auto LateFirstParts() -> std::vector<std::pair<std::string, FakeReplica::Serve>> {
    constexpr milliseconds delay{1500};
    const auto late_head = [=](const net::HttpRequest& request, net::Responder& responder) {
      runtime::SleepFor(delay);
      Stream(request, responder, 0);
    };
    return {{"/stream/x", PauseAfter(0, delay)}, {"/stream/x", late_head}, {"/again/x", late_head}};
  }

  // Requires that the entry serves the whole response by a single run at one of the replicas.
  static auto AssertServedOnce(TestEntry& entry, const std::vector<FakeReplica*>& replicas,
                               const std::string& target) -> void {
    const auto count = [&] {
      std::size_t requests = 0;
      for (auto* replica : replicas) requests += replica->Requests().size();
      return requests;
    };
    const auto before = count();
    const auto answer = entry.Call(Get(target));
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(AllEvents(), answer.body);
    CPPUNIT_ASSERT(answer.whole);
    CPPUNIT_ASSERT_EQUAL(before + 1, count());
    AssertNothingInFlight(entry);
  }

  // Requires that all slots at replicas are released soon, which may be after the response.
  static auto AssertNothingInFlight(TestEntry& entry) -> void {
    std::int64_t in_flight = 1;
    for (int i = 0; i < 50 && in_flight > 0; ++i) {
      const auto status = boost::json::parse(entry.Call(Get("/status"), true).body);
      in_flight = 0;
      for (const auto& replica : status.at("replicas").as_array()) {
        in_flight += replica.at("in_flight").to_number<std::int64_t>();
      }
      if (in_flight > 0) std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, in_flight);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

}  // namespace
}  // namespace filbertstair::relay
