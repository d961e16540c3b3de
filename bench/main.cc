#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json/src.hpp>
#include <cmath>
#include <fstream>
#include <functional>
#include <future>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "harness.h"
#include "scenarios.h"

namespace filbertstair::bench {
namespace {

// Bounds of section 1.5 of the design page.
constexpr double kBaselineShare = 1.0 / 50;
constexpr double kLargestRequests = 5;
constexpr double kRatio = 1.02;
constexpr double kBusy = 0.995;
constexpr double kNodeBytes = 5000;

struct Figure {
  const char* name;
  double Result::*value;
  int digits;
};

constexpr Figure kFigures[] = {
    {"gap_end", &Result::gap_end, 1},
    {"gap_steady", &Result::gap_steady, 1},
    {"gap_max", &Result::gap_max, 1},
    {"gap_late", &Result::gap_late, 1},
    {"gap_mean", &Result::gap_mean, 1},
    {"ratio", &Result::ratio, 4},
    {"largest", &Result::largest, 1},
    {"busy", &Result::busy, 4},
    {"node_bytes", &Result::node_bytes, 0},
    {"region_bytes", &Result::region_bytes, 0},
    {"node_messages", &Result::node_messages, 0},
    {"demand_bytes", &Result::demand_bytes, 0},
    {"grant_bytes", &Result::grant_bytes, 0},
    {"room_bytes", &Result::room_bytes, 0},
    {"counter_bytes", &Result::counter_bytes, 0},
    {"wait_p50", &Result::wait_p50, 3},
    {"wait_p95", &Result::wait_p95, 3},
    {"wait_p99", &Result::wait_p99, 3},
    {"small_p50", &Result::small_p50, 4},
    {"small_p99", &Result::small_p99, 3},
};

struct Line {
  std::string scenario;
  double seconds;
  Policy policy;
  std::vector<Result> runs;
};

auto Mean(const Line& line, double Result::*value) -> double {
  double sum = 0;
  for (const Result& run : line.runs) sum += run.*value;
  return sum / static_cast<double>(line.runs.size());
}

auto Largest(const Line& line, double Result::*value) -> double {
  double most = line.runs.front().*value;
  for (const Result& run : line.runs) most = std::max(most, run.*value);
  return most;
}

auto Least(const Line& line, double Result::*value) -> double {
  double least = line.runs.front().*value;
  for (const Result& run : line.runs) least = std::min(least, run.*value);
  return least;
}

// Mean of all blocks of all runs, and its standard error.
struct Sample {
  double mean = 0;
  double error = 0;
};

auto Pool(const Line& line, std::vector<double> Result::*blocks) -> Sample {
  std::vector<double> all;
  for (const Result& run : line.runs) {
    all.insert(all.end(), (run.*blocks).begin(), (run.*blocks).end());
  }
  const auto count = static_cast<double>(all.size());
  const double mean = std::accumulate(all.begin(), all.end(), 0.0) / count;
  double squares = 0;
  for (const double value : all) squares += (value - mean) * (value - mean);
  return {mean, std::sqrt(squares / (count - 1) / count)};
}

auto RunAll(const Scenario& scenario, Policy policy, std::uint64_t seeds) -> Line {
  Line line{scenario.name, scenario.seconds, policy, {}};
  std::vector<std::future<Result>> runs;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    runs.push_back(std::async(std::launch::async, Run, std::cref(scenario), policy, seed));
  }
  for (auto& run : runs) line.runs.push_back(run.get());
  std::cerr << "." << std::flush;
  return line;
}

auto WriteJson(const std::vector<Line>& lines, const std::string& file) -> void {
  boost::json::array all;
  for (const Line& line : lines) {
    for (std::size_t i = 0; i < line.runs.size(); ++i) {
      boost::json::object run{
          {"scenario", line.scenario},         {"seconds", line.seconds},
          {"policy", core::Name(line.policy)}, {"seed", i + 1},
          {"finished", line.runs[i].finished}, {"refused", line.runs[i].refused}};
      for (const Figure& f : kFigures) run[f.name] = line.runs[i].*f.value;
      all.push_back(run);
    }
  }
  std::ofstream(file) << boost::json::serialize(all) << "\n";
}

auto WriteTable(const std::vector<Line>& lines, const std::string& file) -> void {
  std::ofstream out(file);
  out << "# Fairness benchmark\n\n"
         "Written by `./scripts/bench`. Means over "
      << lines.front().runs.size()
      << " seeds; gap_max, gap_steady and node_bytes are the largest over the seeds, busy the "
         "least.\n"
         "Gaps, costs and waiting times in seconds, traffic in bytes per second of control streams "
         "without TCP/IP\nheaders; node_bytes counts both directions of the busiest node.\n\n"
         "| scenario | s | policy |";
  for (const Figure& f : kFigures) out << ' ' << f.name << " |";
  out << "\n| --- | --- | --- |";
  for (std::size_t i = 0; i < std::size(kFigures); ++i) out << " --- |";
  out << "\n" << std::fixed;
  for (const Line& line : lines) {
    out << "| " << line.scenario << " | " << std::setprecision(0) << line.seconds << " | "
        << core::Name(line.policy) << " |";
    for (const Figure& f : kFigures) {
      double value = Mean(line, f.value);
      if (f.value == &Result::gap_max || f.value == &Result::gap_steady ||
          f.value == &Result::node_bytes) {
        value = Largest(line, f.value);
      }
      if (f.value == &Result::busy) value = Least(line, f.value);
      out << ' ' << std::setprecision(f.digits) << value << " |";
    }
    out << "\n";
  }
}

auto Check(bool holds, const std::string& text, double value, double bound) -> bool {
  std::cout << (holds ? "ok     " : "MISSED ") << text << ": " << value << " (bound " << bound
            << ")\n";
  return holds;
}

// Compares the figures with the targets of section 1.5.
auto CheckTargets(const Line& baseline, const Line& fleet, const Line& longer, const Line& many)
    -> bool {
  bool ok = true;
  const auto below = [&](const std::string& text, double value, double bound) {
    ok = Check(value <= bound, text, value, bound) && ok;
  };
  below("gap at the end, share of least load", Largest(fleet, &Result::gap_end),
        Least(baseline, &Result::gap_end) * kBaselineShare);
  const double largest = kLargestRequests * Least(fleet, &Result::largest);
  below("gap at the end", Largest(fleet, &Result::gap_end), largest);
  below("largest gap after the first 60 s", Largest(fleet, &Result::gap_steady), largest);
  below("largest gap after the first 60 s, four times longer", Largest(longer, &Result::gap_steady),
        largest);
  below("largest gap, four times longer, against 400 s", Largest(longer, &Result::gap_max),
        Largest(fleet, &Result::gap_max));
  below("mean gap, four times longer, against 400 s", Mean(longer, &Result::gap_mean),
        Mean(fleet, &Result::gap_mean));
  const Sample early = Pool(longer, &Result::early_blocks);
  const Sample late = Pool(longer, &Result::late_blocks);
  below("mean gap of the last 340 s against 60 s to 400 s, with three standard errors", late.mean,
        early.mean + 3 * std::hypot(early.error, late.error));
  below("ratio of largest to smallest service", Largest(fleet, &Result::ratio), kRatio);
  ok =
      Check(Least(fleet, &Result::busy) >= kBusy, "busy", Least(fleet, &Result::busy), kBusy) && ok;
  below("bytes per node", Largest(fleet, &Result::node_bytes), kNodeBytes);
  below("bytes per node, 1,500 of 15,000", Largest(many, &Result::node_bytes), kNodeBytes);
  ok = Check(Least(many, &Result::busy) >= kBusy, "busy, 1,500 of 15,000",
             Least(many, &Result::busy), kBusy) &&
       ok;
  return ok;
}

auto Main(int argc, char** argv) -> int {
  CLI::App app("Compares ways to share a fleet under a virtual clock");
  std::uint64_t seeds = 3;
  std::string json;
  std::string table;
  bool only_targets = false;
  app.add_option("--seeds", seeds, "Runs per scenario and policy, in parallel")
      ->check(CLI::Range(1, 8));
  app.add_option("--json", json, "File for all figures of all runs");
  app.add_option("--table", table, "File for a table of means");
  app.add_flag("--targets", only_targets, "Run only what the targets need");
  CLI11_PARSE(app, argc, argv);

  const Scenario six = SixWorkspaces(400);
  const Scenario longer = SixWorkspaces(1600);
  std::vector<Line> lines;
  lines.push_back(RunAll(six, Policy::least_load, seeds));
  lines.push_back(RunAll(six, Policy::fleet, seeds));
  lines.push_back(RunAll(longer, Policy::fleet, seeds));
  lines.push_back(RunAll(ManyWorkspaces(1500, 15000), Policy::fleet, seeds));
  if (!only_targets) {
    lines.push_back(RunAll(six, Policy::round_robin, seeds));
    for (const bool flood : {false, true}) {
      for (const auto& [policy, name] : core::kNames<Policy>) {
        lines.push_back(RunAll(Today(flood), policy, seeds));
      }
    }
    for (const Scenario& s : Refuting()) {
      lines.push_back(RunAll(s, Policy::least_load, seeds));
      lines.push_back(RunAll(s, Policy::fleet, seeds));
    }
    for (const Scenario& s : Alternatives()) lines.push_back(RunAll(s, Policy::fleet, seeds));
  }
  std::cerr << "\n";
  if (!json.empty()) WriteJson(lines, json);
  if (!table.empty()) WriteTable(lines, table);
  return CheckTargets(lines[0], lines[1], lines[2], lines[3]) ? 0 : 1;
}

}  // namespace
}  // namespace filbertstair::bench

auto main(int argc, char** argv) -> int { return filbertstair::bench::Main(argc, argv); }
