#ifndef FILBERTSTAIR_DIRECT_TEST_MAKE_PROMPT_H_
#define FILBERTSTAIR_DIRECT_TEST_MAKE_PROMPT_H_

#include <cstdint>
#include <vector>

#include "filbertstair/direct/kept.h"

namespace filbertstair::direct {

// Prompt with these shared blocks and one of its own.
inline auto MakePrompt(const std::vector<std::uint64_t>& shared) -> Prompt {
  constexpr std::uint64_t own = 1000;
  Prompt prompt;
  for (const auto id : shared) prompt.blocks.push_back({id, 100});
  prompt.blocks.push_back({own, 10});
  return prompt;
}

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_TEST_MAKE_PROMPT_H_
