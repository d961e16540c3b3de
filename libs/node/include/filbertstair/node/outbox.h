#ifndef FILBERTSTAIR_NODE_OUTBOX_H_
#define FILBERTSTAIR_NODE_OUTBOX_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/runtime/signal.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::node {

// Control messages for one peer, pushed by fibers of any worker and sent by the control stream's
// own.
class Outbox {
 public:
  // A peer that reads nothing for so many messages is frozen or cut off; the stream is given up.
  static constexpr std::size_t kMaxMessages = 4096;

  auto Push(wire::ControlMessage message) -> void;

  // Asks the control stream to run its periodic work now, for example after a change of load.
  auto RequestUpdate() -> void;

  // Waits for messages, RequestUpdate, Close or the deadline, and takes the messages.
  auto WaitUntil(std::chrono::steady_clock::time_point deadline)
      -> std::vector<wire::ControlMessage>;

  auto Close() -> void;
  auto IsClosed() -> bool;

 private:
  struct State {
    std::vector<wire::ControlMessage> messages;
    bool closed = false;
  };
  runtime::Guarded<State, runtime::Rank::outbox> state;
  runtime::Signal changed;
};

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_OUTBOX_H_
