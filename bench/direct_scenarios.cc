#include <algorithm>
#include <cmath>
#include <random>

#include "direct_model.h"

namespace filbertstair::bench {
namespace {

using std::chrono::milliseconds;

// Parts of a core of the strongest and the weakest entries in use.
constexpr double kStrongCores = 0.5;
constexpr double kWeakCores = 0.09;

// Requests like those of the moisture office, in tokens.
auto DrawClasses() -> std::vector<DirectClass> {
  return {{0.25, 5400, 6600, 1.4, 54000, 380, 312, milliseconds(1000), milliseconds(4000), false},
          {0.39, 200, 630, 1.0, 3300, 290, 738, milliseconds(500), milliseconds(3000), false},
          {0.36, 570, 1800, 1.3, 6900, 23, 1011, milliseconds(500), milliseconds(2500), true}};
}

// Has the balancer place the callers as on the day of the incident: those of a workspace in one
// failure domain are one client, the others are spread.
auto PlaceCallers(DirectScenario& scenario, std::size_t spread) -> void {
  for (auto& workspace : scenario.workspaces) {
    const bool one = workspace.domains.size() == 1;
    workspace.clients = one ? 1 : spread;
    workspace.returns = one ? DirectReturn::hashed_again : DirectReturn::another_entry;
  }
}

// Draws the strengths of the entries, and the balancer's clients and hash.
auto DrawUnequal(std::uint64_t seed, DirectScenario& scenario) -> void {
  // A source of its own, so that the rest of the day is that without unequal entries.
  std::seed_seq source{seed, std::uint64_t{1}};
  std::mt19937_64 random(source);
  const std::size_t positions = scenario.entries / scenario.domains + 1;
  const std::size_t strong = 1 + random() % (positions - 1);
  for (std::size_t i = 0; i < scenario.entries; ++i) {
    scenario.cores.push_back(i / scenario.domains < strong ? kStrongCores : kWeakCores);
  }
  scenario.callers.hash_seed = random();
  PlaceCallers(scenario, 1 + random() % 8);
}

}  // namespace

auto DrawScenario(std::uint64_t seed, bool unequal) -> DirectScenario {
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
  if (unequal) DrawUnequal(seed, scenario);
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

auto FloodScenario() -> DirectScenario {
  DirectScenario scenario;
  scenario.seconds = 16;
  scenario.classes = DrawClasses();
  // Two strong entries in each failure domain, and two or three weak ones.
  constexpr std::size_t strong = 2;
  for (std::size_t i = 0; i < scenario.entries; ++i) {
    scenario.cores.push_back(i / scenario.domains < strong ? kStrongCores : kWeakCores);
  }
  // With this hash the weak entries of the flood's failure domain come before the strong ones.
  scenario.callers.hash_seed = 13;
  const std::vector<std::size_t> all = {0, 1, 2, 3, 4, 5};
  for (int i = 0; i < 20; ++i) {
    scenario.workspaces.push_back(
        {.name = "small-" + std::to_string(i), .rate = 4, .domains = all});
  }
  scenario.workspaces.push_back({.name = "large", .rate = 270, .domains = all});
  scenario.workspaces.push_back({.name = "middle", .rate = 120, .domains = all});
  scenario.workspaces.push_back(
      {.name = "flood", .rate = 20, .hot_factor = 30, .hot_from = 8, .hot_to = 16, .domains = {1}});
  constexpr std::size_t spread = 8;
  PlaceCallers(scenario, spread);
  return scenario;
}

}  // namespace filbertstair::bench
