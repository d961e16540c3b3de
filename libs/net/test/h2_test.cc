#include "filbertstair/net/h2.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>

#include "filbertstair/core/error.h"
#include "filbertstair/runtime/pool.h"
#include "test_port.h"

namespace filbertstair::net {
namespace {

using std::chrono::milliseconds;

// Runs `server` for each stream on worker 0 and `client` on worker 1.
auto RunPair(const StreamHandler& server, const std::function<void(Connection&)>& client) -> void {
  const std::string address = FreeAddress();
  std::promise<void> listening;
  std::promise<std::string> done;
  runtime::Pool pool(2, [&](const std::exception& error) { done.set_value(error.what()); });
  pool.Post(0, [&] {
    ListenStreams(address, [&](const std::shared_ptr<Stream>& stream) {
      try {
        server(stream);
      } catch (const core::Error&) {
        stream->Reset();
      }
    });
    listening.set_value();
  });
  listening.get_future().get();
  pool.Post(1, [&] {
    const auto connection = Connect(address, milliseconds(2000));
    client(*connection);
    done.set_value("");
  });
  CPPUNIT_ASSERT_EQUAL(std::string(), done.get_future().get());
  pool.Stop();
}

class H2Test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(H2Test);
  CPPUNIT_TEST(testMessagesKeepBoundariesAndOrder);
  CPPUNIT_TEST(testLargeMessages);
  CPPUNIT_TEST(testSlowReaderDoesNotBlockOtherStreams);
  CPPUNIT_TEST(testResetIsNotACleanEnd);
  CPPUNIT_TEST(testConnectFailureNamesStepAndPeer);
  CPPUNIT_TEST_SUITE_END();

  static auto Echo(const std::shared_ptr<Stream>& stream) -> void {
    while (auto message = stream->Receive()) stream->Send(*message);
    stream->Finish();
  }

 public:
  // Guards against messages that are split or joined by HTTP/2 framing.
  auto testMessagesKeepBoundariesAndOrder() -> void {
    RunPair(Echo, [](Connection& connection) {
      const auto stream = connection.StartStream("/echo");
      for (std::size_t i = 0; i < 100; ++i) {
        stream->Send(std::string(i * 100, 'a'));
      }
      stream->Finish();
      for (std::size_t i = 0; i < 100; ++i) {
        CPPUNIT_ASSERT_EQUAL(i * 100, stream->Receive().value().size());
      }
      CPPUNIT_ASSERT(!stream->Receive());
    });
  }

  // Guards against a deadlock with messages larger than the flow-control window.
  auto testLargeMessages() -> void {
    RunPair(Echo, [](Connection& connection) {
      const auto stream = connection.StartStream("/echo");
      const std::string message(std::size_t{9} << 20, 'x');
      stream->Send(message);
      stream->Finish();
      CPPUNIT_ASSERT(stream->Receive().value() == message);
    });
  }

  // Guards against one slow reader that blocks the responses on all other streams.
  auto testSlowReaderDoesNotBlockOtherStreams() -> void {
    const auto server = [](const std::shared_ptr<Stream>& stream) {
      const std::string piece(std::size_t{64} << 10, 'x');
      const int count = stream->Path() == "/large" ? 200 : 1;
      for (int i = 0; i < count; ++i) stream->Send(piece);
      stream->Finish();
    };
    RunPair(server, [](Connection& connection) {
      const auto slow = connection.StartStream("/large");
      slow->Finish();
      const auto quick = connection.StartStream("/small");
      quick->Finish();
      CPPUNIT_ASSERT(quick->Receive());
      CPPUNIT_ASSERT(!quick->Receive());
      int pieces = 0;
      while (slow->Receive()) ++pieces;
      CPPUNIT_ASSERT_EQUAL(200, pieces);
    });
  }

  // Guards against a truncated response that looks complete.
  auto testResetIsNotACleanEnd() -> void {
    const auto server = [](const std::shared_ptr<Stream>& stream) {
      stream->Send("partial");
      stream->Receive();
      stream->Reset();
    };
    RunPair(server, [](Connection& connection) {
      const auto stream = connection.StartStream("/cut");
      CPPUNIT_ASSERT_EQUAL(std::string("partial"), stream->Receive().value());
      stream->Send("go on");
      CPPUNIT_ASSERT_THROW(stream->Receive(), core::Error);
    });
  }

  auto testConnectFailureNamesStepAndPeer() -> void {
    const std::string address = FreeAddress();
    std::promise<std::string> message;
    runtime::Pool pool(1, [&](const std::exception& error) { message.set_value(error.what()); });
    pool.Post(0, [&] { Connect(address, milliseconds(500)); });
    CPPUNIT_ASSERT_EQUAL("connect " + address + ": Connection refused", message.get_future().get());
    pool.Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(H2Test);

}  // namespace
}  // namespace filbertstair::net
