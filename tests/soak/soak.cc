// Runs entries of the deploy file as real processes under random faults and checks, from what
// callers and replicas saw, that none was lost. Exits with 0 if all held, 1 if something was
// broken, and 2 if the run could not be judged.

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <thread>

#include "tests/soak/callers.h"
#include "tests/soak/check.h"
#include "tests/soak/deployment.h"
#include "tests/soak/faults.h"
#include "tests/standins/history.h"

namespace filbertstair::soak {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr std::int64_t kSuperviseUs = 50'000;
// Callers end at most this long after the traffic.
constexpr milliseconds kCallersEnd{15'000};
constexpr milliseconds kRecoverTime{20'000};
// Time after which an entry has closed its idle connections to replicas.
constexpr milliseconds kIdleTime{4000};
// Longer than the grace of an entry, which the check compares.
constexpr milliseconds kStopTime{12'000};
// `ram-mb` of the small deployments.
constexpr std::int64_t kMemoryLimit = std::int64_t{260} << 20;
// Descriptors and threads that a process may have beyond those at its start.
constexpr int kMoreDescriptors = 60;
constexpr int kMoreThreads = 1;

struct Options {
  std::string plan_file;
  std::string directory;
  Plan plan;
  int seconds = 20;
  CallerOptions callers;
};

auto ReadLines(const std::filesystem::path& path) -> std::vector<std::string> {
  std::vector<std::string> out;
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);) out.push_back(line);
  return out;
}

auto StartCallers(const Deployment& deployment, const std::string& program,
                  const std::filesystem::path& output) -> std::unique_ptr<fleet::Process> {
  std::vector<std::string> arguments = {"--call",
                                        "--seed",
                                        std::to_string(deployment.plan.seed),
                                        "--callers",
                                        std::to_string(deployment.plan.callers),
                                        "--seconds",
                                        std::to_string(deployment.plan.traffic_ms / 1000),
                                        "--output",
                                        output.string()};
  for (const auto& entry : deployment.entries) {
    arguments.insert(arguments.end(),
                     {"--entry-address", entry.callers, "--relay-address", entry.relay_address});
  }
  return std::make_unique<fleet::Process>(program, arguments,
                                          (deployment.directory / "callers.log").string());
}

// Applies the faults of the plan while the callers run.
auto PlayFaults(Deployment& deployment, fleet::Process& callers) -> bool {
  const auto begin = standins::NowUs();
  const auto steps = ScheduleFaults(deployment, begin);
  const auto end = begin + std::int64_t{deployment.plan.traffic_ms} * 1000 +
                   std::chrono::duration_cast<std::chrono::microseconds>(kCallersEnd).count();
  std::size_t next = 0;
  std::int64_t supervised_at = 0;
  while (next < steps.size() || callers.Running()) {
    const auto now = standins::NowUs();
    if (now > end) return false;
    for (; next < steps.size() && steps[next].at <= now; ++next) {
      ApplyStep(deployment, steps[next]);
    }
    if (now - supervised_at >= kSuperviseUs) {
      Supervise(deployment);
      supervised_at = now;
    }
    std::this_thread::sleep_for(kTick);
  }
  return true;
}

auto Observe(const Deployment& deployment) -> Observations {
  Observations out;
  for (const auto& line : ReadLines(deployment.directory / "callers.jsonl")) {
    out.calls.push_back(ParseCall(line));
  }
  for (const auto& line : ReadLines(deployment.directory / "replicas.jsonl")) {
    ++out.starts[json::parse(line).as_object().at("id").as_string().c_str()];
  }
  for (const auto& entry : deployment.entries) {
    out.runs.insert(out.runs.end(), entry.runs.begin(), entry.runs.end());
  }
  out.disturbances = deployment.disturbances;
  return out;
}

auto CheckUsage(const Deployment& deployment, std::vector<Violation>& violations) -> void {
  for (const auto& entry : deployment.entries) {
    const auto& before = entry.usage_before;
    const auto& after = entry.usage_after;
    if (entry.peak_resident <= kMemoryLimit &&
        after.descriptors <= before.descriptors + kMoreDescriptors &&
        after.threads <= before.threads + kMoreThreads) {
      continue;
    }
    violations.push_back(
        {Promise::usage_is_bounded, "entry " + std::to_string(entry.index) + ": peak " +
                                        std::to_string(entry.peak_resident >> 20) +
                                        " MB, descriptors " + std::to_string(before.descriptors) +
                                        " then " + std::to_string(after.descriptors) +
                                        ", threads " + std::to_string(before.threads) + " then " +
                                        std::to_string(after.threads)});
  }
}

auto PrintSummary(const Observations& observed) -> void {
  std::map<std::string, int> counts;
  for (const auto& call : observed.calls) {
    ++counts[std::string(core::Name(call.kind)) + " " + std::to_string(call.status)];
  }
  std::cout << "requests: " << observed.calls.size() << ", crossings " << CountCrossings(observed)
            << ", entry processes " << observed.runs.size() << ", ended in the loader "
            << CountLoaderEnds(observed) << ", faults " << observed.disturbances.size() << '\n';
  for (const auto& [name, count] : counts) std::cout << "  " << name << ": " << count << '\n';
}

auto RunSoak(const Options& options, const std::string& program) -> int {
  const auto directory = options.directory.empty() ? fleet::MakeDirectory("soak")
                                                   : std::filesystem::path(options.directory);
  std::filesystem::create_directories(directory);
  const auto& plan = options.plan;
  std::ofstream(directory / "plan.json") << FormatPlan(plan);
  std::cout << "seed " << plan.seed << ", files in " << directory.string() << std::endl;
  auto deployment = StartDeployment(plan, directory);
  const auto callers = StartCallers(deployment, program, directory / "callers.jsonl");
  if (!PlayFaults(deployment, *callers)) throw std::runtime_error("the callers did not end");
  std::vector<Violation> violations;
  for (auto& entry : deployment.entries) {
    const bool ready = fleet::WaitFor(kRecoverTime, [&] {
      Supervise(deployment);
      return entry.process && entry.runs.back().ready_at > 0 &&
             fleet::WaitReady(entry.admin, milliseconds(0));
    });
    if (!ready) {
      violations.push_back({Promise::start_is_quick, "entry " + std::to_string(entry.index) +
                                                         " is not ready after the faults"});
    }
  }
  std::this_thread::sleep_for(kIdleTime);
  StopEntries(deployment, kStopTime);
  const auto observed = Observe(deployment);
  for (auto& violation : CheckRun(observed)) violations.push_back(std::move(violation));
  CheckUsage(deployment, violations);
  PrintSummary(observed);
  for (const auto& violation : violations) {
    std::cout << "BROKEN " << core::Name(violation.promise) << ": " << violation.detail << '\n';
  }
  std::cout << (violations.empty() ? "held" : "broken") << std::endl;
  return violations.empty() ? 0 : 1;
}

auto Main(int argc, char** argv) -> int {
  Options options;
  CLI::App app("fault soak of the deployed entries");
  bool call = false;
  app.add_flag("--call", call, "only send requests; the soak starts itself so");
  app.add_option("--seed", options.plan.seed);
  app.add_option("--seconds", options.seconds, "time of traffic");
  app.add_option("--entries", options.plan.entries);
  app.add_option("--replicas", options.plan.replicas);
  app.add_option("--callers", options.plan.callers);
  app.add_option("--plan", options.plan_file, "file with a plan, in place of a seed");
  app.add_option("--directory", options.directory, "folder for logs and histories");
  app.add_option("--entry-address", options.callers.entries);
  app.add_option("--relay-address", options.callers.relays);
  app.add_option("--output", options.callers.output);
  CLI11_PARSE(app, argc, argv);
  try {
    options.plan.traffic_ms = options.seconds * 1000;
    if (call) {
      options.callers.seed = options.plan.seed;
      options.callers.callers = options.plan.callers;
      options.callers.traffic_ms = options.plan.traffic_ms;
      RunCallers(options.callers);
      return 0;
    }
    if (options.plan_file.empty()) {
      options.plan = DrawFaults(options.plan);
    } else {
      std::ifstream in(options.plan_file);
      options.plan = ParsePlan(std::string(std::istreambuf_iterator<char>(in), {}));
    }
    return RunSoak(options, std::filesystem::read_symlink("/proc/self/exe").string());
  } catch (const std::exception& error) {
    std::cout << "not judged: " << error.what() << std::endl;
    return 2;
  }
}

}  // namespace
}  // namespace filbertstair::soak

auto main(int argc, char** argv) -> int { return filbertstair::soak::Main(argc, argv); }
