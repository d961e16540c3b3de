#include "filbertstair/wire/request.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "filbertstair/core/error.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::wire {
namespace {

class RequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTest);
  CPPUNIT_TEST(testSubmitKeepsEveryField);
  CPPUNIT_TEST(testEndKeepsEveryField);
  CPPUNIT_TEST(testRandomBytesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field, such as the grant, that is lost in encoding or decoding.
  auto testSubmitKeepsEveryField() -> void {
    Submit submit;
    submit.attempt = {"e1", 5, 6};
    submit.grant = 7;
    submit.endpoint = 8;
    submit.service = "s";
    submit.workspace = "w";
    submit.document_version = 9;
    submit.call_class = core::CallClass::once;
    submit.key = "k";
    submit.key_issued_ms = 10;
    submit.remaining = core::Duration(11);
    submit.cost_hint = 12;
    submit.method = "POST";
    submit.target = "/x";
    submit.headers = {{"A", "1"}, {"A", "2"}};
    submit.body = std::string("\0\xff", 2);
    submit.request_id = "r";
    const auto copy = std::get<Submit>(DecodeRequest(Encode(RequestMessage(submit)), "peer"));
    CPPUNIT_ASSERT(copy.attempt == submit.attempt);
    CPPUNIT_ASSERT_EQUAL(submit.grant, copy.grant);
    CPPUNIT_ASSERT_EQUAL(submit.endpoint, copy.endpoint);
    CPPUNIT_ASSERT_EQUAL(submit.service + submit.workspace, copy.service + copy.workspace);
    CPPUNIT_ASSERT_EQUAL(submit.document_version, copy.document_version);
    CPPUNIT_ASSERT(copy.call_class == core::CallClass::once);
    CPPUNIT_ASSERT_EQUAL(submit.key, copy.key);
    CPPUNIT_ASSERT_EQUAL(submit.key_issued_ms, copy.key_issued_ms);
    CPPUNIT_ASSERT(copy.remaining == submit.remaining);
    CPPUNIT_ASSERT_EQUAL(submit.cost_hint, copy.cost_hint);
    CPPUNIT_ASSERT_EQUAL(submit.method + submit.target, copy.method + copy.target);
    CPPUNIT_ASSERT(copy.headers == submit.headers);
    CPPUNIT_ASSERT_EQUAL(submit.body, copy.body);
    CPPUNIT_ASSERT_EQUAL(submit.request_id, copy.request_id);
  }

  auto testEndKeepsEveryField() -> void {
    const End end{true, core::Reason::answer_cut, core::Outcome::ran, 77, "m"};
    const auto copy = std::get<End>(DecodeRequest(Encode(RequestMessage(end)), "peer"));
    CPPUNIT_ASSERT(copy.complete && copy.reason == end.reason && copy.outcome == end.outcome);
    CPPUNIT_ASSERT_EQUAL(end.cost, copy.cost);
    CPPUNIT_ASSERT_EQUAL(end.message, copy.message);
  }

  // Guards against a corrupt message that crashes a process or is decoded as a valid one.
  auto testRandomBytesAreRefused() -> void {
    std::mt19937 random(1);
    int refused = 0;
    for (int i = 0; i < 20000; ++i) {
      std::string bytes(random() % 40, '\0');
      for (auto& byte : bytes) byte = static_cast<char>(random());
      try {
        DecodeRequest(bytes, "peer");
        DecodeControl(bytes, "peer");
      } catch (const core::Error& error) {
        CPPUNIT_ASSERT(error.GetStep() == core::Step::decode);
        ++refused;
      }
    }
    CPPUNIT_ASSERT(refused > 19000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTest);

}  // namespace
}  // namespace filbertstair::wire
