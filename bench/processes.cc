// Measures daemons as processes on loopback with the stand-ins: added latency, idle and loaded
// cost, and configuration changes. Writes processes.json and processes.md.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "load.h"
#include "probe.h"
#include "tests/standins/history.h"

namespace filbertstair::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kReady = seconds(60);
constexpr auto kStop = seconds(20);
// Time after the start until connections and versions have settled: three control periods.
constexpr auto kSettle = seconds(3);
constexpr auto kChangeInterval = milliseconds(200);
// Time that an accepted configuration may take to be in force everywhere.
constexpr auto kInForce = seconds(5);
constexpr double kKibibyte = 1024;
constexpr double kMebibyte = kKibibyte * kKibibyte;
constexpr double kPercent = 100;
constexpr double kMicroseconds = 1e6;

using Row = std::vector<json::value>;

constexpr int kRounds = 20;
constexpr std::size_t kCallsPerRound = 400;
// More slots than callers, so that no request waits for one.
constexpr int kLatencySlots = 64;
constexpr int kLoadSlots = 4;

struct Options {
  std::string directory = "bench";
  std::set<std::string> parts{"latency", "idle", "load", "configuration"};
  int seconds = 10;
  // Numbers of workspaces of the load cases to run; all if empty.
  std::set<std::size_t> workspaces;
};

struct Table {
  std::string name;
  std::string title;
  std::vector<std::string> columns;
  std::vector<Row> rows;
};

// Sizes of a fleet of which all endpoint processes are in one pool.
struct Size {
  std::size_t entries = 1;
  std::size_t endpoints = 1;
};

constexpr Size kLoadSize{2, 4};
constexpr Size kConfigurationSize{4, 8};

auto Cell(std::string_view text) -> json::value { return json::string(text.data(), text.size()); }

auto Round(double value, int digits) -> double {
  const double scale = std::pow(10.0, digits);
  return std::round(value * scale) / scale;
}

auto Document(std::uint64_t version, const std::vector<std::string>& workspaces, int slots)
    -> std::string {
  std::ostringstream text;
  text << "name: lookup\nversion: " << version << "\nhosts: [lookup.example]\npools:\n"
       << "  - name: lookup\n    min_slots: " << slots << "\n    max_slots: " << slots
       << "\nworkspaces:\n";
  for (const auto& id : workspaces) text << "  - id: " << id << "\n    max_waiting: 1000\n";
  return text.str();
}

auto Workspaces(std::size_t count) -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < count; ++i) ids.push_back("workspace-" + std::to_string(i));
  return ids;
}

auto StartFleet(fleet::Fleet& fleet, Size size, const std::string& document, bool relayed) -> void {
  fleet.directory = fleet::MakeDirectory("processes");
  for (std::size_t i = 0; i < size.entries + size.endpoints; ++i) {
    fleet::NodeSpec spec;
    spec.relayed = relayed;
    if (i < size.entries) {
      spec.id = "entry-" + std::to_string(i);
    } else {
      spec.id = "lookup-" + std::to_string(i - size.entries);
      spec.role = core::Role::endpoint;
      spec.pool = "lookup";
      spec.replica = fleet::ReplicaKind::app;
    }
    const auto history = fleet.directory / ("daemon-" + spec.id + ".jsonl");
    spec.settings = "history: " + history.string() + "\n";
    fleet::AddNode(fleet, spec);
  }
  fleet::PublishDocument(fleet, "lookup", document);
  fleet::PublishVms(fleet);
  fleet::StartPlatform(fleet);
  for (const auto& node : fleet.nodes) fleet::StartDaemon(fleet, *node);
  fleet::WaitDaemons(fleet, kReady);
  std::this_thread::sleep_for(kSettle);
}

auto EndFleet(fleet::Fleet& fleet) -> void {
  for (const auto& id : fleet::StopAll(fleet, kStop)) {
    std::cout << "not stopped with code 0: " << id << '\n';
  }
  std::filesystem::remove_all(fleet.directory);
}

// Calls of the application stand-in that take it `service` each.
auto LookupSpec(milliseconds service) -> LoadSpec {
  LoadSpec spec;
  spec.target = "/lookup/7";
  spec.host = "lookup.example";
  spec.headers = [time = std::to_string(service.count())](const std::string& workspace,
                                                          std::uint64_t /*serial*/) {
    return std::vector<std::pair<std::string, std::string>>{{"X-Workspace", workspace},
                                                            {"X-Test-Service-Ms", time}};
  };
  return spec;
}

auto EntryAddresses(const fleet::Fleet& fleet) -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& node : fleet.nodes) {
    if (node->spec.role == core::Role::entry) addresses.push_back(node->callers);
  }
  return addresses;
}

// Milliseconds of a quantile of `values`, which are sorted.
auto Quantile(const std::vector<std::chrono::microseconds>& values, double share) -> double {
  if (values.empty()) return 0;
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return std::chrono::duration<double, std::milli>(values[index]).count();
}

struct LatencyPair {
  LoadResult direct;
  LoadResult fleet;
};

auto Append(LoadResult& sum, LoadResult part) -> void {
  sum.latencies.insert(sum.latencies.end(), part.latencies.begin(), part.latencies.end());
  sum.refused += part.refused;
  sum.failed += part.failed;
}

// Alternates short rounds of both ways, so that a change of the machine's load meets both.
auto MeasurePair(LoadSpec spec, const std::string& direct, const std::string& entry)
    -> LatencyPair {
  LatencyPair pair;
  for (int round = 0; round < kRounds; ++round) {
    spec.addresses = {direct};
    Append(pair.direct, Load(spec).Wait());
    spec.addresses = {entry};
    Append(pair.fleet, Load(spec).Wait());
  }
  std::sort(pair.direct.latencies.begin(), pair.direct.latencies.end());
  std::sort(pair.fleet.latencies.begin(), pair.fleet.latencies.end());
  return pair;
}

auto MeasureLatency() -> Table {
  Table table{
      "latency",
      "Added latency in ms: one entry and one endpoint process against the stand-in",
      {"callers", "requests", "refused", "direct p50", "direct p95", "direct p99", "fleet p50",
       "fleet p95", "fleet p99", "added p50", "added p95", "added p99", "load average"},
      {}};
  fleet::Fleet fleet;
  StartFleet(fleet, {1, 1}, Document(1, Workspaces(1), kLatencySlots), false);
  for (const std::size_t callers : {1, 8}) {
    auto spec = LookupSpec(milliseconds(0));
    spec.workspaces = Workspaces(1);
    spec.callers = callers;
    spec.calls = kCallsPerRound / callers;
    const auto pair = MeasurePair(spec, fleet.nodes[1]->replica_address, EntryAddresses(fleet)[0]);
    Row row{callers, pair.fleet.latencies.size(), pair.fleet.refused + pair.fleet.failed};
    Row through;
    Row added;
    for (const double share : {0.5, 0.95, 0.99}) {
      const double direct = Quantile(pair.direct.latencies, share);
      const double total = Quantile(pair.fleet.latencies, share);
      row.emplace_back(Round(direct, 3));
      through.emplace_back(Round(total, 3));
      added.emplace_back(Round(total - direct, 3));
    }
    row.insert(row.end(), through.begin(), through.end());
    row.insert(row.end(), added.begin(), added.end());
    row.emplace_back(Round(LoadAverage(), 1));
    table.rows.push_back(row);
  }
  EndFleet(fleet);
  return table;
}

auto KindText(const RoleUse& use) -> std::string {
  std::ostringstream text;
  for (const auto& [kind, rate] : use.kinds) {
    if (rate >= 1) text << (text.tellp() > 0 ? ", " : "") << kind << ' ' << std::lround(rate);
  }
  return text.str();
}

const std::vector<std::string> kUseColumns{"cores %",     "largest %",        "memory MiB",
                                           "largest MiB", "control B/s sent", "largest B/s",
                                           "B/s by kind"};

auto AppendUse(Row& row, const RoleUse& use) -> void {
  row.emplace_back(Round(use.cpu_share * kPercent, 2));
  row.emplace_back(Round(use.largest_cpu_share * kPercent, 2));
  row.emplace_back(Round(use.memory_bytes / kMebibyte, 1));
  row.emplace_back(Round(use.largest_memory_bytes / kMebibyte, 1));
  row.emplace_back(std::lround(use.control_bytes));
  row.emplace_back(std::lround(use.largest_control_bytes));
  row.push_back(Cell(KindText(use)));
}

struct Point {
  double x = 0;
  double y = 0;
};

// Least-squares line: value at 0 and slope.
auto Fit(const std::vector<Point>& points) -> Point {
  const auto n = static_cast<double>(points.size());
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& point : points) {
    x += point.x / n;
    y += point.y / n;
  }
  for (const auto& point : points) {
    xx += (point.x - x) * (point.x - x);
    xy += (point.x - x) * (point.y - y);
  }
  const double slope = xx > 0 ? xy / xx : 0;
  return {y - slope * x, slope};
}

// Points of one role over its number of links.
struct RolePoints {
  std::vector<Point> cpu;
  std::vector<Point> memory;
  std::vector<Point> control;
};

auto AppendSlopes(Table& table, core::Role role, const RolePoints& points) -> void {
  const auto append = [&](const char* quantity, const std::vector<Point>& values, int digits) {
    const auto line = Fit(values);
    table.rows.push_back(
        {Cell(core::Name(role)), Cell(quantity), Round(line.x, digits), Round(line.y, digits)});
  };
  append("cores %", points.cpu, 3);
  append("memory KiB", points.memory, 1);
  append("control B/s sent", points.control, 1);
}

auto MeasureIdle(const Options& options) -> std::vector<Table> {
  Table table{"idle",
              "Idle cost, means per process and the largest",
              {"entries", "endpoints", "role", "links"},
              {}};
  table.columns.insert(table.columns.end(), kUseColumns.begin(), kUseColumns.end());
  table.columns.insert(table.columns.end(), {"TCP B/s sent per process", "load average"});
  Table slopes{"idle_slopes",
               "Idle cost by number of control links, least squares",
               {"role", "quantity", "at 0 links", "per link"},
               {}};
  std::map<core::Role, RolePoints> points;
  for (const Size size : {Size{2, 2}, Size{2, 4}, Size{3, 8}, Size{4, 16}, Size{4, 32}}) {
    fleet::Fleet fleet;
    StartFleet(fleet, size, Document(1, Workspaces(16), 4), true);
    const auto begin = TakeSample(fleet, Bound::begin);
    std::this_thread::sleep_for(seconds(options.seconds));
    const auto end = TakeSample(fleet, Bound::end);
    const double tcp = (end.relayed_bytes - begin.relayed_bytes) / Seconds(begin, end) /
                       static_cast<double>(fleet.nodes.size());
    for (const auto role : {core::Role::entry, core::Role::endpoint}) {
      const auto use = UseOf(begin, end, role);
      const bool entry = role == core::Role::entry;
      const auto links = entry ? size.entries - 1 + size.endpoints : size.entries;
      Row row{size.entries, size.endpoints, Cell(core::Name(role)), links};
      AppendUse(row, use);
      row.emplace_back(std::lround(tcp));
      row.emplace_back(Round(LoadAverage(), 1));
      table.rows.push_back(row);
      const auto x = static_cast<double>(links);
      points[role].cpu.push_back({x, use.cpu_share * kPercent});
      points[role].memory.push_back({x, use.memory_bytes / kKibibyte});
      points[role].control.push_back({x, use.control_bytes});
    }
    std::cout << "idle " << size.entries << " + " << size.endpoints << " done" << std::endl;
    EndFleet(fleet);
  }
  for (const auto& [role, values] : points) AppendSlopes(slopes, role, values);
  return {table, slopes};
}

struct LoadCase {
  std::size_t workspaces = 16;
  std::size_t callers = 64;
};

auto MeasureLoadCase(const Options& options, Table& table, Table& totals, LoadCase load_case)
    -> void {
  fleet::Fleet fleet;
  StartFleet(fleet, kLoadSize, Document(1, Workspaces(load_case.workspaces), kLoadSlots), false);
  const auto idle = TakeSample(fleet, Bound::begin);
  auto spec = LookupSpec(milliseconds(20));
  spec.addresses = EntryAddresses(fleet);
  spec.workspaces = Workspaces(load_case.workspaces);
  spec.callers = load_case.callers;
  Load load(spec);
  std::this_thread::sleep_for(kSettle);
  const auto begin = TakeSample(fleet, Bound::begin);
  const auto answered_before = load.Answered();
  std::this_thread::sleep_for(seconds(options.seconds));
  const auto answered = static_cast<double>(load.Answered() - answered_before);
  const auto end = TakeSample(fleet, Bound::end);
  const auto result = load.Stop();

  const double span = Seconds(begin, end);
  const auto grants = [&](const std::string& kind) {
    return Round(Growth(begin, end, "filbertstair_grants_total{result=\"" + kind + "\"}") / span,
                 1);
  };
  const auto average = Round(LoadAverage(), 1);
  Row total{load_case.workspaces, load_case.callers,  Round(answered / span, 1),
            result.refused,       result.failed,      grants("issued"),
            grants("redeemed"),   grants("returned"), grants("expired")};
  for (const auto role : {core::Role::entry, core::Role::endpoint}) {
    const auto use = UseOf(begin, end, role);
    Row row{load_case.workspaces, load_case.callers, Cell(core::Name(role))};
    AppendUse(row, use);
    row.emplace_back(average);
    table.rows.push_back(row);
    const auto nodes = static_cast<double>(use.nodes);
    total.emplace_back(Round(use.cpu_share * nodes * span / answered * kMicroseconds, 1));
    total.emplace_back(Round((use.memory_bytes - MeanMemory(idle, role)) / kKibibyte, 1));
  }
  total.emplace_back(average);
  totals.rows.push_back(total);
  std::cout << "load " << load_case.workspaces << " x " << load_case.callers << " done"
            << std::endl;
  EndFleet(fleet);
}

auto MeasureLoad(const Options& options) -> std::vector<Table> {
  Table table{"load",
              "Cost under saturating load, 2 entries and 4 endpoints of 4 slots, calls of 20 ms",
              {"workspaces", "callers", "role"},
              {}};
  table.columns.insert(table.columns.end(), kUseColumns.begin(), kUseColumns.end());
  table.columns.emplace_back("load average");
  Table totals{
      "load_totals",
      "Requests, grants per second and cost per request under saturating load",
      {"workspaces", "callers", "requests/s", "refused", "failed", "issued/s", "redeemed/s",
       "returned/s", "expired/s", "entry CPU us/request", "entry KiB above idle",
       "endpoint CPU us/request", "endpoint KiB above idle", "load average"},
      {}};
  for (const LoadCase load_case : {LoadCase{16, 64}, LoadCase{16, 1024}, LoadCase{64, 1024},
                                   LoadCase{256, 1024}, LoadCase{1000, 1024}}) {
    if (!options.workspaces.empty() && !options.workspaces.contains(load_case.workspaces)) continue;
    MeasureLoadCase(options, table, totals, load_case);
  }
  return {table, totals};
}

struct Change {
  std::uint64_t version = 0;
  std::int64_t published = 0;
};

// Microseconds from each publication until each process had the version or a later one in force.
// `missing` counts those that never had.
auto TimesInForce(const fleet::Fleet& fleet, const std::vector<Change>& changes,
                  std::size_t& missing) -> std::vector<std::chrono::microseconds> {
  std::vector<std::chrono::microseconds> times;
  for (const auto& node : fleet.nodes) {
    const auto events =
        fleet::ReadHistories({(fleet.directory / ("daemon-" + node->spec.id + ".jsonl")).string()});
    for (const auto& change : changes) {
      const auto found = std::find_if(events.begin(), events.end(), [&](const fleet::Event& event) {
        return event.kind == fleet::EventKind::config &&
               event.object.find("lookup") != std::string::npos && event.version >= change.version;
      });
      if (found == events.end()) {
        ++missing;
      } else {
        times.emplace_back(found->at - change.published);
      }
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

auto MeasureConfiguration(const Options& options) -> Table {
  Table table{"configuration",
              "A document changed every 200 ms, 4 entries and 8 endpoints",
              {"document bytes", "changes", "processes", "in force p50 ms", "p95 ms", "largest ms",
               "never in force", "entry B per change", "endpoint B per change", "entry B/s by kind",
               "endpoint B/s by kind", "platform calls/s", "platform calls/s idle", "entry cores %",
               "endpoint cores %", "load average"},
              {}};
  for (const std::size_t workspaces : {16, 1000}) {
    fleet::Fleet fleet;
    StartFleet(fleet, kConfigurationSize, Document(1, Workspaces(workspaces), 4), false);
    const auto idle = TakeSample(fleet, Bound::begin);
    std::this_thread::sleep_for(kSettle);
    const auto begin = TakeSample(fleet, Bound::begin);
    std::vector<Change> changes;
    const auto start = std::chrono::steady_clock::now();
    const auto count = static_cast<std::uint64_t>(seconds(options.seconds) / kChangeInterval);
    for (std::uint64_t i = 0; i < count; ++i) {
      std::this_thread::sleep_until(start + i * kChangeInterval);
      changes.push_back({i + 2, standins::NowUs()});
      fleet::PublishDocument(fleet, "lookup", Document(i + 2, Workspaces(workspaces), 4));
    }
    std::this_thread::sleep_until(start + count * kChangeInterval);
    const auto end = TakeSample(fleet, Bound::end);
    std::this_thread::sleep_for(kInForce);
    std::size_t missing = 0;
    const auto times = TimesInForce(fleet, changes, missing);
    const auto entry = UseOf(begin, end, core::Role::entry);
    const auto endpoint = UseOf(begin, end, core::Role::endpoint);
    const double span = Seconds(begin, end);
    // Without the control bytes that the same processes send when nothing changes.
    const auto per_change = [&](const RoleUse& use, core::Role role) {
      const double extra = use.control_bytes - UseOf(idle, begin, role).control_bytes;
      return std::lround(extra * span / static_cast<double>(count));
    };
    const auto calls = [](const FleetSample& from, const FleetSample& to) {
      return Round((to.platform_calls - from.platform_calls) / Seconds(from, to), 1);
    };
    table.rows.push_back({Document(1, Workspaces(workspaces), 4).size(), count, fleet.nodes.size(),
                          Round(Quantile(times, 0.5), 1), Round(Quantile(times, 0.95), 1),
                          Round(Quantile(times, 1), 1), missing,
                          per_change(entry, core::Role::entry),
                          per_change(endpoint, core::Role::endpoint), Cell(KindText(entry)),
                          Cell(KindText(endpoint)), calls(begin, end), calls(idle, begin),
                          Round(entry.cpu_share * kPercent, 2),
                          Round(endpoint.cpu_share * kPercent, 2), Round(LoadAverage(), 1)});
    std::cout << "configuration " << workspaces << " done" << std::endl;
    EndFleet(fleet);
  }
  return table;
}

auto CellText(const json::value& cell) -> std::string {
  if (cell.is_string()) return cell.as_string().c_str();
  if (!cell.is_double()) return json::serialize(cell);
  std::ostringstream text;
  text << cell.as_double();
  return text.str();
}

auto WriteMarkdown(std::ostream& out, const Table& table) -> void {
  const auto line = [&](const auto& cells, const auto& text) {
    out << '|';
    for (const auto& cell : cells) out << ' ' << text(cell) << " |";
    out << '\n';
  };
  out << "## " << table.title << "\n\n";
  line(table.columns, [](const std::string& name) { return name; });
  line(table.columns, [](const std::string&) { return "--:"; });
  for (const auto& row : table.rows) line(row, CellText);
  out << '\n';
}

auto ToJson(const Table& table) -> json::object {
  json::array rows;
  for (const auto& cells : table.rows) {
    json::object row;
    for (std::size_t i = 0; i < cells.size(); ++i) row[table.columns[i]] = cells[i];
    rows.push_back(row);
  }
  return {{"title", table.title}, {"rows", rows}};
}

auto Run(const Options& options) -> void {
  std::vector<Table> tables;
  const auto append = [&](const std::vector<Table>& more) {
    for (const auto& table : more) {
      WriteMarkdown(std::cout, table);
      tables.push_back(table);
    }
    std::cout << std::flush;
  };
  if (options.parts.contains("latency")) append({MeasureLatency()});
  if (options.parts.contains("idle")) append(MeasureIdle(options));
  if (options.parts.contains("load")) append(MeasureLoad(options));
  if (options.parts.contains("configuration")) append({MeasureConfiguration(options)});
  std::ofstream markdown(options.directory + "/processes.md");
  markdown << "# Cost of the processes\n\nWritten by `bench/processes.cc`. Processor time is given "
              "in % of one core.\n\n";
  json::object all;
  for (const auto& table : tables) {
    WriteMarkdown(markdown, table);
    all[table.name] = ToJson(table);
  }
  std::ofstream(options.directory + "/processes.json") << json::serialize(all) << '\n';
}

}  // namespace
}  // namespace filbertstair::bench

auto main(int argc, char** argv) -> int {
  filbertstair::bench::Options options;
  CLI::App app("Measures the cost of the daemons as processes on loopback");
  app.add_option("--out", options.directory, "Directory for processes.json and processes.md");
  app.add_option("--parts", options.parts, "Parts: latency, idle, load, configuration");
  app.add_option("--workspaces", options.workspaces, "Numbers of workspaces of the load cases");
  app.add_option("--seconds", options.seconds, "Length of each measurement");
  CLI11_PARSE(app, argc, argv);
  try {
    filbertstair::bench::Run(options);
  } catch (const std::exception& error) {
    std::cerr << "processes: " << error.what() << '\n';
    return 1;
  }
}
