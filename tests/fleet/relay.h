#ifndef FILBERTSTAIR_TESTS_FLEET_RELAY_H_
#define FILBERTSTAIR_TESTS_FLEET_RELAY_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"

namespace filbertstair::fleet {

// What a relay does with connections from one source.
enum class LinkMode {
  // Forwards.
  open,
  // Keeps connections and accepts new ones but forwards nothing, as a partition does. Data that
  // arrives is forwarded once the link is open again.
  silent,
  // Resets connections and refuses new ones.
  reset
};

struct LinkState {
  LinkMode mode = LinkMode::open;
  // Added to each direction.
  std::chrono::milliseconds delay{0};
};

// Returns the source of a connection that was accepted from the loopback port `peer_port`.
using IdentifySource = std::function<std::string(std::uint16_t peer_port)>;

// TCP relay in a thread of its own. Links are kept per source, so that one relay in front of a
// process can cut single links to it. The destructor closes all connections.
class Relay {
 public:
  // Without `identify`, all connections have the source "".
  Relay(const std::string& listen, const std::string& target, IdentifySource identify = {});
  Relay(const Relay&) = delete;
  auto operator=(const Relay&) -> Relay& = delete;
  ~Relay();

  // Takes effect before it returns. The source "" is the default for sources without a state.
  auto SetLink(const std::string& source, LinkState state) -> void;

  // Payload bytes forwarded so far in both directions.
  auto Bytes() const -> std::uint64_t;

 private:
  struct State;
  std::unique_ptr<State> state;
};

// Returns which of `pids` has the socket with the loopback port `local_port`, or -1.
auto FindSocketOwner(std::uint16_t local_port, const std::vector<pid_t>& pids) -> pid_t;

}  // namespace filbertstair::fleet

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::fleet::LinkMode, 3>
    filbertstair::core::kNames<filbertstair::fleet::LinkMode>{
        {{filbertstair::fleet::LinkMode::open, "open"},
         {filbertstair::fleet::LinkMode::silent, "silent"},
         {filbertstair::fleet::LinkMode::reset, "reset"}}};

#endif  // FILBERTSTAIR_TESTS_FLEET_RELAY_H_
