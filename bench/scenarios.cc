#include "scenarios.h"

#include <cmath>
#include <string>

namespace filbertstair::bench {

auto SixWorkspaces(double seconds) -> Scenario {
  Scenario s;
  s.name = "six";
  s.seconds = seconds;
  s.entry_regions.assign(9, 0);
  s.endpoints.resize(12);
  for (std::size_t l = 0; l < 6; ++l) {
    // 0.5 s to 8 s in equal ratios.
    const double mean = 0.5 * std::pow(16, static_cast<double>(l) / 5);
    s.loads.push_back({.workspace = "workspace-" + std::to_string(l),
                       .mean = mean,
                       .callers = 300,
                       .home = l,
                       .backlogged = true});
  }
  return s;
}

auto Today(bool flood) -> Scenario {
  Scenario s;
  s.name = flood ? "today-flood" : "today";
  s.entry_regions = {0, 0, 0, 1, 1, 1, 2, 2, 2};
  for (int p = 0; p < 12; ++p) s.endpoints.push_back({p % 3, 16, 0});
  for (int p = 0; p < 3; ++p) s.endpoints.push_back({p, 8, 1});
  s.settings.link_price = 1e6;
  for (std::size_t l = 0; l < 16; ++l) {
    // Three large workspaces, all at the first region's entries or the second's.
    const bool large = l < 3;
    const std::string name = "workspace-" + std::to_string(l);
    Load model{
        .workspace = name,
        .mean = large ? 2.0 * static_cast<double>(l + 1) : 0.5 + 0.25 * static_cast<double>(l % 8),
        .spread = Spread::exponential,
        .home = large ? l : l % 9,
        .at_home = 0.8};
    if (large) {
      model.callers = 300;
      model.backlogged = true;
    } else {
      model.rate = 1;
    }
    s.loads.push_back(model);
    Load application = model;
    application.workspace = name + "/application";
    application.pool = 1;
    application.mean = 0.05;
    application.spread = Spread::uniform;
    application.callers = 0;
    application.backlogged = false;
    application.rate = large ? 60 : 5;
    s.loads.push_back(application);
  }
  if (flood) {
    Load& model = s.loads[30];
    model.rate = 200;
    model.max_waiting = 100;
    // Not among the small workspaces whose waiting time is measured.
    model.backlogged = true;
  }
  return s;
}

auto ManyWorkspaces(std::size_t backlogged, std::size_t workspaces) -> Scenario {
  Scenario s;
  s.name = "many-" + std::to_string(backlogged);
  s.entry_regions.assign(9, 0);
  s.endpoints.resize(12);
  s.idle_workspaces = workspaces - backlogged;
  for (std::size_t l = 0; l < backlogged; ++l) {
    s.loads.push_back({.workspace = "workspace-" + std::to_string(l),
                       .mean = 0.5 * std::pow(16, static_cast<double>(l % 6) / 5),
                       .callers = 3,
                       .home = l % 9,
                       .backlogged = true});
  }
  return s;
}

auto Refuting() -> std::vector<Scenario> {
  std::vector<Scenario> all;
  Scenario s = SixWorkspaces(400);
  s.name = "one-entry-99";
  for (Load& l : s.loads) l.at_home = 0.99;
  all.push_back(s);

  s = SixWorkspaces(400);
  s.name = "exponential";
  for (Load& l : s.loads) l.spread = Spread::exponential;
  all.push_back(s);

  s = SixWorkspaces(400);
  s.name = "weights";
  for (std::size_t l = 0; l < s.loads.size(); ++l) {
    s.loads[l].weight = 1 + static_cast<double>(l % 3);
  }
  all.push_back(s);

  // A workspace with one request at a time is entitled to one slot only; the short ones compete.
  s = SixWorkspaces(400);
  s.name = "one-long-many-short";
  for (Load& l : s.loads) l.mean = 0.1;
  s.loads[0] = {.workspace = "long", .mean = 60, .callers = 1, .home = 0};
  all.push_back(s);

  s = SixWorkspaces(400);
  s.name = "one-of-16";
  s.loads.resize(1);
  s.idle_workspaces = 15;
  all.push_back(s);

  s = SixWorkspaces(400);
  s.name = "hints-wrong";
  for (std::size_t l = 0; l < s.loads.size(); ++l) s.loads[l].hint_error = l % 2 == 0 ? 0.1 : 10;
  all.push_back(s);

  // Two backlogged workspaces at the entries of region 0, whose endpoints are saturated first.
  s = Today(false);
  s.name = "one-region-saturated";
  for (Load& l : s.loads) {
    if (l.backlogged) {
      l.callers = 100;
      l.home = 0;
      l.at_home = 1;
    }
  }
  all.push_back(s);
  return all;
}

auto Alternatives() -> std::vector<Scenario> {
  std::vector<Scenario> all;
  const Scenario six = SixWorkspaces(400);
  for (const auto& [publish, name] : core::kNames<shares::PublishMode>) {
    Scenario s = six;
    s.name = "estimates, publish " + std::string(name);
    s.settings.lookahead = 0;
    s.settings.publish = publish;
    all.push_back(s);
  }
  Scenario s = six;
  s.name = "no exchange";
  s.feeders = 0;
  all.push_back(s);
  for (const double period : {0.25, 2.0, 4.0}) {
    s = six;
    s.name = "period " + std::to_string(period).substr(0, 4) + " s";
    s.period = period;
    all.push_back(s);
  }
  for (const core::Cost lookahead : {1, 2, 8, 16}) {
    s = six;
    s.name = "lookahead " + std::to_string(lookahead) + " s";
    s.settings.lookahead = lookahead * 1'000'000;
    all.push_back(s);
  }
  s = six;
  s.name = "no dither";
  s.settings.dither = 0;
  all.push_back(s);
  s = six;
  s.name = "no extrapolation";
  s.extrapolate = false;
  all.push_back(s);
  return all;
}

}  // namespace filbertstair::bench
