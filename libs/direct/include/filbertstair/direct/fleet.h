#ifndef FILBERTSTAIR_DIRECT_FLEET_H_
#define FILBERTSTAIR_DIRECT_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "filbertstair/core/types.h"

// Decisions of an entry that forwards requests to replicas itself, without an endpoint process
// beside each replica.
namespace filbertstair::direct {

// One of the services among which a route splits its requests, in proportion to the weights.
struct Target {
  std::string service;
  std::uint32_t weight = 1;
};

// Requests of one host whose path starts with one prefix.
struct Route {
  std::string name;
  std::string host;
  // Starts and ends with a slash.
  std::string prefix;
  std::vector<Target> targets;
  core::CallClass call_class = core::CallClass::once;
  // Whether the response is an event stream, and whether another replica may resume it.
  bool streaming = false;
  bool resumable = false;
  // Whether a request needs no credential.
  bool is_public = false;
  // Maximum number of replicas to which one request is sent.
  std::uint32_t attempts = 1;
  // Maximum time until the end of the response.
  core::Duration timeout = std::chrono::seconds(15);
  // Target time to the response, or to its first event if it is streamed.
  core::Duration latency_objective = std::chrono::seconds(1);
  // Longest time between two events of a stream that callers accept.
  core::Duration event_gap_objective = std::chrono::milliseconds(200);
  // Priority; 0 is the most urgent.
  std::uint32_t priority = 0;
  // Regions in which requests may be served; empty for no restriction.
  std::vector<std::string> allowed_regions;
};

struct ServiceSpec {
  // Connections that a replica accepts from all callers together; 0 if not specified.
  std::uint32_t max_connections = 0;
  // Time for which a replica is cold after its start, and the requests per second that it handles
  // meanwhile; 0 for no limit.
  core::Duration cold_time{};
  double cold_rate = 0;
};

struct Limits {
  std::uint32_t max_header_bytes = 16u << 10;
  std::uint64_t max_body_bytes = 8u << 20;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration idle_timeout = std::chrono::seconds(15);
};

// The configuration of the whole fleet as one value.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec, std::less<>> services;
  Limits limits;
  // Whether requests need a credential, except on public routes. Holds also while there are no
  // credentials, when all such requests are refused.
  bool requires_credential = false;
  // Workspace by credential.
  std::unordered_map<std::string, std::string> credentials;
  // Regions in which requests of a workspace may be served, by workspace. A workspace without a
  // restriction has no list.
  std::map<std::string, std::vector<std::string>, std::less<>> workspace_regions;
};

// Returns the route of the host with the longest prefix of the path, or null if there is none.
// Ignores case and a port in `host`, and a query in `path`.
auto FindRoute(const FleetConfig& fleet, std::string_view host, std::string_view path)
    -> const Route*;

// Returns the workspace to which the credential belongs, or null if it is unknown.
auto FindWorkspace(const FleetConfig& fleet, const std::string& credential) -> const std::string*;

// Returns the service for a request, chosen by weight. The same `hash` gives the same service.
auto PickService(const Route& route, std::uint64_t hash) -> const std::string&;

// Whether a request may be sent to a replica again after it may have run: a resumable stream, or a
// repeatable request that is not streamed.
auto IsRetryable(const Route& route) -> bool;

// Returns how long after `now` a configuration that was confirmed as current at `confirmed_at` may
// still be used to accept credentials, or zero. Both are times of a clock that runs while the VM is
// suspended.
auto RemainingCredentialLease(core::Duration confirmed_at, core::Duration now) -> core::Duration;

// A revoked credential must be refused 5 s after the revocation, even if the process was suspended
// or cut off meanwhile. The remaining 0.4 s cover the time between this check and the start at the
// replica.
inline constexpr core::Duration kCredentialLease = std::chrono::milliseconds(4600);

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_FLEET_H_
