#ifndef FILBERTSTAIR_NODE_ADMIN_H_
#define FILBERTSTAIR_NODE_ADMIN_H_

#include <boost/json/fwd.hpp>
#include <functional>

#include "filbertstair/net/http_server.h"
#include "filbertstair/node/node.h"

namespace filbertstair::node {

// Answers to the admin listener that depend on the role.
struct AdminHandlers {
  // Whether the daemon accepts new work.
  std::function<bool()> is_ready;
  // Adds the members of the /status object that belong to the role.
  std::function<void(boost::json::object&)> add_status;
  // Called before /metrics is rendered, to set gauges.
  std::function<void()> refresh_gauges;
  // Begins a graceful shutdown.
  std::function<void()> begin_drain;
};

// Serves /metrics, /healthz, /readyz, /status, /trace?id=ID and POST /drain on the admin address.
auto ListenAdmin(Node& node, AdminHandlers handlers) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_ADMIN_H_
