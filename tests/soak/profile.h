#ifndef FILBERTSTAIR_TESTS_SOAK_PROFILE_H_
#define FILBERTSTAIR_TESTS_SOAK_PROFILE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/types.h"
#include "filbertstair/schema/problem.h"
#include "tests/soak/callers.h"

namespace filbertstair::soak {

struct ProfileZone {
  std::string name;
  std::string region;
};

struct EntryGroup {
  std::string zone;
  std::uint32_t count = 1;
  // Cores that the settings state.
  double cores = 1;
};

struct ReplicaGroup {
  std::string service;
  std::string zone;
  std::uint32_t count = 1;
  // Requests at work and waiting; further ones are refused with this `Retry-After`, or none if 0.
  std::uint32_t slots = 1;
  std::uint32_t queue = 0;
  core::Duration retry_after{0};
};

// Requests of one route.
struct RequestClass {
  std::string name;
  CallKind kind = CallKind::again;
  // Arrivals per second, without those that come back.
  double rate = 1;
  // Time that a caller allows for all its attempts, and that the route allows for one.
  core::Duration deadline{0};
  core::Duration timeout{0};
  core::Duration objective{0};
  // Replicas for one attempt.
  std::uint32_t attempts = 1;
  std::uint32_t body_bytes = 0;
  // Events of a stream, and the work for each of them or for a plain answer.
  std::uint32_t events = 0;
  core::Duration work{0};
};

struct Patience {
  // Most attempts of a caller.
  std::uint32_t attempts = 1;
  // Share of refused callers that come back at once, whatever `Retry-After` says.
  double at_once = 0;
  // Share of requests that use a connection that was kept.
  double kept = 0;
  // Share of callers of streams that leave after the first bytes.
  double leaving = 0;
};

// A deployment and its traffic.
struct Profile {
  std::vector<ProfileZone> zones;
  // Added to each direction between an entry and a replica of another zone. Relays then look up the
  // owner of each connection, which took 2.5 cores at 220 requests per second and held connections
  // for seconds, so the profiles of this size have none.
  core::Duration zone_delay{0};
  // Share of the time for which the processes of entries may run, in turns of SIGSTOP and SIGCONT
  // over the whole run; 1 does not stop them.
  double running_share = 1;
  std::uint32_t workspaces = 1;
  std::vector<EntryGroup> entries;
  std::vector<ReplicaGroup> replicas;
  std::vector<RequestClass> classes;
  Patience patience;
};

struct ProfileResult {
  Profile profile;
  // Empty if the profile can be used.
  std::vector<schema::Problem> problems;
};

auto ParseProfile(std::string_view text, const std::string& file) -> ProfileResult;

// Throws std::runtime_error with all problems, and core::Error if the file can't be read.
auto ReadProfile(const std::string& path) -> Profile;

}  // namespace filbertstair::soak

#endif  // FILBERTSTAIR_TESTS_SOAK_PROFILE_H_
