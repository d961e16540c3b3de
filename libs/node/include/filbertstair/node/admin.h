#ifndef FILBERTSTAIR_NODE_ADMIN_H_
#define FILBERTSTAIR_NODE_ADMIN_H_

#include <boost/json/fwd.hpp>
#include <functional>

#include "filbertstair/net/http_server.h"
#include "filbertstair/node/node.h"

namespace filbertstair::node {

// Role-specific callbacks of the admin listener.
struct AdminHandlers {
  // Returns whether the daemon accepts new requests; decides the status of /readyz.
  std::function<bool()> is_ready;
  // Adds the role-specific members to the /status object.
  std::function<void(boost::json::object&)> add_status;
  // Updates gauges before /metrics is rendered. May be empty.
  std::function<void()> refresh_gauges;
  // Starts a graceful shutdown.
  std::function<void()> begin_drain;
};

// Listens on the admin address of the settings and serves /metrics, /healthz, /readyz, /status,
// /trace?id=ID and POST /drain.
auto ListenAdmin(Node& node, AdminHandlers handlers) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_ADMIN_H_
