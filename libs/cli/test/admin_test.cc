#include "filbertstair/cli/admin.h"

#include <cppunit/extensions/HelperMacros.h>

#include "files.h"
#include "responder.h"

namespace filbertstair::cli {
namespace {

class AdminTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdminTest);
  CPPUNIT_TEST(testResultsInOrder);
  CPPUNIT_TEST(testNothingListens);
  CPPUNIT_TEST(testSilentProcess);
  CPPUNIT_TEST(testToObjectRefuses);
  CPPUNIT_TEST(testReadAddresses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a response that is attributed to the wrong process.
  auto testResultsInOrder() -> void {
    Responder first([](const std::string& request) { return Responder::Response{200, request}; });
    Responder second([](const std::string&) { return Responder::Response{404, "no"}; });
    const auto results = SendToAdmins({second.Address(), first.Address()},
                                      {.method = Method::post, .target = "/drain"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results.size());
    CPPUNIT_ASSERT_EQUAL(404, results[0].status);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /drain"), results[1].body);
  }

  // Guards against an error that does not name the process, and against an exited process that is
  // mistaken for an unresponsive one.
  auto testNothingListens() -> void {
    const auto address = UnusedAddress();
    const auto result = SendToAdmins({address}, {.target = "/status"}).front();
    CPPUNIT_ASSERT(result.error && result.not_listening);
    CPPUNIT_ASSERT(result.error->GetStep() == core::Step::connect);
    CPPUNIT_ASSERT_EQUAL(address, result.error->Peer());
  }

  // Guards against a command that blocks forever on an unresponsive process. Connections to the
  // listener complete in its backlog, but nothing reads from them.
  auto testSilentProcess() -> void {
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor silent(io, {boost::asio::ip::address_v4::loopback(), 0});
    const auto address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    const auto result =
        SendToAdmins({address}, {.target = "/status", .timeout = std::chrono::milliseconds(50)})
            .front();
    CPPUNIT_ASSERT(result.error && !result.not_listening);
    CPPUNIT_ASSERT(result.error->GetStep() == core::Step::read);
    CPPUNIT_ASSERT_EQUAL("read " + address + ": no response within 50 ms",
                         std::string(result.error->what()));
  }

  // Guards against an error response that is parsed as a status.
  auto testToObjectRefuses() -> void {
    for (const auto& [status, body] :
         {std::pair{503, "{}"}, std::pair{200, "[]"}, std::pair{200, "{"}}) {
      const AdminResult result{.address = "a", .status = status, .body = body};
      CPPUNIT_ASSERT_THROW(ParseJsonObject(result), core::Error);
    }
    CPPUNIT_ASSERT(ParseJsonObject({.address = "a", .status = 200, .body = "{}"}).empty());
  }

  // Guards against a malformed line that silently omits a process.
  auto testReadAddresses() -> void {
    const TestFiles files;
    const auto good = files.Write("good", "# north\n127.0.0.1:9000\n\n[::1]:9001\n");
    CPPUNIT_ASSERT(ReadAddressFile(good) ==
                   (std::vector<std::string>{"127.0.0.1:9000", "[::1]:9001"}));
    CPPUNIT_ASSERT_THROW(ReadAddressFile(files.Write("bad", "127.0.0.1\n")), core::Error);
    CPPUNIT_ASSERT_THROW(ReadAddressFile(good + ".missing"), core::Error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminTest);

}  // namespace
}  // namespace filbertstair::cli
