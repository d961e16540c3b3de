#include "filbertstair/schema/value.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "filbertstair/runtime/pool.h"

namespace filbertstair::schema {
namespace {

class ValueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValueTest);
  CPPUNIT_TEST(testTree);
  CPPUNIT_TEST(testNotUtf8);
  CPPUNIT_TEST(testStrayToken);
  CPPUNIT_TEST(testRefused);
  CPPUNIT_TEST(testDeepNesting);
  CPPUNIT_TEST(testTooLarge);
  CPPUNIT_TEST(testUnreadableFile);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against wrong line numbers in problems and against a quoted scalar read as a number.
  auto testTree() -> void {
    ProblemReport report{.file = "a"};
    const auto root = LoadYaml("a: 1\nb:\n  - 'x'\n  -\nb: {}\n", 100, report);
    CPPUNIT_ASSERT(root && root->kind == Kind::map);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, root->items.size());
    const auto& a = root->items[0];
    CPPUNIT_ASSERT(a.name == "a" && a.text == "1" && !a.quoted && a.line == 1);
    const auto& b = root->items[1];
    CPPUNIT_ASSERT(b.kind == Kind::list && b.name_line == 2);
    CPPUNIT_ASSERT(b.items[0].quoted && b.items[0].line == 3);
    CPPUNIT_ASSERT(b.items[1].kind == Kind::null);
    CPPUNIT_ASSERT(root->items[2].name == "b" && root->items[2].name_line == 5);
  }

  // Guards against accepting text that is not valid UTF-8, which the YAML library converts
  // silently.
  auto testNotUtf8() -> void {
    for (const std::string text :
         {"\xef", "\xef\xbb", "\xfe", "\xff", "\xff\xfe:", "a: \xe9", "\xc0\x80"}) {
      ProblemReport report{.file = "a"};
      CPPUNIT_ASSERT(!LoadYaml(text, 100, report));
      CPPUNIT_ASSERT_EQUAL(std::string("UTF-8 text"), report.problems.at(0).allowed);
    }
    ProblemReport report{.file = "a"};
    const auto marked = LoadYaml("\xef\xbb\xbf\x61: \u00e9", 100, report);
    CPPUNIT_ASSERT(marked && marked->items.at(0).text == "\u00e9");
  }

  // Guards against an endless loop at a token that the YAML library does not consume.
  auto testStrayToken() -> void {
    for (const auto* text : {",", "\n\t,{a", "a: b\n,", "]", "}"}) {
      ProblemReport report{.file = "a"};
      CPPUNIT_ASSERT_MESSAGE(text, !LoadYaml(text, 100, report));
    }
  }

  // Guards against content that is ignored or expanded instead of reported: text after byte 4,
  // which the YAML library treats as the end, aliases, tags, further documents and deep nesting.
  auto testRefused() -> void {
    for (const auto& text :
         {std::string("a: b\n\x04more: c\n"), std::string("a\0b", 3), std::string("a: &x b"),
          std::string("a: &x b\nc: *x\n"), std::string("a: !!int 3"),
          std::string("a: 1\n---\nb: 2"), std::string("? [a]\n: b"), std::string("a: [b"),
          std::string(5000, '[')}) {
      ProblemReport report{.file = "a"};
      CPPUNIT_ASSERT_MESSAGE(text.substr(0, 20), !LoadYaml(text, 10000, report));
      CPPUNIT_ASSERT(!report.problems.empty());
    }
  }

  // Guards against nesting that overflows the parser's stack and crashes the process. Documents are
  // parsed on fibers, whose stacks are much smaller than a thread's.
  auto testDeepNesting() -> void {
    const auto repeat = [](const std::string& text, std::size_t count) {
      std::string out;
      for (std::size_t i = 0; i < count; ++i) out += text;
      return out;
    };
    std::vector<std::string> texts;
    for (const std::size_t depth : {17, 100, 300, 498, 501, 100000}) {
      for (const auto* opening : {"[", "{a: ", "- ", "? ", "[a: ", "{[", "- ? ", "[? "}) {
        texts.push_back(repeat(opening, depth));
      }
      texts.push_back(repeat("[", depth) + repeat("]", depth));
      texts.push_back(repeat("{a: ", depth) + repeat("}", depth));
    }
    std::string indented;
    for (std::size_t depth = 0; depth < 600; ++depth) indented += std::string(depth, ' ') + "a:\n";
    texts.push_back(indented);
    const auto check = [&] {
      for (const auto& text : texts) {
        ProblemReport report{.file = "a"};
        if (LoadYaml(text, 1'000'000, report) || report.problems.empty()) return text.substr(0, 40);
      }
      return std::string();
    };
    CPPUNIT_ASSERT_EQUAL(std::string(), check());
    std::promise<std::string> found;
    runtime::Pool pool(1, [](const std::exception&) {});
    pool.Post(0, [&] { found.set_value(check()); });
    CPPUNIT_ASSERT_EQUAL(std::string(), found.get_future().get());
    pool.Stop();
    ProblemReport report{.file = "a"};
    CPPUNIT_ASSERT(
        LoadYaml(repeat("[", kMaxNestingDepth) + repeat("]", kMaxNestingDepth), 1000, report));
  }

  auto testTooLarge() -> void {
    ProblemReport report{.file = "a"};
    CPPUNIT_ASSERT(LoadYaml("a: b", 4, report));
    CPPUNIT_ASSERT(!LoadYaml("a: bc", 4, report));
    CPPUNIT_ASSERT_EQUAL(std::string("at most 4 bytes"), report.problems[0].allowed);
  }

  // Guards against a missing file or a directory that is treated as an empty file.
  auto testUnreadableFile() -> void {
    for (const std::string path : {"/nonexistent/file.yaml", "/"}) {
      try {
        ReadFile(path, 10, core::Step::settings);
        CPPUNIT_FAIL("no error for " + path);
      } catch (const core::Error& error) {
        CPPUNIT_ASSERT(error.GetStep() == core::Step::settings);
        CPPUNIT_ASSERT_EQUAL(path, error.Peer());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValueTest);

}  // namespace
}  // namespace filbertstair::schema
