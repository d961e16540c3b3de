#ifndef FILBERTSTAIR_TESTS_FLEET_LOAD_H_
#define FILBERTSTAIR_TESTS_FLEET_LOAD_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "filbertstair/core/names.h"
#include "tests/fleet/caller.h"

namespace filbertstair::fleet {

enum class CallKind {
  // Model requests, repeatable.
  whole,
  streamed,
  // Application request, repeatable.
  lookup,
  // Application request that must run at most once, without a key.
  once,
  // The same with a key, sent again at other entries, concurrently and afterwards.
  keyed
};

// An entry as the callers' load balancer sees it.
struct Target {
  std::string address;
  std::atomic<bool> open{true};
};

// Concurrent callers over all entries.
struct Load {
  Recorder* recorder = nullptr;
  std::uint64_t seed = 1;
  std::vector<std::unique_ptr<Target>> targets;
  std::atomic<bool> stop{false};
  // Guards `outcomes`.
  std::mutex mutex;
  std::vector<Event> outcomes;
  std::vector<std::thread> threads;
};

// Returns a call of the services of faults.cc; `entropy` varies its size.
auto MakeCall(CallKind kind, const std::string& address, const std::string& id,
              const std::string& workspace, std::uint64_t entropy) -> Call;

// Starts `callers` threads that send a seeded mix of calls until StopLoad.
auto StartLoad(Load& load, int callers) -> void;

// Waits for the calls under way.
auto StopLoad(Load& load) -> void;

// Numbers of outcomes by "answer" or "KIND OUTCOME REASON".
auto Summarize(const Load& load) -> std::map<std::string, int>;

}  // namespace filbertstair::fleet

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::fleet::CallKind, 5>
    filbertstair::core::kNames<filbertstair::fleet::CallKind>{
        {{filbertstair::fleet::CallKind::whole, "whole"},
         {filbertstair::fleet::CallKind::streamed, "streamed"},
         {filbertstair::fleet::CallKind::lookup, "lookup"},
         {filbertstair::fleet::CallKind::once, "once"},
         {filbertstair::fleet::CallKind::keyed, "keyed"}}};

#endif  // FILBERTSTAIR_TESTS_FLEET_LOAD_H_
