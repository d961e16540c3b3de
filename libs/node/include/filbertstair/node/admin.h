#ifndef FILBERTSTAIR_NODE_ADMIN_H_
#define FILBERTSTAIR_NODE_ADMIN_H_

#include <functional>
#include <string>

#include "filbertstair/net/http_server.h"
#include "filbertstair/node/node.h"

namespace filbertstair::node {

// Answers to the admin listener that depend on the role.
struct AdminHandlers {
  // Whether the daemon accepts new work.
  std::function<bool()> ready;
  // Members of the /status object that belong to the role, as JSON text without braces.
  std::function<std::string()> status;
  // Called before /metrics is rendered, to set gauges.
  std::function<void()> refresh;
  // Begins a graceful shutdown.
  std::function<void()> drain;
};

// Serves /metrics, /healthz, /readyz, /status, /trace?id=ID and POST /drain on the admin address.
auto ListenAdmin(Node& node, AdminHandlers handlers) -> void;

// Members of the /status object that both roles have.
auto CommonStatus(Node& node) -> std::string;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_ADMIN_H_
