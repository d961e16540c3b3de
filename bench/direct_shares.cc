#include <CLI/CLI.hpp>
#include <cstdio>
#include <future>
#include <vector>

#include "direct_model.h"

namespace filbertstair::bench {
namespace {

struct Line {
  std::uint64_t seed = 0;
  double seconds = 0;
  DirectResult result;
  DirectShare least;
};

auto RunSeed(bool crash, std::uint64_t seed) -> Line {
  const auto scenario = crash ? CrashScenario() : DrawScenario(seed);
  Line line{seed, scenario.seconds, Run(scenario, seed), {}};
  line.least = LeastShare(line.result);
  return line;
}

auto Print(const Line& line) -> void {
  const auto& result = line.result;
  std::printf(
      "seed %3lu least share %.2f (%s from %zu s: %.0f of %.0f) tokens/s %.0f on time %lu "
      "late %lu refused %lu unreachable %lu read again %.0f\n",
      static_cast<unsigned long>(line.seed), line.least.share, line.least.workspace.c_str(),
      line.least.second, line.least.got, line.least.due, result.begun / line.seconds,
      static_cast<unsigned long>(result.on_time), static_cast<unsigned long>(result.late),
      static_cast<unsigned long>(result.refused), static_cast<unsigned long>(result.unreachable),
      result.read_again);
}

}  // namespace
}  // namespace filbertstair::bench

// Runs drawn days of the model of entries that admit by themselves and prints the least share of a
// workspace on each. Fails if one is below a half.
auto main(int argc, char** argv) -> int {
  using namespace filbertstair::bench;
  CLI::App app("Shares of workspaces where entries admit by themselves");
  std::uint64_t first = 1;
  std::uint64_t seeds = 2;
  std::size_t jobs = 2;
  bool crash = false;
  app.add_option("--first", first, "First seed");
  app.add_option("--seeds", seeds, "Number of seeds");
  app.add_option("--jobs", jobs, "Runs at once");
  app.add_flag("--crash", crash, "Run the scenario of crashed replicas, not drawn ones");
  CLI11_PARSE(app, argc, argv);
  std::size_t broken = 0;
  for (std::uint64_t next = first; next < first + seeds;) {
    std::vector<std::future<Line>> lines;
    for (; lines.size() < jobs && next < first + seeds; ++next) {
      lines.push_back(std::async(std::launch::async, RunSeed, crash, next));
    }
    for (auto& line : lines) {
      const auto done = line.get();
      Print(done);
      if (done.least.share < kFairShare) ++broken;
    }
  }
  std::printf("%zu of %lu seeds below a share of %.2f\n", broken, static_cast<unsigned long>(seeds),
              kFairShare);
  return broken == 0 ? 0 : 1;
}
