#ifndef FILBERTSTAIR_DOCUMENT_SERVICE_H_
#define FILBERTSTAIR_DOCUMENT_SERVICE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/types.h"

namespace filbertstair::document {

// Weight and queue limit of a workspace within one service.
struct Workspace {
  std::string id{};
  // Relative share of the service's slot time.
  double weight = 1.0;
  // Maximum number of requests waiting at one entry; further ones are refused with queue_full.
  std::uint32_t max_waiting = 100;
};

// Pool of VMs that serve this service. A VM belongs to it if the VM list gives this pool name.
struct Pool {
  std::string name{};
  // Bounds on the number of requests that one endpoint process keeps in flight at its replica.
  std::uint32_t min_slots = 1;
  std::uint32_t max_slots = 16;
};

// Selects calls that must run at most once: those with this method ("*" for any) whose path, as
// sent to the replica, begins with `path`.
struct AtMostOnceRule {
  std::string method = "*";
  std::string path = "/";
};

struct Timeouts {
  // Maximum time from arrival at the entry to the end of the answer.
  core::Duration request = std::chrono::seconds(600);
  // Maximum wait in the queue before a request is refused with deadline_exceeded.
  core::Duration queue = std::chrono::seconds(60);
  // Maximum gap between two parts of a streamed answer.
  core::Duration idle = std::chrono::seconds(60);
};

struct Retries {
  // Maximum ratio of retries to first attempts, per workspace and service.
  double budget = 0.1;
  std::uint32_t max_attempts = 3;
};

// Durations of the idempotency protocol; see section 4.2 of the design page.
struct Idempotency {
  // Time from the issue of an idempotency key until it no longer protects against a second run.
  core::Duration protect = std::chrono::minutes(10);
  // Quiet period after an owner's start and after a change of owner, during which the owner answers
  // with outcome unknown.
  core::Duration quiet = std::chrono::seconds(10);
  // Maximum assumed difference between the wall clocks of two endpoint processes.
  core::Duration max_skew = std::chrono::seconds(2);
};

// A service as described by its document.
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
  // Minimum deficit of a workspace in another region, in slot time per unit of weight, at which an
  // endpoint prefers its request to one from the endpoint's own region.
  core::Duration link_price = std::chrono::seconds(1);
  // Maximum excess of a workspace over the lowest level of weighted service, in slot time per unit
  // of weight. Any excess above it is discarded.
  core::Duration max_lead = std::chrono::seconds(60);
};

// Returns the pool named `name`, or null if the service has none.
inline auto FindPool(const Service& service, std::string_view name) -> const Pool* {
  for (const auto& pool : service.pools) {
    if (pool.name == name) return &pool;
  }
  return nullptr;
}

}  // namespace filbertstair::document

#endif  // FILBERTSTAIR_DOCUMENT_SERVICE_H_
