#include <cppunit/extensions/HelperMacros.h>

#include "fixture.h"

namespace filbertstair::relay {
namespace {

// How a replica ends a connection in the middle of a response.
enum class Ending { closed, reset };

constexpr Ending kEndings[] = {Ending::closed, Ending::reset};
const std::vector<std::string> kPlain = {"/once/x", "/again/x"};
const std::vector<std::string> kStreams = {"/stream-once/x", "/stream/x"};
// More than the entry buffers of a plain response.
const std::string kLongBody(400000, 'b');

auto EndConnection(const RawReplica::Writer& write, Ending ending) -> void {
  if (ending == Ending::closed) {
    write.Close();
  } else {
    write.Reset();
  }
}

// Response head without its final blank line.
auto Head(const std::string& id, const std::string& status = "200 OK") -> std::string {
  return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nReceipt: r\r\n";
}

auto WithLength(const std::string& id, const std::string& body) -> std::string {
  return Head(id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto Chunked(const std::string& id) -> std::string {
  return Head(id) + "Transfer-Encoding: chunked\r\n\r\n";
}

auto Chunk(const std::string& data) -> std::string {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

auto Event(int id) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n";
}

// Returns whether only the end of the connection marks the end of the response.
auto EndsWithConnection(const CallerResponse& answer) -> bool {
  return net::FindHeader(answer.headers, "Content-Length").empty() &&
         net::FindHeader(answer.headers, "Transfer-Encoding").empty() &&
         net::FindHeader(answer.headers, "Connection") == "close";
}

auto IsWholeSuccess(const CallerResponse& answer) -> bool {
  return answer.status == 200 && answer.whole;
}

// Calls an entry whose only replica responds with the bytes, which are built from the request id,
// and then ends the connection.
auto CallTruncated(const std::string& target,
                   const std::function<std::string(const std::string&)>& bytes, Ending ending,
                   milliseconds timeout = seconds(4), const std::string& method = "GET")
    -> CallerResponse {
  RawReplica replica("a", [&](int, const std::string& id, const RawReplica::Writer& write) {
    write(bytes(id));
    EndConnection(write, ending);
  });
  TestEntry entry;
  auto configuration = MakeFleetConfig();
  for (auto& route : configuration.routes) route.timeout = timeout;
  entry.Configure(std::move(configuration));
  entry.List(replica);
  auto request = Get(target);
  request.method = method;
  return entry.Call(request);
}

class CutAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutAnswerTest);
  CPPUNIT_TEST(testHeadCutOnANewConnection);
  CPPUNIT_TEST(testHeadCutOnAKeptConnection);
  CPPUNIT_TEST(testPlainAnswerThatEndsWithItsConnection);
  CPPUNIT_TEST(testStreamThatEndsWithItsConnection);
  CPPUNIT_TEST(testPlainAnswerThatIsReset);
  CPPUNIT_TEST(testStreamThatIsReset);
  CPPUNIT_TEST(testStreamThatEndsInsideAnEvent);
  CPPUNIT_TEST(testAnswerThatStopsUntilTheDeadline);
  CPPUNIT_TEST(testFailureThatEndsWithItsConnection);
  CPPUNIT_TEST(testResetAnswerIsRepeated);
  CPPUNIT_TEST(testWeakStreamContinued);
  CPPUNIT_TEST(testContinuationThatEndsWithItsConnection);
  CPPUNIT_TEST(testShortBody);
  CPPUNIT_TEST(testChunksCut);
  CPPUNIT_TEST(testAnswersWithoutABody);
  CPPUNIT_TEST(testInterimAnswers);
  CPPUNIT_TEST(testEndlessInterimAnswers);
  CPPUNIT_TEST(testLineEndsWithoutCarriageReturn);
  CPPUNIT_TEST(testStreamWithoutAnEventIsCut);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting success for a response head that was truncated.
  auto testHeadCutOnANewConnection() -> void { TruncateHeads(false); }

  // Guards against the same on a connection that carried a complete response before.
  auto testHeadCutOnAKeptConnection() -> void { TruncateHeads(true); }

  // Guards against forwarding a response whose end only the connection marks with a length or
  // chunks, which would state that it is complete.
  auto testPlainAnswerThatEndsWithItsConnection() -> void {
    for (const auto& target : kPlain) {
      for (const auto& body : {std::string(), std::string("part"), kLongBody}) {
        const auto answer = CallTruncated(
            target, [&](const std::string& id) { return Head(id) + "\r\n" + body; },
            Ending::closed);
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(body, answer.body);
        CPPUNIT_ASSERT(answer.whole);
        CPPUNIT_ASSERT(EndsWithConnection(answer));
      }
    }
  }

  // Guards against a final chunk after a stream whose end only the connection marks.
  auto testStreamThatEndsWithItsConnection() -> void {
    for (const auto& target : kStreams) {
      const auto answer = CallTruncated(
          target, [](const std::string& id) { return Head(id) + "\r\n" + Event(1) + Event(2); },
          Ending::closed);
      CPPUNIT_ASSERT_EQUAL(200, answer.status);
      CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), answer.body);
      CPPUNIT_ASSERT(answer.whole);
      CPPUNIT_ASSERT(EndsWithConnection(answer));
    }
  }

  // Guards against a response that was reset and looks complete to its caller. A reset may overtake
  // a part of a long body, which is then refused.
  auto testPlainAnswerThatIsReset() -> void {
    for (const auto& target : kPlain) {
      const auto answer = CallTruncated(
          target, [](const std::string& id) { return Head(id) + "\r\npart"; }, Ending::reset);
      CPPUNIT_ASSERT_EQUAL(502, answer.status);
      const auto begun = CallTruncated(
          target, [](const std::string& id) { return Head(id) + "\r\n" + kLongBody; },
          Ending::reset);
      CPPUNIT_ASSERT(!IsWholeSuccess(begun));
    }
  }

  // Guards against a stream that was reset and looks complete to its caller.
  auto testStreamThatIsReset() -> void {
    for (const auto& target : kStreams) {
      const auto answer = CallTruncated(
          target, [](const std::string& id) { return Head(id) + "\r\n" + Event(1); },
          Ending::reset);
      CPPUNIT_ASSERT_EQUAL(Event(1), answer.body);
      CPPUNIT_ASSERT(!answer.whole);
      CPPUNIT_ASSERT(EndsWithConnection(answer));
      CPPUNIT_ASSERT(!answer.failure.empty());
    }
  }

  // Guards against a stream that ends in the middle of an event and looks complete, however the
  // replica ended the connection.
  auto testStreamThatEndsInsideAnEvent() -> void {
    for (const auto& target : kStreams) {
      for (const auto ending : kEndings) {
        const auto answer = CallTruncated(
            target,
            [](const std::string& id) { return Head(id) + "\r\n" + Event(1) + "id: 2\nda"; },
            ending);
        CPPUNIT_ASSERT_EQUAL(Event(1), answer.body);
        CPPUNIT_ASSERT(!answer.whole);
        CPPUNIT_ASSERT(!answer.failure.empty());
      }
    }
  }

  // Guards against a response without a length that looks complete when the deadline truncates it.
  auto testAnswerThatStopsUntilTheDeadline() -> void {
    for (const std::string target : {"/once/x", "/stream-once/x"}) {
      RawReplica replica("a", [&](int, const std::string& id, const RawReplica::Writer& write) {
        write(Head(id) + "\r\n" + (target == "/once/x" ? kLongBody : Event(1)));
      });
      TestEntry entry;
      auto configuration = MakeFleetConfig();
      for (auto& route : configuration.routes) route.timeout = seconds(1);
      entry.Configure(std::move(configuration));
      entry.List(replica);
      const auto answer = entry.Call(Get(target));
      CPPUNIT_ASSERT_EQUAL(200, answer.status);
      CPPUNIT_ASSERT(!answer.whole);
    }
  }

  // Guards against a failed response that is buffered until all attempts have ended and gains a
  // length meanwhile.
  auto testFailureThatEndsWithItsConnection() -> void {
    for (const auto& target : kPlain) {
      const auto answer = CallTruncated(
          target, [](const std::string& id) { return Head(id, "500 Broken") + "\r\nbroken"; },
          Ending::closed);
      CPPUNIT_ASSERT_EQUAL(500, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string("broken"), answer.body);
      CPPUNIT_ASSERT(EndsWithConnection(answer));
    }
  }

  // Guards against giving up although another replica may still respond: nothing was forwarded yet.
  auto testResetAnswerIsRepeated() -> void {
    RawReplica first("a", [](int, const std::string& id, const RawReplica::Writer& write) {
      write(Head(id) + "\r\npart");
      write.Reset();
    });
    RawReplica second("b", [](int, const std::string& id, const RawReplica::Writer& write) {
      write(WithLength(id, "whole"));
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto answer = entry.Call(Get("/again/x"));
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.body);
    CPPUNIT_ASSERT(answer.whole);
    CPPUNIT_ASSERT(!EndsWithConnection(answer));
  }

  // Guards against losing the rest of a stream that started without a length and was reset,
  // although another replica has the rest.
  auto testWeakStreamContinued() -> void {
    RawReplica first("a", [](int, const std::string& id, const RawReplica::Writer& write) {
      write(Head(id) + "\r\n" + Event(1) + "id: 2\nda");
      write.Reset();
    });
    RawReplica second("b", [](int, const std::string& id, const RawReplica::Writer& write) {
      write(Chunked(id) + Chunk(Event(2) + Event(3)) + "0\r\n\r\n");
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto answer = entry.Call(Get("/stream/x"));
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3), answer.body);
    CPPUNIT_ASSERT(answer.whole);
    CPPUNIT_ASSERT(EndsWithConnection(answer));
  }

  // Guards against a final chunk for a stream that started in chunks and was resumed by a response
  // whose end only the connection marks.
  auto testContinuationThatEndsWithItsConnection() -> void {
    RawReplica first("a", [](int, const std::string& id, const RawReplica::Writer& write) {
      write(Chunked(id) + Chunk(Event(1)));
      write.Close();
    });
    RawReplica second("b", [](int, const std::string& id, const RawReplica::Writer& write) {
      write(Head(id) + "\r\n" + Event(2));
      write.Close();
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(first);
    entry.List(second);
    const auto answer = entry.Call(Get("/stream/x"));
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), answer.body);
    CPPUNIT_ASSERT(!answer.whole);
  }

  // Guards against a body that is shorter than its stated length and looks complete.
  auto testShortBody() -> void {
    for (const auto ending : kEndings) {
      const auto plain = [](const std::string& id) {
        const auto whole = WithLength(id, "whole");
        return whole.substr(0, whole.size() - 1);
      };
      CPPUNIT_ASSERT_EQUAL(502, CallTruncated("/once/x", plain, ending).status);
      const auto begun = [](const std::string& id) {
        const auto whole = WithLength(id, kLongBody);
        return whole.substr(0, whole.size() - 1);
      };
      CPPUNIT_ASSERT(!IsWholeSuccess(CallTruncated("/once/x", begun, ending)));
      const auto stream = [](const std::string& id) {
        const auto whole = WithLength(id, Event(1) + Event(2));
        return whole.substr(0, whole.size() - Event(2).size());
      };
      CPPUNIT_ASSERT(!CallTruncated("/stream-once/x", stream, ending).whole);
    }
  }

  // Guards against a chunked body that looks complete although it was truncated between two chunks,
  // inside the last one or inside the trailer.
  auto testChunksCut() -> void {
    const std::string end = "0\r\nTrailer-Field: value\r\n\r\n";
    for (const auto ending : kEndings) {
      for (std::size_t size = 0; size < end.size(); ++size) {
        const auto bytes = [&](const std::string& id) {
          return Chunked(id) + Chunk(Event(1)) + end.substr(0, size);
        };
        CPPUNIT_ASSERT_EQUAL(502, CallTruncated("/once/x", bytes, ending).status);
        CPPUNIT_ASSERT(!CallTruncated("/stream-once/x", bytes, ending).whole);
      }
    }
    const auto whole = [&](const std::string& id) { return Chunked(id) + Chunk(Event(1)) + end; };
    CPPUNIT_ASSERT(CallTruncated("/once/x", whole, Ending::closed).whole);
    CPPUNIT_ASSERT(CallTruncated("/stream-once/x", whole, Ending::closed).whole);
  }

  // Guards against a caller that waits for the body of a response that has none.
  auto testAnswersWithoutABody() -> void {
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
      const auto answer = CallTruncated(
          "/once/x", [&](const std::string& id) { return Head(id, status) + "\r\n"; },
          Ending::closed);
      CPPUNIT_ASSERT_EQUAL(std::stoi(status), answer.status);
      CPPUNIT_ASSERT(answer.whole);
      CPPUNIT_ASSERT(answer.body.empty());
      CPPUNIT_ASSERT(net::FindHeader(answer.headers, "Connection").empty());
    }
    for (const std::string field :
         {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
      const auto answer = CallTruncated(
          "/once/x", [&](const std::string& id) { return Head(id) + field + "\r\n"; },
          Ending::closed, seconds(4), "HEAD");
      CPPUNIT_ASSERT_EQUAL(200, answer.status);
      CPPUNIT_ASSERT(answer.whole);
      CPPUNIT_ASSERT(net::FindHeader(answer.headers, "Connection").empty());
    }
  }

  // Guards against treating an interim response as the final one: the caller gets no other, or the
  // connection is closed.
  auto testInterimAnswers() -> void {
    RawReplica replica("a", [](int, const std::string& id, const RawReplica::Writer& write) {
      write("HTTP/1.1 100 Continue\r\n\r\n" + Head(id, "103 Early Hints") + "\r\n" +
            Head(id, "102 Processing") + "\r\n" + Head(id, "103 Early Hints") + "\r\n" +
            WithLength(id, "whole"));
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    for (int call = 0; call < 2; ++call) {
      const auto answer = entry.Call(Get("/once/x"));
      CPPUNIT_ASSERT_EQUAL(200, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.body);
      CPPUNIT_ASSERT(answer.whole);
    }
    CPPUNIT_ASSERT_EQUAL(1, replica.Connections());
  }

  // Guards against endless interim responses that hold the caller, and against a switch to a
  // protocol that was not requested.
  auto testEndlessInterimAnswers() -> void {
    RawReplica replica("a", [](int, const std::string& id, const RawReplica::Writer& write) {
      while (write(Head(id, "103 Early Hints") + "\r\n")) {
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    CPPUNIT_ASSERT_EQUAL(502, entry.Call(Get("/once/x")).status);
    const auto switched = CallTruncated(
        "/once/x",
        [](const std::string& id) { return Head(id, "101 Switching Protocols") + "\r\n"; },
        Ending::closed);
    CPPUNIT_ASSERT_EQUAL(502, switched.status);
  }

  // Guards against a head that this entry and its callers parse differently.
  auto testLineEndsWithoutCarriageReturn() -> void {
    const auto answer = CallTruncated(
        "/once/x",
        [](const std::string& id) {
          return "HTTP/1.1 200 OK\nId: " + id + "\nReceipt: r\nContent-Length: 5\n\nwhole";
        },
        Ending::closed);
    CPPUNIT_ASSERT_EQUAL(502, answer.status);
  }

  // Guards against passing on a crash as a whole stream: a response whose end only the connection
  // marks, with a head and nothing else, is what a replica leaves that ends as it begins.
  auto testStreamWithoutAnEventIsCut() -> void {
    for (const auto& target : kStreams) {
      const auto answer = CallTruncated(
          target, [](const auto& id) { return Head(id) + "\r\n"; }, Ending::closed);
      CPPUNIT_ASSERT(!IsWholeSuccess(answer));
    }
  }

 private:
  static auto TruncateHeads(bool kept) -> void {
    for (const auto ending : kEndings) {
      std::atomic<std::size_t> cut = 0;
      RawReplica replica("a",
                         [&](int number, const std::string& id, const RawReplica::Writer& write) {
                           if (kept && number % 2 == 1) {
                             write(WithLength(id, "whole"));
                             return;
                           }
                           write(WithLength(id, "").substr(0, cut));
                           EndConnection(write, ending);
                         });
      TestEntry entry;
      entry.Configure(MakeFleetConfig());
      entry.List(replica);
      int calls = 0;
      for (const std::string target : {"/once/x", "/again/x", "/stream-once/x", "/stream/x"}) {
        for (cut = 0; cut < WithLength("1", "").size(); ++cut) {
          ++calls;
          if (kept) {
            const auto whole = entry.Call(Get("/once/x"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(whole.body, 200, whole.status);
          }
          const auto answer = entry.Call(Get(target));
          CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 502, answer.status);
          CPPUNIT_ASSERT(answer.whole);
        }
      }
      CPPUNIT_ASSERT_EQUAL(calls, replica.Connections());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutAnswerTest);

}  // namespace
}  // namespace filbertstair::relay
