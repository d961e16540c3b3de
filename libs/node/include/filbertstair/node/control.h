#ifndef FILBERTSTAIR_NODE_CONTROL_H_
#define FILBERTSTAIR_NODE_CONTROL_H_

#include <functional>
#include <memory>
#include <string>

#include "filbertstair/net/h2.h"
#include "filbertstair/node/node.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::node {

// Paths of the streams between processes.
inline constexpr std::string_view kControlPath = "/control";
inline constexpr std::string_view kRequestPath = "/request";

// Time between two periodic messages on a control stream. A peer is suspected after three of them.
inline constexpr std::chrono::milliseconds kControlPeriod{1000};
// Longest wait for the peer's Hello.
inline constexpr std::chrono::milliseconds kHelloTimeout{2000};

// Least time between two updates caused by Outbox::RequestUpdate, so that a burst of changes is one
// message.
inline constexpr std::chrono::milliseconds kMinUpdateInterval{20};

// What a role does on a control stream. The functions run on fibers of the stream's worker.
struct ControlHandlers {
  // Called with the peer's Hello, before anything else. Returns false to turn the peer away.
  std::function<bool(const wire::Hello&, const std::shared_ptr<Outbox>&)> accept_peer;
  // Called for each message that node does not handle itself.
  std::function<void(const wire::Hello&, const wire::ControlMessage&)> on_message;
  // Called every kControlPeriod and after Outbox::RequestUpdate to push what the peer should know.
  std::function<void(const wire::Hello&, Outbox&, bool period_over)> push_update;
  std::function<void(const wire::Hello&)> on_close;
  // Least time between two updates of this stream; kMinUpdateInterval without it.
  std::function<std::chrono::milliseconds()> min_update_interval;
};

// Runs a control stream until it ends. Exchanges Hello and configuration, notes the peer's signs of
// life in the member table, and calls the handlers for the rest.
auto RunControl(Node& node, const std::shared_ptr<net::Stream>& stream,
                const ControlHandlers& handlers) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_CONTROL_H_
