#include "filbertstair/schema/read.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::schema {
namespace {

class ReadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadTest);
  CPPUNIT_TEST(testMap);
  CPPUNIT_TEST(testInteger);
  CPPUNIT_TEST(testNumber);
  CPPUNIT_TEST(testDuration);
  CPPUNIT_TEST(testEnum);
  CPPUNIT_TEST(testIdentifier);
  CPPUNIT_TEST_SUITE_END();

  // Parses `text` as YAML, calls `read` on the value and returns whether it added no problem.
  template <typename Read>
  static auto Accepts(const std::string& text, Read read) -> bool {
    ProblemReport report{.file = "a"};
    const auto value = LoadYaml(text, 1000, report);
    CPPUNIT_ASSERT(value);
    read(Cursor{report, *value, "f"});
    return report.problems.empty();
  }

 public:
  // Guards against misspelt, duplicate or missing fields that are silently ignored.
  auto testMap() -> void {
    ProblemReport report{.file = "a"};
    const auto value = LoadYaml("x: 1\nx: 2\nz: 3\n", 1000, report);
    int reads = 0;
    ReadMap({report, *value, "m"}, {{"x", true, [&](const Cursor&) { ++reads; }},
                                    {"y", true, [&](const Cursor&) { ++reads; }}});
    CPPUNIT_ASSERT_EQUAL(1, reads);
    const std::vector<Problem> expected{
        {"a", 2, "m.x", "a duplicate field", "each field once"},
        {"a", 3, "m", "unknown field \"z\"", "x, y"},
        {"a", 1, "m.y", "nothing", "a value; the field is required"}};
    CPPUNIT_ASSERT(expected == report.problems);
    CPPUNIT_ASSERT(!Accepts("[a]", [](const Cursor& c) { ReadMap(c, {}); }));
  }

  auto testInteger() -> void {
    const auto accepts = [](const std::string& text) {
      return Accepts(text, [](const Cursor& cursor) {
        std::uint32_t out = 7;
        if (!ReadInteger(cursor, 1u, 4096u, out)) CPPUNIT_ASSERT_EQUAL(7u, out);
      });
    };
    for (const auto* text : {"1", "4096"}) CPPUNIT_ASSERT_MESSAGE(text, accepts(text));
    for (const auto* text : {"0", "4097", "-1", "4294967297", "99999999999999999999", "1.0", "1e2",
                             "'1'", "0x10", "a", "[1]", "~", "1 2"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !accepts(text));
    }
  }

  // Guards against accepting infinities and NaN, which would make shares meaningless.
  auto testNumber() -> void {
    const auto accepts = [](const std::string& text) {
      return Accepts(text, [](const Cursor& cursor) {
        double out = 0;
        ReadNumber(cursor, 0.001, 1000, out);
      });
    };
    for (const auto* text : {"0.001", "1000", "2", "1e2"}) {
      CPPUNIT_ASSERT_MESSAGE(text, accepts(text));
    }
    for (const auto* text : {"0", "1000.1", "nan", "inf", ".inf", "-1", "1e999", "'2'", "2x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !accepts(text));
    }
  }

  auto testDuration() -> void {
    const auto accepts = [](const std::string& text) {
      return Accepts(text, [](const Cursor& cursor) {
        core::Duration out{};
        ReadDuration(cursor, std::chrono::seconds(1), std::chrono::hours(1), out);
      });
    };
    CPPUNIT_ASSERT(accepts("1s") && accepts("60m") && accepts("'2s'"));
    CPPUNIT_ASSERT(!accepts("999ms") && !accepts("61m") && !accepts("5") && !accepts("[1s]"));
  }

  auto testEnum() -> void {
    ProblemReport report{.file = "a"};
    const auto value = LoadYaml("endpoints", 1000, report);
    auto role = core::Role::entry;
    CPPUNIT_ASSERT(!ReadEnum(Cursor{report, *value, "f"}, role));
    CPPUNIT_ASSERT_EQUAL(std::string("entry, endpoint"), report.problems[0].allowed);
    CPPUNIT_ASSERT(Accepts("endpoint", [&](const Cursor& c) { ReadEnum(c, role); }));
    CPPUNIT_ASSERT(role == core::Role::endpoint);
  }

  auto testIdentifier() -> void {
    for (const auto* text : {"a", "0a", "a-b_c.d"}) CPPUNIT_ASSERT(kIdentifier.accepts(text));
    CPPUNIT_ASSERT(kIdentifier.accepts(std::string(63, 'a')));
    CPPUNIT_ASSERT(!kIdentifier.accepts(std::string(64, 'a')));
    for (const auto* text : {"", "-a", "A", "a b", "a/b", "\u00e9"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !kIdentifier.accepts(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadTest);

}  // namespace
}  // namespace filbertstair::schema
