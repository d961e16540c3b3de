#include "filbertstair/telemetry/log.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::telemetry {
namespace {

// Guards against log injection: a value from a caller that splits a line or forges a field.
class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(testText);
  CPPUNIT_TEST(testControlCharacters);
  CPPUNIT_TEST(testJson);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testText() -> void {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"(400 request_refused reason=queue_full workspace="a\u000ab=\"c\"")"),
        detail::FormatText(Event::request_refused,
                           {{"reason", "queue_full"}, {"peer", ""}, {"workspace", "a\nb=\"c\""}}));
  }

  // Guards against terminal escape sequences, for example in the key of an object from another
  // source.
  auto testControlCharacters() -> void {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"(201 object_rejected object="a\u001b[2Jb" error="\u007f")"),
        detail::FormatText(Event::object_rejected, {{"object", "a\x1b[2Jb"}, {"error", "\x7f"}}));
  }

  auto testJson() -> void {
    CPPUNIT_ASSERT_EQUAL(std::string(R"("event":900,"name":"internal_error","step":"a\\b")"),
                         detail::FormatJson(Event::internal_error, {{"step", "a\\b"}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace filbertstair::telemetry
