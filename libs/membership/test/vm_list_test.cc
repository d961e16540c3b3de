#include "filbertstair/membership/vm_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace filbertstair::membership {
namespace {

// Guards against a damaged list that takes effect in part, which would drop members that run.
class VmListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VmListTest);
  CPPUNIT_TEST(testJsonAndYaml);
  CPPUNIT_TEST(testEveryProblemIsReported);
  CPPUNIT_TEST(testUnreadable);
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
    // revision; role, address; address, region, state, pool, id twice; no map.
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmListTest);

}  // namespace
}  // namespace filbertstair::membership
