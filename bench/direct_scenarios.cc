#include <algorithm>
#include <cmath>
#include <random>

#include "direct_model.h"

namespace filbertstair::bench {
namespace {

using std::chrono::milliseconds;

// Requests like those of the moisture office, in tokens.
auto DrawClasses() -> std::vector<DirectClass> {
  return {{0.25, 5400, 6600, 1.4, 54000, 380, 312, milliseconds(1000)},
          {0.39, 200, 630, 1.0, 3300, 290, 738, milliseconds(500)},
          {0.36, 570, 1800, 1.3, 6900, 23, 1011, milliseconds(500)}};
}

}  // namespace

auto DrawScenario(std::uint64_t seed) -> DirectScenario {
  std::mt19937_64 random(seed);
  const auto uniform = [&](double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
  };
  DirectScenario scenario;
  scenario.entries = 27 + random() % 5;
  scenario.replicas = 50 + random() % 7;
  scenario.classes = DrawClasses();
  constexpr std::size_t workspaces = 30;
  constexpr double total_rate = 950;
  double weights = 0;
  for (std::size_t i = 0; i < workspaces; ++i) {
    DirectWorkspace workspace;
    workspace.name = "w" + std::to_string(i);
    workspace.rate = 1 / std::pow(static_cast<double>(i + 1), uniform(0.6, 1));
    weights += workspace.rate;
    // Callers of a workspace are in one domain, in a few, or in all.
    const auto spread = random() % 3;
    const std::size_t domains = spread == 0 ? 1 : spread == 1 ? 1 + random() % 3 : 6;
    std::vector<std::size_t> all = {0, 1, 2, 3, 4, 5};
    std::shuffle(all.begin(), all.end(), random);
    workspace.domains.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(domains));
    scenario.workspaces.push_back(std::move(workspace));
  }
  for (auto& workspace : scenario.workspaces) workspace.rate *= total_rate / weights;
  const std::size_t hot = 3 + random() % 9;
  const double factor = uniform(4, 11);
  for (std::size_t i = 0; i < hot; ++i) {
    auto& workspace = scenario.workspaces[random() % workspaces];
    workspace.hot_factor = factor;
    workspace.hot_from = uniform(1, 3);
    workspace.hot_to = workspace.hot_from + uniform(7, 10);
  }
  // A workspace with callers in all domains that asks for most while replicas are down.
  if (random() % 2 == 0) {
    scenario.crash_share = uniform(0.1, 0.3);
    scenario.crash_from = uniform(4, 7);
    scenario.crash_until = scenario.crash_from + uniform(1.5, 5);
    auto& workspace = scenario.workspaces[random() % workspaces];
    workspace.domains = {0, 1, 2, 3, 4, 5};
    workspace.hot_factor = factor;
    workspace.hot_from = scenario.crash_from;
    workspace.hot_to = scenario.seconds;
  }
  scenario.shift_share = random() % 2 == 0 ? uniform(0.3, 0.6) : 0;
  scenario.shift_to = random() % scenario.domains;
  scenario.shift_from = uniform(2, 5);
  scenario.shift_until = scenario.shift_from + uniform(4, 7);
  return scenario;
}

auto CrashScenario() -> DirectScenario {
  DirectScenario scenario;
  scenario.seconds = 13;
  scenario.classes = DrawClasses();
  scenario.crash_share = 0.25;
  scenario.crash_from = 5;
  scenario.crash_until = 9;
  const std::vector<std::size_t> all = {0, 1, 2, 3, 4, 5};
  for (int i = 0; i < 20; ++i) {
    scenario.workspaces.push_back(
        {.name = "small-" + std::to_string(i), .rate = 8, .domains = all});
  }
  scenario.workspaces.push_back({.name = "south", .rate = 700, .domains = {2}});
  scenario.workspaces.push_back({.name = "north", .rate = 220, .domains = {3}});
  scenario.workspaces.push_back({.name = "everywhere",
                                 .rate = 40,
                                 .hot_factor = 14,
                                 .hot_from = 5,
                                 .hot_to = 13,
                                 .domains = all});
  return scenario;
}

}  // namespace filbertstair::bench
