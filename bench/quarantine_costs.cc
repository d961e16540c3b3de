// Processor time that the quarantine takes from a request, by the number of blocks in its prompt.
#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "filbertstair/direct/quarantine.h"

namespace filbertstair::direct {
namespace {

constexpr std::uint64_t kCrashes = 3;

// Returns a prompt of `count` blocks.
auto MakePrompt(std::uint64_t first, std::int64_t count) -> Prompt {
  constexpr std::uint64_t spread = 0x9e3779b97f4a7c15;
  Prompt prompt;
  for (std::int64_t i = 0; i < count; ++i) {
    prompt.blocks.push_back({(first + static_cast<std::uint64_t>(i)) * spread, 16});
  }
  return prompt;
}

// Returns a table with crashes under prompts of `count` blocks that have nothing in common.
auto MakeTable(const QuarantinePolicy& policy, std::int64_t count) -> QuarantineTable {
  QuarantineTable table;
  for (std::uint64_t i = 1; i <= kCrashes; ++i) {
    AddEvidence(table, policy,
                CollectEvidence(MakePrompt(i << 32, count),
                                {std::to_string(i), core::Time(std::chrono::seconds(i))}));
  }
  return table;
}

auto ListIds(benchmark::State& state) -> void {
  const auto prompt = MakePrompt(1, state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(ListBlockIds(prompt));
}
BENCHMARK(ListIds)->Arg(3)->Arg(700)->Arg(2646);

// A request whose prompt no crash has cut, beside a table of crashes under long prompts.
auto CheckUnsuspectedPrompt(benchmark::State& state) -> void {
  const QuarantinePolicy policy;
  const auto table = MakeTable(policy, state.range(0));
  const auto prompt = MakePrompt(1, state.range(0));
  const core::Time now(std::chrono::seconds(10));
  for (auto _ : state) benchmark::DoNotOptimize(FindQuarantine(table, policy, prompt, now));
}
BENCHMARK(CheckUnsuspectedPrompt)->Arg(3)->Arg(700)->Arg(2646);

// A request with one block of a prompt that was cut, where one crash ends its retries.
auto CheckRetry(benchmark::State& state) -> void {
  const QuarantinePolicy policy{.crashes_to_stop_retries = 1};
  const auto table = MakeTable(policy, state.range(0));
  auto prompt = MakePrompt(1, state.range(0) - 1);
  prompt.blocks.push_back(MakePrompt(kCrashes << 32, 1).blocks.front());
  const core::Time now(std::chrono::seconds(10));
  for (auto _ : state) benchmark::DoNotOptimize(MayRetryAfterCrash(table, policy, prompt, now));
}
BENCHMARK(CheckRetry)->Arg(3)->Arg(700)->Arg(2646);

auto RecordCrash(benchmark::State& state) -> void {
  const QuarantinePolicy policy;
  auto table = MakeTable(policy, state.range(0));
  std::uint64_t crash = kCrashes;
  for (auto _ : state) {
    ++crash;
    const core::Time at{std::chrono::seconds(crash)};
    AddEvidence(
        table, policy,
        CollectEvidence(MakePrompt(crash << 32, state.range(0)), {std::to_string(crash), at}));
    RemoveOldEvidence(table, policy, at);
  }
}
BENCHMARK(RecordCrash)->Arg(3)->Arg(700)->Arg(2646);

auto RecordSound(benchmark::State& state) -> void {
  const QuarantinePolicy policy;
  auto table = MakeTable(policy, state.range(0));
  const auto prompt = MakePrompt(1, state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        RecordSoundResponse(table, policy, prompt, core::Time(std::chrono::seconds(10))));
  }
}
BENCHMARK(RecordSound)->Arg(3)->Arg(700)->Arg(2646);

}  // namespace
}  // namespace filbertstair::direct

BENCHMARK_MAIN();
