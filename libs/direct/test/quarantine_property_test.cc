#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdint>
#include <random>
#include <set>
#include <vector>

#include "filbertstair/direct/quarantine.h"
#include "make_prompt.h"

namespace filbertstair::direct {
namespace {

using std::chrono::milliseconds;

class QuarantinePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantinePropertyTest);
  CPPUNIT_TEST(testDeadlyBlocksAreFoundAmongRandomTraffic);
  CPPUNIT_TEST(testDeadlyBlocksAreFoundInLongPrompts);
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
          RecordSoundResponse(random_table, this->policy, prompt, at);
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

  // Guards against deadly blocks that are never held back in prompts as long as a header of 16 KiB
  // allows, wherever the block stands and whatever its id is.
  auto testDeadlyBlocksAreFoundInLongPrompts() -> void {
    const bool held = rc::check([&] {
      constexpr std::size_t max_part = 1300;
      QuarantineTable random_table;
      std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
      const auto add_blocks = [&](std::vector<std::uint64_t> blocks, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) blocks.push_back(random());
        return blocks;
      };
      const auto beginning = add_blocks({}, *rc::gen::inRange<std::size_t>(1, max_part));
      const auto tail = *rc::gen::inRange<std::size_t>(1, max_part);
      const auto place = *rc::gen::inRange<std::size_t>(0, beginning.size() + tail);
      const auto deadly = *rc::gen::arbitrary<std::uint64_t>();
      const auto make_deadly_prompt = [&] {
        auto blocks = add_blocks(beginning, tail);
        blocks.insert(blocks.begin() + static_cast<std::ptrdiff_t>(place), deadly);
        return MakePrompt(blocks);
      };
      for (std::size_t crashes = 0; crashes < this->policy.crashes_to_quarantine; ++crashes) {
        const core::Time at{milliseconds(1000 * (crashes + 1))};
        const auto prompt = make_deadly_prompt();
        RC_ASSERT(!FindQuarantine(random_table, this->policy, prompt, at));
        const ReplicaCrash crash{std::to_string(crashes), at};
        const auto neighbor = MakePrompt(add_blocks(beginning, tail));
        for (const auto& lost : {prompt, neighbor}) {
          AddEvidence(random_table, this->policy, CollectEvidence(lost, crash));
        }
        const auto sound = MakePrompt(add_blocks(beginning, tail));
        RC_ASSERT(!FindQuarantine(random_table, this->policy, sound, at));
        RecordSoundResponse(random_table, this->policy, sound, at);
      }
      const core::Time end{milliseconds(5000)};
      const auto found = FindQuarantine(random_table, this->policy, make_deadly_prompt(), end);
      RC_ASSERT(found.has_value());
      RC_ASSERT(found->block == deadly);
      RC_ASSERT(random_table.dropped.crashes == std::size_t{0});
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantinePropertyTest);

}  // namespace
}  // namespace filbertstair::direct
