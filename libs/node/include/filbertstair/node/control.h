#ifndef FILBERTSTAIR_NODE_CONTROL_H_
#define FILBERTSTAIR_NODE_CONTROL_H_

#include <functional>
#include <memory>
#include <string>

#include "filbertstair/net/h2.h"
#include "filbertstair/node/node.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::node {

// HTTP/2 paths of the streams between processes.
inline constexpr std::string_view kControlPath = "/control";
inline constexpr std::string_view kRequestPath = "/request";

// Interval of the periodic digest on a control stream. A peer is suspected after three intervals
// without a message.
inline constexpr std::chrono::milliseconds kControlPeriod{1000};
// Timeout for the peer's Hello.
inline constexpr std::chrono::milliseconds kHelloTimeout{2000};

// Minimum interval between two updates caused by Outbox::RequestUpdate, so that a burst of changes
// is combined into one message.
inline constexpr std::chrono::milliseconds kMinUpdateInterval{20};

// Role-specific callbacks of a control stream. They run on fibers of the stream's worker; any of
// them may be empty.
struct ControlHandlers {
  // Called first, with the peer's Hello. Returns false to reject the peer and reset the stream.
  std::function<bool(const wire::Hello&, const std::shared_ptr<Outbox>&)> accept_peer;
  // Called for each message other than those that distribute configuration.
  std::function<void(const wire::Hello&, const wire::ControlMessage&)> on_message;
  // Pushes state updates for the peer. Called every kControlPeriod, then with `period_over`, and
  // after Outbox::RequestUpdate.
  std::function<void(const wire::Hello&, Outbox&, bool period_over)> push_update;
  // Called after the stream ended, unless accept_peer rejected the peer.
  std::function<void(const wire::Hello&)> on_close;
  // Returns the minimum interval between two updates of this stream; kMinUpdateInterval if empty.
  std::function<std::chrono::milliseconds()> min_update_interval;
};

// Runs a control stream until it ends. Exchanges Hello and configuration, records the peer's
// heartbeats in the member table, and passes all other messages to the handlers. Throws core::Error
// if the peer does not send a Hello within kHelloTimeout.
auto RunControl(Node& node, const std::shared_ptr<net::Stream>& stream,
                const ControlHandlers& handlers) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_CONTROL_H_
