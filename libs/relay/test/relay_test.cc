#include "filbertstair/relay/relay.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fixture.h"

namespace filbertstair::relay {
namespace {

auto RespondOk(const net::HttpRequest& request, net::Responder& responder) -> void {
  responder.Respond(200, AnswerHeaders(request), "body of " + request.target);
}

auto AbortResponse(const net::HttpRequest&, net::Responder& responder) -> void {
  responder.Abort();
}

// Dialect that fails unexpectedly once a replica has answered.
auto FailingDialect() -> Dialect {
  auto dialect = TestDialect();
  dialect.make_response_headers = [](const net::HttpResponseHead&) -> net::Headers {
    throw std::bad_alloc();
  };
  return dialect;
}

class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(testWholeAnswerIsUnchanged);
  CPPUNIT_TEST(testRefusalsBeforeAnyReplica);
  CPPUNIT_TEST(testStaleConfigurationRefuses);
  CPPUNIT_TEST(testReplicasThatLapsedAreKeptForAWhile);
  CPPUNIT_TEST(testVersionNeverGoesBack);
  CPPUNIT_TEST(testNoCredentialWorksAfterTheLastIsRevoked);
  CPPUNIT_TEST(testOnceCallRunsOnce);
  CPPUNIT_TEST(testRepeatableCallIsRepeated);
  CPPUNIT_TEST(testStartedEntryRepeatsNothingAtOnce);
  CPPUNIT_TEST(testUnreachedReplicaTakesNoBudget);
  CPPUNIT_TEST(testRefusingReplicaProvesNotRun);
  CPPUNIT_TEST(testUnreachableReplicaProvesNotRun);
  CPPUNIT_TEST(testReplicasOwnFailureIsPassedOn);
  CPPUNIT_TEST(testSuccessWithoutReceipt);
  CPPUNIT_TEST(testAnswerToAnotherRequest);
  CPPUNIT_TEST(testDrain);
  CPPUNIT_TEST(testOverloadedEntryTurnsCallersAway);
  CPPUNIT_TEST(testUnexpectedExceptionIsAnswered);
  CPPUNIT_TEST(testUnexpectedExceptionReturnsCapacity);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testWholeAnswerIsUnchanged() -> void {
    FakeReplica replica("a", RespondOk);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    const auto answer = entry.Call(Get("/once/x?y=1"));
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("body of /once/x?y=1"), answer.body);
    CPPUNIT_ASSERT(net::FindHeader(answer.headers, "Receipt") == "r");
    const auto& request = replica.Requests().at(0);
    CPPUNIT_ASSERT(net::FindHeader(request.headers, "Workspace") == "w");
    CPPUNIT_ASSERT(net::FindHeader(request.headers, "Replica") == "a");
    CPPUNIT_ASSERT(net::FindHeader(request.headers, "Key").empty());
  }

  // Guards against a caller's connection that is closed without an answer after a replica ran the
  // request, because the handler ended by an exception that it does not expect.
  auto testUnexpectedExceptionIsAnswered() -> void {
    FakeReplica replica("a", RespondOk);
    TestEntry entry(FailingDialect());
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    const auto answer = entry.Call(Get("/once/x"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica.Requests().size());
    CPPUNIT_ASSERT_EQUAL(502, answer.status);
    CPPUNIT_ASSERT(answer.whole);
    CPPUNIT_ASSERT(net::FindHeader(answer.headers, "X-Outcome") == "unknown");
    // The entry goes on to serve.
    CPPUNIT_ASSERT_EQUAL(502, entry.Call(Get("/once/x", "2")).status);
  }

  // Guards against capacity of a replica that stays in use after the handling of a request ended
  // unexpectedly, until the replica gets no requests any more.
  auto testUnexpectedExceptionReturnsCapacity() -> void {
    FakeReplica replica("a", RespondOk);
    TestEntry entry(FailingDialect());
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    // More than the replica has room for at once.
    for (int i = 0; i < 40; ++i) {
      CPPUNIT_ASSERT_EQUAL(502, entry.Call(Get("/once/x", std::to_string(i))).status);
    }
  }

  // Guards against statuses that misstate what happened, and against sending requests that are not
  // allowed to a replica.
  auto testRefusalsBeforeAnyReplica() -> void {
    FakeReplica replica("a", RespondOk);
    TestEntry entry;
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/once/x")).status);
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/readyz"), true).status);
    entry.Configure(MakeFleetConfig());
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/readyz"), true).status);
    const auto none = entry.Call(Get("/once/x"));
    CPPUNIT_ASSERT_EQUAL(503, none.status);
    CPPUNIT_ASSERT(!net::FindHeader(none.headers, "Retry-After").empty());
    entry.List(replica);
    CPPUNIT_ASSERT_EQUAL(404, entry.Call(Get("/nowhere/")).status);
    CPPUNIT_ASSERT_EQUAL(401, entry.Call({"GET", "/once/x", {{"Id", "1"}}, "", ""}).status);
    CPPUNIT_ASSERT_EQUAL(
        401, entry.Call({"GET", "/once/x", {{"Id", "1"}, {"Key", "z"}}, "", ""}).status);
    CPPUNIT_ASSERT_EQUAL(400, entry.Call({"GET", "/once/x", {{"Key", "k"}}, "", ""}).status);
    CPPUNIT_ASSERT(replica.Requests().empty());
    CPPUNIT_ASSERT_EQUAL(200, entry.Call({"GET", "/open/x", {{"Id", "1"}}, "", ""}).status);
  }

  // Guards against an entry with an outdated configuration that still accepts a revoked credential.
  auto testStaleConfigurationRefuses() -> void {
    FakeReplica replica("a", RespondOk);
    TestEntry entry;
    AcceptFleet(*entry.relay, MakeFleetConfig());
    entry.List(replica);
    RecordConfirmation(*entry.relay, TimeSinceBoot() - direct::kCredentialLease);
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/once/x")).status);
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/nowhere/")).status);
    // Public routes need no confirmation, and no other entry has a confirmed configuration.
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/open/x")).status);
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/readyz"), true).status);
    RecordConfirmation(*entry.relay, TimeSinceBoot());
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x")).status);
  }

  // Guards against removing live replicas whose listings expired while the platform's list was
  // unavailable; the first answer after the outage no longer lists them.
  auto testReplicasThatLapsedAreKeptForAWhile() -> void {
    FakeReplica replica("a", RespondOk);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    RecordConfirmation(*entry.relay, TimeSinceBoot() - seconds(4));
    RecordPlatformAnswer(*entry.relay, TimeSinceBoot());
    AcceptDelisting(*entry.relay, "a");
    RecordConfirmation(*entry.relay, TimeSinceBoot());
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x")).status);
    std::this_thread::sleep_for(milliseconds(2600));
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/once/x")).status);
    // Without an outage a replica that is no longer listed is removed at once.
    entry.List(replica);
    RecordConfirmation(*entry.relay, TimeSinceBoot());
    RecordPlatformAnswer(*entry.relay, TimeSinceBoot());
    AcceptDelisting(*entry.relay, "a");
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/once/x")).status);
  }

  // Guards against an old configuration that arrives late and replaces a newer one.
  auto testVersionNeverGoesBack() -> void {
    TestEntry entry;
    auto newer = MakeFleetConfig();
    newer.version = 5;
    newer.credentials.clear();
    newer.credentials["other"] = "w";
    CPPUNIT_ASSERT(AcceptFleet(*entry.relay, newer));
    CPPUNIT_ASSERT(!AcceptFleet(*entry.relay, MakeFleetConfig()));
    CPPUNIT_ASSERT(!AcceptFleet(*entry.relay, newer));
    RecordConfirmation(*entry.relay, TimeSinceBoot());
    CPPUNIT_ASSERT_EQUAL(401, entry.Call(Get("/once/x")).status);
  }

  // Guards against running requests of anyone once a configuration has revoked the last credential.
  auto testNoCredentialWorksAfterTheLastIsRevoked() -> void {
    FakeReplica replica("a", RespondOk);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x")).status);
    auto revoked = MakeFleetConfig();
    revoked.version = 2;
    revoked.credentials.clear();
    entry.Configure(revoked);
    for (const std::string credential : {"k", "never held", ""}) {
      auto request = Get("/once/x");
      request.headers = {{"Id", "1"}, {"Key", credential}};
      CPPUNIT_ASSERT_EQUAL(401, entry.Call(request).status);
    }
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/open/x")).status);
  }

  // Guards against running a call twice when its response was lost, and against a status that
  // promises that it did not run.
  auto testOnceCallRunsOnce() -> void {
    FakeReplica first("a", AbortResponse);
    FakeReplica second("b", AbortResponse);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto answer = entry.Call(Get("/once/x"));
    CPPUNIT_ASSERT_EQUAL(502, answer.status);
    CPPUNIT_ASSERT(net::FindHeader(answer.headers, "X-Outcome") == "unknown");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.Requests().size() + second.Requests().size());
  }

  auto testRepeatableCallIsRepeated() -> void {
    FakeReplica first("a", AbortResponse);
    FakeReplica second("b", RespondOk);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/again/x")).status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.Requests().size());
  }

  // Guards against a process that repeats requests from its start as if no process before it had,
  // and against refused repeats that no metric shows.
  auto testStartedEntryRepeatsNothingAtOnce() -> void {
    FakeReplica first("a", AbortResponse);
    FakeReplica second("b", AbortResponse);
    TestEntry entry(MakeSettings("entry-1"), Policies{});
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    CPPUNIT_ASSERT_EQUAL(502, entry.Call(Get("/again/x")).status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.Requests().size() + second.Requests().size());
    const auto metrics = entry.Call(Get("/metrics"), true).body;
    CPPUNIT_ASSERT(metrics.find("filbertstair_retry_budget_refusals_total{service=\"s\"} 1") !=
                   std::string::npos);
    CPPUNIT_ASSERT(metrics.find("filbertstair_retry_budget_used_ratio{service=\"s\"} 0") !=
                   std::string::npos);
  }

  // Guards against refused connections that use up the budget: the next replica gets the request
  // for the first time.
  auto testUnreachedReplicaTakesNoBudget() -> void {
    FakeReplica replica("a", RespondOk);
    TestEntry entry(MakeSettings("entry-1"), Policies{});
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    for (const auto* id : {"b", "c"}) {
      direct::Listing gone;
      gone.id = id;
      gone.service = "s";
      gone.address = "127.0.0.1:" + std::to_string(FreePorts(1)[0]);
      gone.failure_domain = "n1";
      gone.slots = 8;
      AcceptListing(*entry.relay, gone);
    }
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x", std::to_string(i))).status);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, replica.Requests().size());
  }

  // Guards against failing a call that a replica refused while another can run it, and against more
  // attempts than the route allows.
  auto testRefusingReplicaProvesNotRun() -> void {
    const auto refuse = [](const net::HttpRequest& request, net::Responder& responder) {
      auto headers = AnswerHeaders(request);
      headers.emplace_back("Not-Run", "1");
      responder.Respond(503, headers, "");
    };
    FakeReplica first("a", refuse);
    FakeReplica second("b", refuse);
    FakeReplica third("c", RespondOk);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto once = entry.Call(Get("/once/x"));
    CPPUNIT_ASSERT_EQUAL(503, once.status);
    CPPUNIT_ASSERT(net::FindHeader(once.headers, "X-Outcome") == "not_run");
    CPPUNIT_ASSERT(net::FindHeader(once.headers, "Receipt").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.Requests().size() + second.Requests().size());
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/again/x")).status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.Requests().size() + second.Requests().size());
  }

  auto testUnreachableReplicaProvesNotRun() -> void {
    FakeReplica live("b", RespondOk);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    direct::Listing dead;
    dead.id = "a";
    dead.service = "s";
    dead.address = "127.0.0.1:" + std::to_string(FreePorts(1)[0]);
    dead.failure_domain = "n1";
    dead.slots = 8;
    AcceptListing(*entry.relay, dead);
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/once/x")).status);
    entry.List(live);
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x", "2")).status);
  }

  // Guards against replacing a replica's own error response by one of the entry's.
  auto testReplicasOwnFailureIsPassedOn() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Respond(500, AnswerHeaders(request), "broken");
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    for (const auto& target : {"/once/x", "/again/x"}) {
      const auto answer = entry.Call(Get(target));
      CPPUNIT_ASSERT_EQUAL(500, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string("broken"), answer.body);
      CPPUNIT_ASSERT(net::FindHeader(answer.headers, "Receipt") == "r");
    }
  }

  // Guards against forwarding a success without a replica's receipt.
  auto testSuccessWithoutReceipt() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Respond(200, {{"Id", std::string(net::FindHeader(request.headers, "Id"))}}, "?");
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    CPPUNIT_ASSERT_EQUAL(502, entry.Call(Get("/once/x")).status);
  }

  // Guards against forwarding a response that belongs to another request.
  auto testAnswerToAnotherRequest() -> void {
    FakeReplica replica("a", [](const net::HttpRequest&, net::Responder& responder) {
      responder.Respond(200, {{"Id", "someone else"}, {"Receipt", "r"}}, "not yours");
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    const auto answer = entry.Call(Get("/once/x"));
    CPPUNIT_ASSERT(answer.status >= 500);
    CPPUNIT_ASSERT(answer.body.find("not yours") == std::string::npos);
  }

  // Guards against a planned stop that truncates a request or leaves the entry in rotation.
  auto testDrain() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      runtime::SleepFor(milliseconds(300));
      RespondOk(request, responder);
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    auto answer = std::async(std::launch::async, [&] { return entry.Call(Get("/once/x")); });
    while (replica.Requests().empty()) std::this_thread::sleep_for(milliseconds(5));
    entry.node.pool.Post(0, [&] { Drain(*entry.relay); });
    const auto finished = answer.get();
    CPPUNIT_ASSERT_EQUAL(200, finished.status);
    CPPUNIT_ASSERT(finished.whole);
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/readyz"), true).status);
  }

  // Guards against an entry whose work lags by seconds but that reports to be ready and lets its
  // callers' deadlines expire.
  auto testOverloadedEntryTurnsCallersAway() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Respond(200, AnswerHeaders(request), "");
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    entry.node.pool.Post(0, [] {
      for (int i = 0; i < 10; ++i) {
        std::this_thread::sleep_for(milliseconds(400));
        runtime::SleepFor(milliseconds(1));
      }
    });
    std::this_thread::sleep_for(milliseconds(1500));
    const auto answer = entry.Call(Get("/once/x"));
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.body.find("overloaded") != std::string::npos);
    CPPUNIT_ASSERT(net::FindHeader(answer.headers, "Connection") == "close");
    CPPUNIT_ASSERT_EQUAL(503, entry.Call(Get("/readyz"), true).status);
    // The blocking work continues for at most 2.5 s, and the entry stays out of rotation for 3 s; a
    // busy machine may add to that.
    const auto deadline = std::chrono::steady_clock::now() + seconds(20);
    int status = 0;
    while (status != 200 && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(100));
      RecordConfirmation(*entry.relay, TimeSinceBoot());
      status = entry.Call(Get("/readyz"), true).status;
    }
    CPPUNIT_ASSERT_EQUAL(200, status);
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(Get("/once/x")).status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
}  // namespace filbertstair::relay
