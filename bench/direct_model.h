#ifndef FILBERTSTAIR_BENCH_DIRECT_MODEL_H_
#define FILBERTSTAIR_BENCH_DIRECT_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "filbertstair/direct/queue.h"
#include "filbertstair/direct/replicas.h"

// Model of a fleet whose entries admit by themselves, on a virtual clock. Decisions are those of
// libs/direct; callers, links and replicas are simulated.
namespace filbertstair::bench {

// Kind of request to a model. Sizes are means of lognormal distributions, in tokens.
struct DirectClass {
  double rate_share = 0;
  double shared_tokens = 0;
  double own_tokens = 0;
  double spread = 1;
  double max_own_tokens = 0;
  double output_tokens = 0;
  // Shared parts per workspace.
  std::uint32_t things = 1;
  core::Duration objective{};
};

// Requests of one workspace. A request arrives at one of `domains`, at any of its entries.
struct DirectWorkspace {
  std::string name;
  // Requests per second, and the factor by which they rise between two times.
  double rate = 0;
  double hot_factor = 1;
  double hot_from = 0;
  double hot_to = 0;
  std::vector<std::size_t> domains;
};

struct DirectScenario {
  std::size_t domains = 6;
  std::size_t regions = 3;
  std::size_t entries = 27;
  std::size_t replicas = 50;
  double seconds = 14;
  std::vector<DirectClass> classes;
  std::vector<DirectWorkspace> workspaces;
  // Share of the callers that move to the domain `shift_to` between two times.
  double shift_share = 0;
  std::size_t shift_to = 0;
  double shift_from = 0;
  double shift_until = 0;
  // Share of the replicas that refuse connections between two times.
  double crash_share = 0;
  double crash_from = 0;
  double crash_until = 0;
  direct::QueuePolicy queue;
  direct::ReplicaPolicy policy;
};

// What one workspace asked and got in one second.
struct DirectSecond {
  double asked = 0;
  double begun = 0;
  // Whether a request was refused, or began later than its objective.
  bool lacking = false;
};

struct DirectResult {
  std::map<std::string, std::vector<DirectSecond>> seconds;
  double largest_request = 0;
  double begun = 0;
  std::uint64_t on_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t unreachable = 0;
  // Prompt tokens that replicas read, and those of shared parts that some replica had read before.
  double read = 0;
  double read_again = 0;
};

// Least share of a workspace over all windows of six seconds in each of which it lacked room: what
// it got, of what it asked or the best served one got, whichever is less, second by second, less
// three of the largest requests. Below a half the users' rule is broken.
struct DirectShare {
  double share = 1;
  std::string workspace;
  std::size_t second = 0;
  double got = 0;
  double due = 0;
};
auto LeastShare(const DirectResult& result) -> DirectShare;

// Least share below which the users' rule is broken.
inline constexpr double kFairShare = 0.5;

// Draws a day with more demand than capacity: a few workspaces ask for many times their usual, with
// callers in one to all domains, and some callers move to another domain.
auto DrawScenario(std::uint64_t seed) -> DirectScenario;

// A quarter of the replicas is down for some seconds. A workspace with callers in all domains asks
// for most from then on, two with callers in one domain each do all along.
auto CrashScenario() -> DirectScenario;

// Runs the scenario. The same scenario and seed give the same result.
auto Run(const DirectScenario& scenario, std::uint64_t seed) -> DirectResult;

}  // namespace filbertstair::bench

#endif  // FILBERTSTAIR_BENCH_DIRECT_MODEL_H_
