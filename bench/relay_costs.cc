// Measures the processor time that an entry which admits by itself takes for refused and admitted
// requests, for events and for requests that wait, as a process on loopback before stand-ins.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "load.h"
#include "platform/test/deployment.h"

namespace filbertstair::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time after which an overloaded entry refuses all, kept connections are open and shared parts of
// prompts are known.
constexpr auto kSettle = seconds(2);
constexpr double kMicroseconds = 1e6;
// Threads that send a load, so that callers are no bottleneck. Each has an equal part of them.
constexpr std::size_t kThreads = 2;
// Sizes of bodies: about the median of short prompts and a long one of the users' days.
constexpr std::size_t kSmallBody = 1024;
constexpr std::size_t kLargeBody = 12 * kSmallBody;
// Share of a core at which 600 callers keep an entry overloaded.
constexpr double kSmallShare = 0.1;
// Period in which a share of a core is granted, the one that is usual for quotas of processor time.
// A stop of most of it makes timers later than the delay from which an entry refuses.
constexpr auto kThrottlePeriod = milliseconds(100);
// Slots of a replica that is never full.
constexpr int kManySlots = 1000;

struct Case {
  std::string name;
  std::size_t body = kSmallBody;
  bool reconnect = true;
  std::size_t callers = 16;
  // A credential that no workspace holds has a request refused before the queue.
  std::string key = "key-1";
  std::size_t replicas = 8;
  int slots = kManySlots;
  int events = 1;
  int event_ms = 1;
  // Share of a core that the entry may use; it is stopped for the rest of each period.
  double cores = 1;
};

// Replicas whose answers take 100 ms with room for `room` requests in all, and callers of which
// `waiting` find none.
auto Full(std::size_t replicas, int slots, std::size_t room, std::size_t waiting) -> Case {
  return {.name = "full, " + std::to_string(waiting) + " wait",
          .reconnect = false,
          .callers = room + waiting,
          .replicas = replicas,
          .slots = slots,
          .event_ms = 100};
}

auto AllCases() -> std::vector<Case> {
  std::vector<Case> cases = {
      {.name = "overloaded", .callers = 600, .cores = kSmallShare},
      {.name = "overloaded", .body = kLargeBody, .callers = 600, .cores = kSmallShare},
      {.name = "unknown credential", .key = "none"},
      {.name = "unknown credential", .body = kLargeBody, .key = "none"},
      {.name = "unknown credential", .reconnect = false, .key = "none"},
      {.name = "unknown credential", .body = kLargeBody, .reconnect = false, .key = "none"},
      {.name = "admitted"},
      {.name = "admitted", .body = kLargeBody},
      {.name = "admitted", .reconnect = false},
      {.name = "admitted", .reconnect = false, .replicas = 60},
      {.name = "admitted, 101 events",
       .reconnect = false,
       .callers = 64,
       .events = 101,
       .event_ms = 5},
  };
  // An entry uses 0.9 of the slots: 14 of 16, and one of two.
  for (const std::size_t waiting : {0, 4, 16, 64, 256}) {
    cases.push_back(Full(8, 16, 112, waiting));
  }
  for (const std::size_t waiting : {0, 4, 16, 64}) cases.push_back(Full(60, 2, 60, waiting));
  return cases;
}

struct Options {
  int seconds = 4;
  // Cases to run, by the beginning of their first four columns; all if empty.
  std::string only;
  // Share of a core for the entry in place of the case's, if set; 1 for an entry under a profiler.
  double cores = 0;
};

// Processor seconds of a process.
struct ProcessTime {
  double user = 0;
  double system = 0;
};

auto ReadTime(pid_t pid) -> ProcessTime {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  // The second field is the program's name in parentheses; utime and stime are fields 14 and 15.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::array<std::string, 11> skipped;
  for (auto& field : skipped) fields >> field;
  double user = 0;
  double system = 0;
  if (!(fields >> user >> system)) {
    throw std::runtime_error("no processor time of process " + std::to_string(pid));
  }
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  return {user / ticks, system / ticks};
}

// Stops a process for a part of each period, until the end of this object's life.
class Throttle {
 public:
  Throttle(fleet::Process& process, double cores)
      : thread([this, &process, cores] { this->Run(process, cores); }) {}
  Throttle(const Throttle&) = delete;
  auto operator=(const Throttle&) -> Throttle& = delete;
  ~Throttle() {
    this->ended = true;
    this->thread.join();
  }

 private:
  auto Run(fleet::Process& process, double cores) -> void {
    const auto run = std::chrono::duration_cast<std::chrono::microseconds>(kThrottlePeriod * cores);
    while (!this->ended && run < kThrottlePeriod) {
      process.Signal(SIGSTOP);
      std::this_thread::sleep_for(kThrottlePeriod - run);
      process.Signal(SIGCONT);
      std::this_thread::sleep_for(run);
    }
  }

  std::atomic<bool> ended = false;
  std::thread thread;
};

auto StartLoad(const Case& c, const std::string& address, std::size_t thread)
    -> std::unique_ptr<Load> {
  LoadSpec spec;
  spec.addresses = {address};
  spec.workspaces = {"team"};
  spec.callers = c.callers / kThreads;
  spec.method = "POST";
  spec.target = "/stream/x";
  spec.host = "a.example";
  spec.headers = [key = c.key, thread](const std::string& /*workspace*/, std::uint64_t serial) {
    const auto id = serial * kThreads + thread;
    auto headers = platform::CallHeaders(std::to_string(id), key);
    for (auto& header : platform::PromptHeaders(id)) headers.push_back(std::move(header));
    return headers;
  };
  spec.body = std::string(c.body, 'x');
  spec.reconnect = c.reconnect;
  return std::make_unique<Load>(spec);
}

struct Count {
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
};

auto CountEnded(const std::vector<std::unique_ptr<Load>>& loads) -> Count {
  Count count;
  for (const auto& load : loads) {
    count.answered += load->Answered();
    count.refused += load->Refused();
  }
  return count;
}

// Processor seconds per second without requests.
auto MeasureIdle(pid_t pid) -> ProcessTime {
  const auto before = ReadTime(pid);
  std::this_thread::sleep_for(kSettle);
  const auto after = ReadTime(pid);
  const double span = std::chrono::duration<double>(kSettle).count();
  return {(after.user - before.user) / span, (after.system - before.system) / span};
}

// First four columns of the case's row, separated by spaces.
auto Describe(const Case& c) -> std::string {
  return c.name + (c.reconnect ? " new " : " kept ") + std::to_string(c.replicas) + " " +
         std::to_string(c.body);
}

auto MeasureCase(const Options& options, const Case& c) -> void {
  auto deployment = platform::StartDeployment(
      {.name = "relay_costs",
       .models = c.replicas,
       .apps = 0,
       .entries = 1,
       .workers = 1,
       .arguments = {"--slots", std::to_string(c.slots), "--events", std::to_string(c.events),
                     "--event-ms", std::to_string(c.event_ms)}});
  const auto pid = deployment.entries[0]->Pid();
  const auto idle = MeasureIdle(pid);
  std::vector<std::unique_ptr<Load>> loads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    loads.push_back(StartLoad(c, deployment.callers[0], i));
  }
  const Throttle throttle(*deployment.entries[0], options.cores > 0 ? options.cores : c.cores);
  std::this_thread::sleep_for(kSettle);
  const auto time_before = ReadTime(pid);
  const auto before = CountEnded(loads);
  std::this_thread::sleep_for(seconds(options.seconds));
  const auto after = CountEnded(loads);
  const auto time_after = ReadTime(pid);
  std::uint64_t failed = 0;
  for (auto& load : loads) failed += load->Stop().failed;
  const auto answered = static_cast<double>(after.answered - before.answered);
  const auto refused = static_cast<double>(after.refused - before.refused);
  const double total = answered + refused;
  const auto per_request = [&](double used, double idle_share) {
    return (used - idle_share * options.seconds) / total * kMicroseconds;
  };
  const double user = per_request(time_after.user - time_before.user, idle.user);
  const double system = per_request(time_after.system - time_before.system, idle.system);
  std::printf("| %s | %s | %zu | %zu | %zu | %.0f | %.3f | %llu | %.1f | %.1f | %.1f |\n",
              c.name.c_str(), c.reconnect ? "new" : "kept", c.replicas, c.body, c.callers,
              total / options.seconds, refused / total, static_cast<unsigned long long>(failed),
              user, system, user + system);
  std::fflush(stdout);
  std::filesystem::remove_all(deployment.directory);
}

}  // namespace
}  // namespace filbertstair::bench

auto main(int argc, char** argv) -> int {
  filbertstair::bench::Options options;
  CLI::App app("Measures the processor time of an entry by request");
  app.add_option("--seconds", options.seconds, "Length of each measurement");
  app.add_option("--only", options.only, "Cases to run, for example \"overloaded new 8 12288\"");
  app.add_option("--cores", options.cores, "Share of a core for the entry in all cases");
  CLI11_PARSE(app, argc, argv);
  try {
    std::printf(
        "| case | connections | replicas | body | callers | requests/s | refused | failed | user "
        "us | system "
        "us | "
        "total us |\n|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
    for (const auto& c : filbertstair::bench::AllCases()) {
      if (filbertstair::bench::Describe(c).starts_with(options.only)) {
        filbertstair::bench::MeasureCase(options, c);
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "relay_costs: " << error.what() << '\n';
    return 1;
  }
}
