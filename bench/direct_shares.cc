#include <CLI/CLI.hpp>
#include <cstdio>
#include <future>
#include <vector>

#include "direct_model.h"

namespace filbertstair::bench {
namespace {

enum class Day { drawn, unequal, crash, flood };

struct Line {
  std::uint64_t seed = 0;
  double seconds = 0;
  DirectResult result;
  DirectShare least;
};

auto MakeScenario(Day day, std::uint64_t seed) -> DirectScenario {
  switch (day) {
    case Day::crash:
      return CrashScenario();
    case Day::flood:
      return FloodScenario();
    default:
      return DrawScenario(seed, day == Day::unequal);
  }
}

auto RunSeed(Day day, std::uint64_t seed) -> Line {
  const auto scenario = MakeScenario(day, seed);
  Line line{seed, scenario.seconds, Run(scenario, seed), {}};
  line.least = LeastShare(line.result);
  return line;
}

auto Print(const Line& line) -> void {
  const auto& result = line.result;
  std::printf(
      "seed %3lu least share %.2f (%s from %zu s: %.0f of %.0f) tokens/s %.0f on time %lu "
      "late %lu refused %lu unreachable %lu abandoned %lu given up %lu read again %.0f\n",
      static_cast<unsigned long>(line.seed), line.least.share, line.least.workspace.c_str(),
      line.least.second, line.least.got, line.least.due, result.begun / line.seconds,
      static_cast<unsigned long>(result.on_time), static_cast<unsigned long>(result.late),
      static_cast<unsigned long>(result.refused), static_cast<unsigned long>(result.unreachable),
      static_cast<unsigned long>(result.abandoned), static_cast<unsigned long>(result.given_up),
      result.read_again);
}

// Prints what the workspace with the least share asked and got in a second, and the same for each
// entry where it asked.
auto PrintSecond(const DirectResult& result, const std::string& workspace, std::size_t second)
    -> void {
  constexpr double percent = 100;
  const auto& whole = result.seconds.at(workspace)[second];
  std::printf("  %2zu s asked %.0f begun %.0f\n", second, whole.asked, whole.begun);
  for (const auto& entry : result.entries) {
    const auto& load = entry.seconds[second];
    const auto use = load.uses.find(workspace);
    if (use == load.uses.end()) continue;
    const double capacity = entry.cores * 1000;
    std::printf(
        "       %s (%.2f cores%s) requests %zu refused %zu admitted %.0f begun %.0f "
        "busy %.0f%% refusing %.0f%%\n",
        entry.id.c_str(), entry.cores, load.in_rotation ? "" : ", out of rotation",
        use->second.requests, use->second.refused, use->second.admitted, use->second.begun,
        percent * load.busy_ms / capacity, percent * load.refusing_ms / capacity);
  }
}

auto PrintSeconds(const Line& line, const std::string& workspace) -> void {
  if (!line.result.seconds.contains(workspace)) return;
  std::printf("  %s\n", workspace.c_str());
  for (std::size_t i = 0; i < static_cast<std::size_t>(line.seconds); ++i) {
    PrintSecond(line.result, workspace, i);
  }
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
  bool flood = false;
  bool unequal = false;
  std::string details;
  app.add_option("--first", first, "First seed");
  app.add_option("--seeds", seeds, "Number of seeds");
  app.add_option("--jobs", jobs, "Runs at once");
  app.add_flag("--crash", crash, "Run the scenario of crashed replicas, not drawn ones");
  app.add_flag("--flood", flood, "Run the scenario of a flood at weak entries, not drawn ones");
  app.add_flag("--unequal", unequal, "Draw entries of unequal strength and clients too");
  app.add_option("--details", details,
                 "Workspace of which each second is printed; with --flood, else the one with the "
                 "least share");
  CLI11_PARSE(app, argc, argv);
  const auto day = crash ? Day::crash : flood ? Day::flood : unequal ? Day::unequal : Day::drawn;
  std::size_t broken = 0;
  for (std::uint64_t next = first; next < first + seeds;) {
    std::vector<std::future<Line>> lines;
    for (; lines.size() < jobs && next < first + seeds; ++next) {
      lines.push_back(std::async(std::launch::async, RunSeed, day, next));
    }
    for (auto& line : lines) {
      const auto done = line.get();
      Print(done);
      if (flood && details.empty()) PrintSeconds(done, done.least.workspace);
      if (!details.empty()) PrintSeconds(done, details);
      if (done.least.share < kFairShare) ++broken;
    }
  }
  std::printf("%zu of %lu seeds below a share of %.2f\n", broken, static_cast<unsigned long>(seeds),
              kFairShare);
  return broken == 0 ? 0 : 1;
}
