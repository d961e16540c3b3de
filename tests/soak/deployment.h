#ifndef FILBERTSTAIR_TESTS_SOAK_DEPLOYMENT_H_
#define FILBERTSTAIR_TESTS_SOAK_DEPLOYMENT_H_

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/fleet/harness.h"
#include "tests/fleet/relay.h"
#include "tests/soak/plan.h"
#include "tests/soak/profile.h"

namespace filbertstair::soak {

// One process of an entry, as the soak started and ended it. Times are microseconds of the
// machine's monotonic clock; 0 for what did not happen.
struct EntryRun {
  int entry = 0;
  std::int64_t started_at = 0;
  // First time at which it was ready.
  std::int64_t ready_at = 0;
  // First SIGTERM, and the SIGKILL.
  std::int64_t terminated_at = 0;
  std::int64_t killed_at = 0;
  std::int64_t ended_at = 0;
  // Exit code, or 128 plus the signal that ended it.
  int status = 0;
};

// The time from the first to the last step of a fault, which may explain what callers see of an
// entry, or of all if it is -1. Zeros before the first step.
struct Disturbance {
  FaultKind kind = FaultKind::terminate;
  int entry = -1;
  std::int64_t from = 0;
  std::int64_t until = 0;
  // Id of the replica for a fault of one.
  std::string replica{};
};

// Memory in bytes, descriptors and threads of a process, from the kernel.
struct Usage {
  std::int64_t resident = 0;
  int descriptors = 0;
  int threads = 0;
};

struct Entry {
  int index = 0;
  ProfileZone zone;
  double cores = 0;
  std::string callers;
  std::string peers;
  std::string admin;
  std::string settings_path;
  // Sound content of the settings file.
  std::string settings;
  std::unique_ptr<fleet::Process> process;
  // The relay between callers and the entry.
  std::string relay_address;
  std::unique_ptr<fleet::Relay> relay;
  // Whether it is to be running, so that it is started again when its process has ended.
  bool wanted = true;
  // Number of faults that keep its process frozen.
  int frozen = 0;
  std::vector<EntryRun> runs;
  Usage usage_before;
  Usage usage_after;
  std::int64_t peak_resident = 0;
};

struct Replica {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::uint32_t slots = 0;
  // Further arguments of the stand-in.
  std::vector<std::string> arguments;
  // The relay that the store lists.
  std::string relay_address;
  std::unique_ptr<fleet::Process> process;
  std::unique_ptr<fleet::Relay> relay;
};

// Entries of the deploy file, a store and replicas, each a process of its own, with relays between
// them. All files are below `directory`.
struct Deployment {
  Plan plan;
  // The profile that the plan names.
  std::optional<Profile> profile;
  // Process ids of the entries by zone, for relays that tell zones apart.
  std::shared_ptr<fleet::PidTable> pids = std::make_shared<fleet::PidTable>();
  std::filesystem::path directory;
  std::string store;
  std::string store_relay_address;
  std::unique_ptr<fleet::Process> store_process;
  std::unique_ptr<fleet::Relay> store_relay;
  // Starts of the store; a later one continues with higher revisions.
  int store_starts = 0;
  // Times around the call by which the second key was revoked; 0 before that.
  std::int64_t revoke_began_at = 0;
  std::int64_t revoked_at = 0;
  std::vector<Entry> entries;
  std::vector<Replica> replicas;
  std::vector<Disturbance> disturbances;
};

// Starts all processes and waits until the entries are ready. Throws std::runtime_error if one is
// not after 20 s.
auto StartDeployment(const Plan& plan, const std::filesystem::path& directory) -> Deployment;

auto StartEntry(Deployment& deployment, Entry& entry) -> void;
auto StartReplica(Deployment& deployment, Replica& replica) -> void;
auto StartStore(Deployment& deployment) -> void;

// Sets the links of all entries to the replica. Open links between zones have the profile's delay.
auto SetLink(const Deployment& deployment, Replica& replica, fleet::LinkMode mode) -> void;

// Sends a command to a stand-in, for example "silent?on=1". Returns whether it answered.
auto Control(const std::string& address, const std::string& command) -> bool;

// Records processes that have ended, starts those that are wanted, and samples what they use.
auto Supervise(Deployment& deployment) -> void;

// Reads what the process uses; zeros if it has ended.
auto ReadUsage(pid_t pid) -> Usage;

// Terminates all entries, waits up to `time` and records their ends.
auto StopEntries(Deployment& deployment, std::chrono::milliseconds time) -> void;

}  // namespace filbertstair::soak

#endif  // FILBERTSTAIR_TESTS_SOAK_DEPLOYMENT_H_
