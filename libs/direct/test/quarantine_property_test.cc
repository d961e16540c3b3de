#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

#include "filbertstair/direct/quarantine.h"
#include "make_prompt.h"

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;

class QuarantinePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantinePropertyTest);
  CPPUNIT_TEST(testDeadlyBlocksAreFoundAmongRandomTraffic);
  CPPUNIT_TEST_SUITE_END();

  const QuarantinePolicy policy{};

 public:
  // Guards against deadly blocks that go unnoticed, and against sound ones that are held back,
  // whatever the mix of the two and the number of requests beside the one that crashed. A sound
  // block that was cut in every crash looks like the deadly one until a sound response to it; then
  // one more crash is allowed, and the block may be held back if that crash has it as well.
  auto testDeadlyBlocksAreFoundAmongRandomTraffic() -> void {
    const bool held = rc::check([&] {
      QuarantineTable random_table;
      const auto deadly = *rc::gen::inRange<std::uint64_t>(100, 104);
      int crashes = 0;
      int time_ms = 0;
      std::set<std::uint64_t> sound;
      // The block without a sound response that was cut beside the deadly one in every crash; 0 if
      // there is none.
      std::uint64_t twin = 0;
      for (int step = 0; step < 400; ++step) {
        time_ms += *rc::gen::inRange(5, 60);
        const core::Time at{milliseconds(time_ms)};
        const auto beginning = *rc::gen::inRange<std::uint64_t>(1, 4);
        const bool is_deadly = *rc::gen::inRange(0, 20) == 0;
        const auto middle = is_deadly ? deadly : *rc::gen::inRange<std::uint64_t>(10, 40);
        const auto prompt = MakePrompt({beginning, middle});
        const auto quarantine = FindQuarantine(random_table, this->policy, prompt, at);
        RC_ASSERT(is_deadly || !quarantine || (crashes > 3 && twin == middle));
        if (quarantine) continue;
        if (!is_deadly) {
          RecordSoundResponse(random_table, prompt, at);
          sound.insert(middle);
          if (twin == middle) twin = 0;
          continue;
        }
        ++crashes;
        RC_ASSERT(crashes <= 3 || (crashes == 4 && twin != 0));
        // A few sound requests had just begun at the replica, too.
        const ReplicaCrash crash{std::to_string(step), at};
        const auto beside = *rc::gen::inRange<std::uint64_t>(10, 40);
        const auto neighbor = MakePrompt({beginning, beside});
        if (crashes == 1 && !sound.contains(beside)) twin = beside;
        if (twin != beside) twin = 0;
        for (const auto& lost : {prompt, neighbor}) {
          AddEvidence(random_table, this->policy, CollectEvidence(lost, crash));
        }
      }
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantinePropertyTest);

}  // namespace
}  // namespace filbertstair::direct
