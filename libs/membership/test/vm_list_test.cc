#include "filbertstair/membership/vm_list.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <future>

#include "filbertstair/runtime/pool.h"

namespace filbertstair::membership {
namespace {

// Returns a list of one VM as JSON, with `part` replaced.
auto Replaced(const std::string& part, const std::string& by) -> std::string {
  std::string text =
      R"({"revision": 3, "vms": [{"id": "e1", "role": "entry", "address": "127.0.0.1:7001",)"
      R"( "region": "north", "failure_domain": "north-1", "pool": "chat", "state": "live"}]})";
  const auto at = text.find(part);
  CPPUNIT_ASSERT_MESSAGE(part, at != std::string::npos);
  return text.replace(at, part.size(), by);
}

auto IsAccepted(const std::string& text) -> bool {
  const auto parsed = ParseVmList(text, "vms");
  CPPUNIT_ASSERT_EQUAL(parsed.list.has_value(), parsed.problems.empty());
  return parsed.list.has_value();
}

// Guards against an invalid list that is applied in part, which would remove running members.
class VmListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VmListTest);
  CPPUNIT_TEST(testJsonAndYaml);
  CPPUNIT_TEST(testEveryProblemIsReported);
  CPPUNIT_TEST(testUnreadable);
  CPPUNIT_TEST(testAddresses);
  CPPUNIT_TEST(testNames);
  CPPUNIT_TEST(testAliases);
  CPPUNIT_TEST(testDeepNesting);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testJsonAndYaml() -> void {
    const std::string json =
        R"({"revision": 3, "vms": [{"id": "e1", "role": "entry", "address": "127.0.0.1:7001",)"
        R"( "region": "north", "failure_domain": "north-1", "pool": "", "state": "live"},)"
        R"({"id": "7", "role": "endpoint", "address": "127.0.0.1:7002", "region": "north",)"
        R"( "pool": "chat", "state": "leaving"}]})";
    const std::string yaml =
        "revision: 3\nvms:\n"
        "- {id: e1, role: entry, address: '127.0.0.1:7001', region: north,"
        " failure_domain: north-1, state: live}\n"
        "- {id: '7', role: endpoint, address: '127.0.0.1:7002', region: north, pool: chat,"
        " state: leaving}\n";
    for (const auto& text : {json, yaml}) {
      const auto parsed = ParseVmList(text, "vms");
      CPPUNIT_ASSERT(parsed.list && parsed.problems.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, parsed.list->revision);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed.list->vms.size());
      CPPUNIT_ASSERT_EQUAL(std::string("north-1"), parsed.list->vms[0].failure_domain);
      CPPUNIT_ASSERT(parsed.list->vms[1].role == core::Role::endpoint);
      CPPUNIT_ASSERT(parsed.list->vms[1].state == VmState::leaving);
      CPPUNIT_ASSERT_EQUAL(std::string("7"), parsed.list->vms[1].id);
    }
  }

  auto testEveryProblemIsReported() -> void {
    const auto parsed =
        ParseVmList(R"({"revision": 0, "vms": [{"id": "a", "role": "router", "address": "host",)"
                    R"( "region": "north", "state": "live"}, {"id": "a", "role": "endpoint",)"
                    R"( "address": "127.0.0.1:99999", "region": "", "state": 1}, 5]})",
                    "vms");
    CPPUNIT_ASSERT(!parsed.list);
    // revision; role and address of the first VM; address, region, state, missing pool
    // and duplicate id of the second; third VM is not a map.
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, parsed.problems.size());
    CPPUNIT_ASSERT_EQUAL(std::string("vms: vms[0].role: unknown value \"router\""),
                         parsed.problems[1]);
  }

  auto testUnreadable() -> void {
    for (const auto* text : {"", "[1", "a", "{\"revision\": 1}", "revision: [\n", "- 1\n"}) {
      const auto parsed = ParseVmList(text, "vms");
      CPPUNIT_ASSERT(!parsed.list && !parsed.problems.empty());
    }
  }

  // Guards against addresses that cannot be connected to, which a process would retry forever.
  auto testAddresses() -> void {
    for (const auto* address : {"127.0.0.1:1", "127.0.0.1:65535", "[::1]:80"}) {
      CPPUNIT_ASSERT_MESSAGE(address, IsAccepted(Replaced("127.0.0.1:7001", address)));
    }
    for (const auto* address : {"",
                                ":",
                                ":80",
                                "127.0.0.1",
                                "127.0.0.1:",
                                "127.0.0.1:0",
                                "127.0.0.1:65536",
                                "127.0.0.1:70000",
                                "127.0.0.1:-1",
                                "127.0.0.1:8x",
                                "127.0.0.1:80 ",
                                " 127.0.0.1:80",
                                "localhost:80",
                                "a.example:80",
                                "127.0.0:80",
                                "127.0.0.1:80:81",
                                "::1:80",
                                "[::1]80",
                                "[]:80",
                                "[127.0.0.1]:80",
                                "127.0.0.1\\u0000:80"}) {
      CPPUNIT_ASSERT_MESSAGE(address, !IsAccepted(Replaced("127.0.0.1:7001", address)));
    }
  }

  // Guards against ids that no process can have, and names that break a log line.
  auto testNames() -> void {
    for (const auto* field : {R"("e1")", R"("north")", R"("north-1")", R"("chat")"}) {
      CPPUNIT_ASSERT_MESSAGE(field, IsAccepted(Replaced(field, R"("other.name_1-b")")));
      for (const auto* name : {R"("a b")", R"("a\nb")", R"("\u0000")", R"("\u00e9")", "5", "null",
                               "[]", R"({"a": 1})"}) {
        CPPUNIT_ASSERT_MESSAGE(name, !IsAccepted(Replaced(field, name)));
      }
      CPPUNIT_ASSERT(!IsAccepted(Replaced(field, '"' + std::string(1000, 'a') + '"')));
    }
    for (const auto* revision :
         {"0", "-1", "1.5", "1e300", "18446744073709551616", R"("3")", "null", "[]"}) {
      CPPUNIT_ASSERT_MESSAGE(revision,
                             !IsAccepted(Replaced(": 3,", ": " + std::string(revision) + ",")));
    }
  }

  // Guards against YAML aliases, which can refer to themselves or expand to exponentially many
  // values.
  auto testAliases() -> void {
    CPPUNIT_ASSERT(!IsAccepted("revision: 3\nvms: &a [*a]\n"));
    CPPUNIT_ASSERT(!IsAccepted("&a {revision: 3, vms: [], more: *a}\n"));
    std::string text = "revision: 3\nvms: []\na0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int i = 1; i < 30; ++i) {
      text += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [";
      for (int j = 0; j < 10; ++j) text += (j == 0 ? "*a" : ", *a") + std::to_string(i - 1);
      text += "]\n";
    }
    CPPUNIT_ASSERT(!IsAccepted(text));
  }

  // Guards against deep nesting that overflows the stack of the fiber that parses the list.
  auto testDeepNesting() -> void {
    std::vector<std::string> texts;
    for (const std::size_t depth : {100, 400, 1000, 100000}) {
      for (const std::string opening : {"[", "{", "{a: ", "{\"a\": ", "- ", "? "}) {
        std::string text;
        for (std::size_t i = 0; i < depth; ++i) text += opening;
        texts.push_back(text);
        texts.push_back("{\"revision\": 3, \"vms\": [], \"more\": " + text);
      }
      texts.push_back(Replaced(R"("e1")", std::string(depth, '[') + std::string(depth, ']')));
    }
    std::promise<bool> accepted;
    runtime::Pool pool(1, [](const std::exception&) {});
    pool.Post(0, [&] {
      accepted.set_value(std::any_of(texts.begin(), texts.end(), [](const std::string& text) {
        return ParseVmList(text, "vms").list.has_value();
      }));
    });
    CPPUNIT_ASSERT(!accepted.get_future().get());
    pool.Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmListTest);

}  // namespace
}  // namespace filbertstair::membership
