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

// Decisions of an entry that passes requests to replicas itself, without an endpoint process
// beside each replica.
namespace filbertstair::direct {

// One of the services that a route is split over.
struct Target {
  std::string service;
  std::uint32_t weight = 1;
};

// Requests of one host below one path prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  std::vector<Target> targets;
  core::CallClass call_class = core::CallClass::once;
  // Whether the answer is a stream of events, and whether another replica may continue it.
  bool streaming = false;
  bool resumable = false;
  // Whether a request needs no credential.
  bool is_public = false;
  // Replicas that one request may be sent to.
  std::uint32_t attempts = 1;
  // Longest time until the end of the answer.
  core::Duration timeout = std::chrono::seconds(15);
  // Time to the answer, or to its first event, within which it is on time.
  core::Duration latency_objective = std::chrono::seconds(1);
  // Urgency; 0 comes first.
  std::uint32_t priority = 0;
};

struct ServiceSpec {
  // Connections that a replica accepts from all callers together; 0 if not stated.
  std::uint32_t max_connections = 0;
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
  // Workspace by credential. Without any, requests need no credential.
  std::unordered_map<std::string, std::string> credentials;
};

// Returns the route of the host with the longest prefix that begins the path, or null. A port in
// `host` is ignored.
auto FindRoute(const FleetConfig& fleet, std::string_view host, std::string_view path)
    -> const Route*;

// Returns the workspace that holds the credential, or null.
auto FindWorkspace(const FleetConfig& fleet, const std::string& credential) -> const std::string*;

// Returns the service for a request, by weight. The same `hash` gives the same service.
auto PickService(const Route& route, std::uint64_t hash) -> const std::string&;

// Whether a request may run more than once.
auto IsRetryable(const Route& route) -> bool;

// Returns the time after `now` for which a configuration that was current at `confirmed` may decide
// on credentials, or zero. Both are times of a clock that runs while the VM is suspended.
auto RemainingCredentialLease(core::Duration confirmed_at, core::Duration now) -> core::Duration;

// A revoked credential must be refused 5 s after the revocation, wherever the process was
// meanwhile. The difference covers the time between this check and the replica's start.
inline constexpr core::Duration kCredentialLease = std::chrono::milliseconds(4600);

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_FLEET_H_
