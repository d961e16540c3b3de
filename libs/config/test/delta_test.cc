#include "filbertstair/config/delta.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace filbertstair::config {
namespace {

const int kSeed = setenv("RC_PARAMS", "seed=7", 0);

// Guards against deltas that corrupt content, and against deltas as large as the content, which
// would exceed the control traffic budget.
class DeltaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeltaTest);
  CPPUNIT_TEST(testRoundTrip);
  CPPUNIT_TEST(testSmallChangeIsSmall);
  CPPUNIT_TEST(testDamageIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static auto Text(int rows, int changed) -> std::string {
    std::string text = "{\"revision\": " + std::to_string(changed) + ", \"vms\": [";
    for (int i = 0; i < rows; ++i) {
      text += "{\"id\": \"e" + std::to_string(i) + "\", \"state\": \"";
      text += i == changed ? "leaving\"}," : "live\"},";
    }
    return text;
  }

 public:
  auto testRoundTrip() -> void {
    CPPUNIT_ASSERT(rc::check("applying a delta gives the new content", [] {
      // Texts made of a few distinct blocks share long substrings, as successive versions do.
      const auto text = [] {
        std::string result;
        for (const auto c : *rc::gen::container<std::string>(rc::gen::inRange('a', 'f'))) {
          result += std::string(static_cast<std::size_t>(c - 'a') * 11 + 1, c);
        }
        return result;
      };
      const auto base = MakeObject(ObjectKind::document, "chat", 1, text());
      const auto next = MakeObject(ObjectKind::document, "chat", 2, text());
      const auto result = ApplyDelta(*base, MakeDelta(*base, *next));
      RC_ASSERT(result && result->content == next->content && result->stamp == next->stamp);
    }));
  }

  auto testSmallChangeIsSmall() -> void {
    ConfigTable table;
    const auto base = MakeObject(ObjectKind::vm_list, "vms", 1, Text(1000, 1));
    const auto next = MakeObject(ObjectKind::vm_list, "vms", 2, Text(1000, 900));
    OfferObject(table, base, {}, core::Time{});
    OfferObject(table, next, {}, core::Time{});
    const auto reply = MakeFetchReply(table, base->key, base->stamp);
    CPPUNIT_ASSERT(!reply.full_object && DeltaBytes(*reply.delta) < 400);
    CPPUNIT_ASSERT(ApplyDelta(*base, *reply.delta)->content == next->content);
    CPPUNIT_ASSERT(MakeFetchReply(table, base->key, base->stamp).delta == reply.delta);
    CPPUNIT_ASSERT(MakeFetchReply(table, base->key, {}).full_object == next);
    const auto nothing = MakeFetchReply(table, base->key, next->stamp);
    CPPUNIT_ASSERT(!nothing.full_object && !nothing.delta);
  }

  auto testDamageIsRefused() -> void {
    const auto base = MakeObject(ObjectKind::vm_list, "vms", 1, Text(10, 1));
    const auto next = MakeObject(ObjectKind::vm_list, "vms", 2, Text(10, 2));
    auto delta = MakeDelta(*base, *next);
    CPPUNIT_ASSERT(!ApplyDelta(*next, delta));
    delta.steps.back().text += "x";
    CPPUNIT_ASSERT(!ApplyDelta(*base, delta));
    delta.steps.back().length = static_cast<std::size_t>(-1);
    CPPUNIT_ASSERT(!ApplyDelta(*base, delta));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeltaTest);

}  // namespace
}  // namespace filbertstair::config
