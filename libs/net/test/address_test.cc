#include "filbertstair/net/address.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "filbertstair/core/error.h"
#include "filbertstair/net/h2.h"
#include "filbertstair/runtime/pool.h"
#include "test_port.h"

namespace filbertstair::net {
namespace {

class AddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressTest);
  CPPUNIT_TEST(testParse);
  CPPUNIT_TEST(testMalformed);
  CPPUNIT_TEST(testListenedAddressIsNotFree);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testParse() -> void {
    CPPUNIT_ASSERT(ParseAddress("127.0.0.1:80").port() == 80);
    CPPUNIT_ASSERT(ParseAddress("[::1]:81").address().is_v6());
  }

  auto testMalformed() -> void {
    for (const auto* text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:70000", "127.0.0.1:8x"}) {
      CPPUNIT_ASSERT_THROW(ParseAddress(text), core::Error);
    }
  }

  // Guards against two daemons that listen on one port without an error because both set
  // SO_REUSEPORT.
  auto testListenedAddressIsNotFree() -> void {
    const std::string address = FreeAddress();
    CheckAddressAvailable(address);
    std::promise<void> listening;
    runtime::Pool pool(1, [](const std::exception&) {});
    pool.Post(0, [&] {
      ListenStreams(address, [](const std::shared_ptr<Stream>&) {});
      listening.set_value();
    });
    listening.get_future().get();
    CPPUNIT_ASSERT_THROW(CheckAddressAvailable(address), core::Error);
    pool.Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressTest);

}  // namespace
}  // namespace filbertstair::net
