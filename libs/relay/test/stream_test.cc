#include <cppunit/extensions/HelperMacros.h>

#include "fixture.h"

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

}  // namespace
}  // namespace filbertstair::relay
