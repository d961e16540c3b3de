#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstddef>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "filbertstair/shares/exchange.h"

namespace filbertstair::shares {
namespace {

// Sources that an entry hears, as at an entry that feeds the endpoints of its region today.
constexpr Source kSources = 12;

struct Size {
  std::int64_t backlogged;
  std::int64_t workspaces;
};
constexpr Size kSizes[] = {{16, 160}, {50, 500}, {150, 1500}, {500, 5000}, {1500, 15000}};

auto NewTable(std::int64_t workspaces) -> ShareTable {
  ShareTable table;
  InternService(table, "service");
  for (std::int64_t i = 0; i < workspaces; ++i) {
    InternWorkspace(table, "workspace-" + std::to_string(i));
  }
  for (Source s = 0; s < kSources; ++s) {
    MarkSourceLinked(table, InternSource(table, "endpoint-" + std::to_string(s)));
  }
  return table;
}

// Lets every source report about every workspace.
auto HearAll(ShareTable& table) -> void {
  for (Workspace w = 0; w < table.rows.size(); ++w) {
    for (Source s = 0; s < kSources; ++s) MergeCounter(table, w, s, 1, 1000 + w, 1);
  }
}

auto MeasureMerge(benchmark::State& state) -> void {
  ShareTable table = NewTable(state.range(1));
  HearAll(table);
  Cost counter = 1'000'000;
  Workspace w = 0;
  for (auto _ : state) {
    MergeCounter(table, w, w % kSources, 1, ++counter, 1);
    w = static_cast<Workspace>((w + 1) % state.range(0));
  }
}

auto MeasurePick(benchmark::State& state) -> void {
  ShareTable table = NewTable(state.range(1));
  table.settings.peer_count = kSources - 1;
  std::vector<Candidate> demand;
  for (Workspace w = 0; w < state.range(0); ++w) demand.push_back({w, 1, false, 1});
  // A full endpoint: each pick follows the end of one of 16 requests.
  ChargeId next = 0;
  double now = 0;
  for (auto _ : state) {
    const Time time{Duration(static_cast<std::int64_t>(now += 1000))};
    if (next >= 16) SettleCharge(table, next - 16, 1000);
    AddCharge(table, next, demand[*PickCandidate(table, demand, time)].workspace, 0, 1000);
    StartCharge(table, next++, time);
  }
}

auto MeasureSelect(benchmark::State& state) -> void {
  ShareTable table = NewTable(state.range(1));
  HearAll(table);
  ExchangeLink link{.feed = Feed::totals, .peer = 0, .incarnation = 1};
  SelectUpdates(table, link, std::size_t{1} << 30);
  Cost counter = 1'000'000;
  for (auto _ : state) {
    state.PauseTiming();
    ++counter;
    for (Workspace w = 0; w < state.range(0); ++w) MergeCounter(table, w, 1, 1, counter + w, 1);
    state.ResumeTiming();
    benchmark::DoNotOptimize(SelectUpdates(table, link, 100));
  }
}

auto InUse() -> double { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd); }

// Memory per workspace of a table, with the rows of 12 sources and one link if `feeder`.
auto MemoryPerWorkspace(std::int64_t workspaces, bool feeder) -> double {
  const double before = InUse();
  ShareTable table = NewTable(workspaces);
  ExchangeLink link{.feed = Feed::totals, .peer = 0, .incarnation = 1};
  if (feeder) {
    HearAll(table);
    SelectUpdates(table, link, std::size_t{1} << 30);
  }
  return (InUse() - before) / static_cast<double>(workspaces);
}

// Collects the time per call by name and number of backlogged workspaces.
class TableReporter : public benchmark::BenchmarkReporter {
 public:
  auto ReportContext(const Context&) -> bool override { return true; }
  auto ReportRuns(const std::vector<Run>& runs) -> void override {
    for (const Run& run : runs) {
      this->times[run.run_name.function_name].push_back(run.GetAdjustedCPUTime());
    }
  }

  std::map<std::string, std::vector<double>> times;
};

auto Main(int argc, char** argv) -> int {
  for (const Size& size : kSizes) {
    for (auto* const function : {MeasureMerge, MeasurePick, MeasureSelect}) {
      const char* name = function == MeasureMerge  ? "Merge"
                         : function == MeasurePick ? "Pick"
                                                   : "SelectUpdates";
      benchmark::RegisterBenchmark(name, function)->Args({size.backlogged, size.workspaces});
    }
  }
  benchmark::Initialize(&argc, argv);
  TableReporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  std::cout << "# Slopes of the share table\n\n"
               "Written by `./scripts/bench`. Processor time per call in microseconds; "
               "SelectUpdates with all\n"
               "backlogged workspaces changed and a budget of 100 bytes. Memory per workspace in "
               "bytes: at an\n"
               "endpoint, and at a feeder with the rows of 12 sources and one link.\n\n"
               "| backlogged | workspaces | Merge | Pick | SelectUpdates | endpoint | feeder |\n"
               "| --- | --- | --- | --- | --- | --- | --- |\n"
            << std::fixed;
  for (std::size_t i = 0; i < std::size(kSizes); ++i) {
    const Size& size = kSizes[i];
    std::cout << "| " << size.backlogged << " | " << size.workspaces << std::setprecision(3);
    for (const char* name : {"Merge", "Pick", "SelectUpdates"}) {
      std::cout << " | " << reporter.times[name].at(i) / 1000;
    }
    std::cout << std::setprecision(0) << " | " << MemoryPerWorkspace(size.workspaces, false)
              << " | " << MemoryPerWorkspace(size.workspaces, true) << " |\n";
  }
  return 0;
}

}  // namespace
}  // namespace filbertstair::shares

auto main(int argc, char** argv) -> int { return filbertstair::shares::Main(argc, argv); }
