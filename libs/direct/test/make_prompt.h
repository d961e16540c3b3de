#ifndef FILBERTSTAIR_DIRECT_TEST_MAKE_PROMPT_H_
#define FILBERTSTAIR_DIRECT_TEST_MAKE_PROMPT_H_

#include <cstdint>
#include <vector>

#include "filbertstair/direct/kept.h"

namespace filbertstair::direct {

// Prompt with these shared blocks and one of its own, which no other prompt has.
inline auto MakePrompt(const std::vector<std::uint64_t>& shared) -> Prompt {
  static std::uint64_t own = 1'000'000;
  Prompt prompt;
  for (const auto id : shared) prompt.blocks.push_back({id, 100});
  prompt.blocks.push_back({++own, 10});
  return prompt;
}

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_TEST_MAKE_PROMPT_H_
