// Runs entries of the deploy file as real processes under random faults and checks, from what
// callers and replicas saw, that none was lost. Exits with 0 if all held, 1 if something was
// broken, and 2 if the run could not be judged.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <thread>

#include "tests/judge/judge.h"
#include "tests/soak/callers.h"
#include "tests/soak/check.h"
#include "tests/soak/clients.h"
#include "tests/soak/convert.h"
#include "tests/soak/deployment.h"
#include "tests/soak/faults.h"
#include "tests/soak/shorten.h"
#include "tests/standins/history.h"

namespace filbertstair::soak {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr std::int64_t kSuperviseUs = 50'000;
// Callers end at most this long after the traffic.
constexpr milliseconds kCallersEnd{25'000};
constexpr milliseconds kRecoverTime{20'000};
// Time after which an entry has closed its idle connections to replicas.
constexpr milliseconds kIdleTime{4000};
// Longer than the grace of an entry, which the check compares.
constexpr milliseconds kStopTime{12'000};
struct Options {
  // A plan, or a folder of plans.
  std::string plan_path;
  std::string directory;
  bool shorten = false;
  // Most plays while a plan is shortened, of about half a minute each.
  int plays = 40;
  Plan plan;
  int seconds = 20;
  CallerOptions callers;
};

// A promise or rule that did not hold, by its name.
struct Broken {
  std::string name;
  std::string detail;
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
  if (deployment.profile) {
    arguments.insert(arguments.end(), {"--profile", deployment.plan.profile});
  }
  for (const auto& entry : deployment.entries) {
    arguments.insert(arguments.end(), {"--entry-address", entry.callers, "--relay-address",
                                       entry.relay_address, "--admin-address", entry.admin});
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
  ReadReplicas(ReadLines(deployment.directory / "replicas.jsonl"), out);
  for (const auto& entry : deployment.entries) {
    out.runs.insert(out.runs.end(), entry.runs.begin(), entry.runs.end());
    out.usages.push_back({entry.index, entry.usage_before, entry.usage_after, entry.peak_resident});
  }
  out.disturbances = deployment.disturbances;
  out.revoke_began_at = deployment.revoke_began_at;
  out.revoked_at = deployment.revoked_at;
  return out;
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

// Prints the figures in which a trend shows before a rule breaks.
auto PrintFigures(const judge::Figures& figures) -> void {
  std::cout << "arrivals: " << figures.arrivals << " for " << figures.requests
            << " requests, late deadlines " << figures.late_deadlines << ", closes without answer "
            << figures.closes_without_answer << ", of them after arrival "
            << figures.closes_after_arrival << '\n';
  for (const auto& service : figures.services) {
    std::cout << "  service " << service.service << ": requests " << service.requests
              << ", arrivals " << service.arrivals << ", repeats " << service.repeats
              << ", worst window " << service.worst_repeats << " of " << std::fixed
              << std::setprecision(1) << service.worst_bound << " (" << std::setprecision(2)
              << service.worst_ratio << ")\n";
  }
}

auto JudgeRun(const Observations& observed, std::vector<Broken>& broken) -> void {
  for (const auto& violation : CheckRun(observed)) {
    broken.push_back({std::string(core::Name(violation.promise)), violation.detail});
  }
  const auto history = ToHistory(observed);
  PrintFigures(judge::Measure(history));
  for (const auto& finding : judge::Judge(history)) {
    auto detail = finding.detail + ", from " + std::to_string(finding.at) + ":";
    for (const auto& request : finding.requests) detail += ' ' + request;
    broken.push_back(
        {std::string(core::Name(finding.rule)) + '.' + std::string(core::Name(finding.form)),
         std::move(detail)});
  }
}

// Waits until all entries are ready again, and adds those that are not.
auto CheckRecovery(Deployment& deployment, std::vector<Broken>& broken) -> void {
  for (auto& entry : deployment.entries) {
    const bool ready = fleet::WaitFor(kRecoverTime, [&] {
      Supervise(deployment);
      return entry.process && entry.runs.back().ready_at > 0 &&
             fleet::WaitReady(entry.admin, milliseconds(0));
    });
    if (!ready) {
      broken.push_back({std::string(core::Name(Promise::start_is_quick)),
                        "entry " + std::to_string(entry.index) + " is not ready after the faults"});
    }
  }
}

// Plays a plan, writes all files into the folder, prints and returns what was broken.
auto PlayPlan(const Plan& plan, const std::filesystem::path& directory, const std::string& program)
    -> std::vector<Broken> {
  std::filesystem::create_directories(directory);
  // Histories are appended to.
  if (std::filesystem::exists(directory / "callers.jsonl")) {
    throw std::runtime_error(directory.string() + " has the files of another run");
  }
  std::ofstream(directory / "plan.json") << FormatPlan(plan);
  std::cout << "seed " << plan.seed << ", files in " << directory.string() << std::endl;
  auto deployment = StartDeployment(plan, directory);
  const auto callers = StartCallers(deployment, program, directory / "callers.jsonl");
  if (!PlayFaults(deployment, *callers)) throw std::runtime_error("the callers did not end");
  if (callers->Wait(milliseconds(0)) != 0) throw std::runtime_error("the callers failed");
  std::vector<Broken> broken;
  CheckRecovery(deployment, broken);
  std::this_thread::sleep_for(kIdleTime);
  StopEntries(deployment, kStopTime);
  const auto observed = Observe(deployment);
  PrintSummary(observed);
  JudgeRun(observed, broken);
  for (const auto& [name, detail] : broken) {
    std::cout << "BROKEN " << name << ": " << detail << '\n';
  }
  std::cout << (broken.empty() ? "held" : "broken") << std::endl;
  return broken;
}

// Plays smaller plans while one breaks the same promise or rule, and writes the smallest into the
// folder.
auto WriteShortPlan(const Options& options, const Plan& plan, const std::string& name,
                    const std::filesystem::path& directory, const std::string& program) -> void {
  int tried = 0;
  const auto fails = [&](const Plan& smaller) {
    try {
      const auto broken =
          PlayPlan(smaller, directory / ("try-" + std::to_string(++tried)), program);
      return std::any_of(broken.begin(), broken.end(),
                         [&](const Broken& item) { return item.name == name; });
    } catch (const std::exception& error) {
      std::cout << "not judged: " << error.what() << std::endl;
      return false;
    }
  };
  const auto path = directory / "short-plan.json";
  std::ofstream(path) << FormatPlan(ShortenPlan(plan, options.plays, fails));
  std::cout << "short plan: " << path.string() << std::endl;
}

// Returns the exit code.
auto RunSoak(const Options& options, const Plan& plan, const std::filesystem::path& directory)
    -> int {
  const auto program = std::filesystem::read_symlink("/proc/self/exe").string();
  try {
    const auto broken = PlayPlan(plan, directory, program);
    if (broken.empty()) return 0;
    if (options.shorten) {
      WriteShortPlan(options, plan, broken.front().name, directory, program);
    }
    return 1;
  } catch (const std::exception& error) {
    std::cout << "not judged: " << error.what() << std::endl;
    return 2;
  }
}

// The plan of the seed, or those of the file or folder by name.
auto ReadPlans(const Options& options) -> std::map<std::string, Plan> {
  if (options.plan_path.empty()) return {{"seed", DrawFaults(options.plan)}};
  std::vector<std::filesystem::path> paths = {options.plan_path};
  if (std::filesystem::is_directory(options.plan_path)) {
    paths.assign(std::filesystem::directory_iterator(options.plan_path), {});
  }
  std::map<std::string, Plan> out;
  for (const auto& path : paths) {
    std::ifstream in(path);
    out[path.stem().string()] = ParsePlan(std::string(std::istreambuf_iterator<char>(in), {}));
  }
  return out;
}

// Plays all plans and returns the exit code: 1 if one was broken, else 2 if one was not judged.
auto RunPlans(const Options& options) -> int {
  const auto root = options.directory.empty() ? fleet::MakeDirectory("soak")
                                              : std::filesystem::path(options.directory);
  std::set<int> codes;
  const auto plans = ReadPlans(options);
  for (const auto& [name, plan] : plans) {
    if (plans.size() > 1) std::cout << "plan " << name << '\n';
    codes.insert(RunSoak(options, plan, plans.size() > 1 ? root / name : root));
  }
  if (codes.empty()) throw std::runtime_error("no plan in " + options.plan_path);
  if (codes.contains(1)) return 1;
  return codes.contains(2) ? 2 : 0;
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
  app.add_option("--plan", options.plan_path, "file or folder with plans, in place of a seed");
  app.add_flag("--shorten", options.shorten, "shorten a plan that is broken");
  app.add_option("--plays", options.plays, "most plays while a plan is shortened");
  app.add_option("--directory", options.directory, "folder for logs and histories");
  app.add_option("--entry-address", options.callers.entries);
  app.add_option("--relay-address", options.callers.relays);
  app.add_option("--admin-address", options.callers.admins);
  app.add_option("--profile", options.plan.profile, "file of a deployment and its traffic");
  app.add_option("--output", options.callers.output);
  CLI11_PARSE(app, argc, argv);
  try {
    options.plan.traffic_ms = options.seconds * 1000;
    if (call) {
      options.callers.seed = options.plan.seed;
      options.callers.callers = options.plan.callers;
      options.callers.traffic_ms = options.plan.traffic_ms;
      if (options.plan.profile.empty()) {
        RunCallers(options.callers);
      } else {
        RunClients(ReadProfile(options.plan.profile), options.callers);
      }
      return 0;
    }
    return RunPlans(options);
  } catch (const std::exception& error) {
    std::cout << "not judged: " << error.what() << std::endl;
    return 2;
  }
}

}  // namespace
}  // namespace filbertstair::soak

auto main(int argc, char** argv) -> int { return filbertstair::soak::Main(argc, argv); }
