#ifndef FILBERTSTAIR_DOCUMENT_SERVICE_H_
#define FILBERTSTAIR_DOCUMENT_SERVICE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/types.h"

namespace filbertstair::document {

// A workspace's share and limits within one service.
struct Workspace {
  std::string id{};
  double weight = 1.0;
  // Requests that may wait at one entry before further ones are refused with queue_full.
  std::uint32_t max_waiting = 100;
};

// VMs that serve this service: those whose pool in the VM list has this name.
struct Pool {
  std::string name{};
  // Bounds for the number of requests that one endpoint process keeps in flight at its replica.
  std::uint32_t min_slots = 1;
  std::uint32_t max_slots = 16;
};

// Calls that must run at most once: those with this method ("*" for any) whose path, as the replica
// sees it, begins with this text.
struct AtMostOnceRule {
  std::string method = "*";
  std::string path = "/";
};

struct Timeouts {
  // From arrival at the entry to the end of the answer.
  core::Duration request = std::chrono::seconds(600);
  // Longest wait in the queue before a request is refused with deadline_exceeded.
  core::Duration queue = std::chrono::seconds(60);
  // Longest gap between two parts of a streamed answer.
  core::Duration idle = std::chrono::seconds(60);
};

struct Retries {
  // Retries as a share of first attempts, per workspace and service.
  double budget = 0.1;
  std::uint32_t max_attempts = 3;
};

// Times of section 4.2 of the design page.
struct Idempotency {
  // From the issue of an idempotency key until it no longer protects.
  core::Duration protect = std::chrono::minutes(10);
  // Time for which an owner answers with outcome unknown after its start and after a change of
  // owner.
  core::Duration quiet = std::chrono::seconds(10);
  // Largest assumed difference between the wall clocks of two endpoint processes.
  core::Duration max_skew = std::chrono::seconds(2);
};

// One service as its document describes it.
struct Service {
  std::string name{};
  std::uint64_t version = 0;
  std::vector<std::string> hosts{};
  std::vector<std::string> paths{};
  std::vector<std::string> logical_names{};
  std::vector<Pool> pools{};
  std::vector<std::string> models{};
  std::vector<Workspace> workspaces{};
  std::vector<AtMostOnceRule> once{};
  Timeouts timeouts{};
  Retries retries{};
  Idempotency idempotency{};
  std::uint64_t max_body_bytes = 8u << 20;
  // How far behind, in slot time per unit of weight, a workspace in another region must be before
  // an endpoint prefers its request to one from the endpoint's own region.
  core::Duration link_price = std::chrono::seconds(1);
  // Lead of a workspace over the least level, in slot time per unit of weight, above which the
  // rest is forgiven.
  core::Duration max_lead = std::chrono::seconds(60);
};

// Returns the service's pool called `name`, or null.
inline auto FindPool(const Service& service, std::string_view name) -> const Pool* {
  for (const auto& pool : service.pools) {
    if (pool.name == name) return &pool;
  }
  return nullptr;
}

}  // namespace filbertstair::document

#endif  // FILBERTSTAIR_DOCUMENT_SERVICE_H_
