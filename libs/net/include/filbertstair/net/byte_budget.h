#ifndef FILBERTSTAIR_NET_BYTE_BUDGET_H_
#define FILBERTSTAIR_NET_BYTE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"
#include "filbertstair/runtime/ranked_mutex.h"

// Memory that a process may spend on its clients: connections, and bytes read and held for
// requests. All listeners of a process share one budget (docs/design/memory-budget.md).
namespace filbertstair::net {

// What bytes are held for.
enum class ByteUse { connections, bodies, messages };

// Why a request was refused or a connection closed for its use of memory or its slowness.
enum class LimitReason {
  // The budget had no room for a body.
  no_memory,
  // A stalled body was dropped to make room for another one.
  evicted,
  // A body or a message was received below the minimum rate.
  slow_send,
  // A response was read below the minimum rate.
  slow_read,
  // A header has too many fields.
  many_fields,
  // A listener has too many connections.
  many_connections
};

// Counts a refusal or a closed connection. Called on a fiber of the listener; must not suspend.
using LimitObserver = std::function<void(LimitReason reason)>;

struct ByteBudgetPolicy {
  std::size_t capacity = std::numeric_limits<std::size_t>::max();
  // Fraction of the capacity that bodies and messages may take. The rest is left to connections,
  // without which no small request is served either.
  double body_share = 0.5;
  // Part of that fraction that is kept for bodies of up to `small_bytes`, so that a few large ones
  // do not lock out the many small ones.
  double small_share = 0.25;
  std::size_t small_bytes = std::size_t{64} << 10;
  // Time without progress after which a body that is being received may be dropped for another one.
  // Several times the round trip between two regions.
  core::Duration stalled_after = std::chrono::milliseconds(500);
};

// Bytes of one holder, for example of one request.
struct ByteHolding {
  ByteUse use = ByteUse::bodies;
  std::size_t bytes = 0;
  // Time at which bytes were last added.
  core::Time grown_at{};
  // Closes the holder's connection; called without the lock from any thread. Empty for a holder
  // that may not be closed, as it is not being received any more.
  std::function<void()> close{};
};

struct ByteBudgetState {
  ByteBudgetPolicy policy;
  std::map<std::uint64_t, ByteHolding> holdings;
  std::uint64_t last_id = 0;
  // Held bytes, indexed by ByteUse.
  std::array<std::size_t, 3> held{};
};

// Returns whether a holder that has `bytes` may take `more`.
auto HasRoom(const ByteBudgetState& state, ByteUse use, std::size_t bytes, std::size_t more)
    -> bool;

// Returns the holder to close in favour of another one: the largest of those that are still being
// received and have stalled, and of equally large ones that which stalled first. Returns 0 if there
// is none larger than `min_bytes`.
auto ChooseEvicted(const ByteBudgetState& state, std::size_t min_bytes, core::Time now)
    -> std::uint64_t;

class ByteBudget;

// Bytes that are held until this object is destroyed.
class HeldBytes {
 public:
  HeldBytes(std::shared_ptr<ByteBudget> budget, ByteUse use);
  ~HeldBytes();
  HeldBytes(const HeldBytes&) = delete;
  auto operator=(const HeldBytes&) -> HeldBytes& = delete;

  // Adds bytes if the budget has room, after closing a stalled holder if need be. Returns whether
  // it added them.
  auto TryGrow(std::size_t more) -> bool;
  // Gives bytes back.
  auto Shrink(std::size_t bytes) -> void;

  // Lets `close` be called once while the holder has stalled and another one needs its room.
  auto AllowEviction(std::function<void()> close) -> void;
  // Ends that. Returns false if `close` was called or is about to be.
  auto EndEviction() -> bool;

 private:
  std::shared_ptr<ByteBudget> budget;
  std::uint64_t id = 0;
};

// Budget of a process. Thread-safe.
class ByteBudget {
 public:
  explicit ByteBudget(const ByteBudgetPolicy& policy);

  // Held bytes of a use.
  auto Held(ByteUse use) -> std::size_t;
  // Returns whether a further connection of `bytes` would be granted without an eviction.
  auto HasRoomForConnection(std::size_t bytes) -> bool;

 private:
  friend class HeldBytes;
  runtime::Guarded<ByteBudgetState, runtime::Rank::bytes> state;
};

}  // namespace filbertstair::net

namespace filbertstair::core {
template <>
inline constexpr NameTable<net::ByteUse, 3> kNames<net::ByteUse>{
    {{net::ByteUse::connections, "connections"},
     {net::ByteUse::bodies, "bodies"},
     {net::ByteUse::messages, "messages"}}};
template <>
inline constexpr NameTable<net::LimitReason, 6> kNames<net::LimitReason>{
    {{net::LimitReason::no_memory, "no_memory"},
     {net::LimitReason::evicted, "evicted"},
     {net::LimitReason::slow_send, "slow_send"},
     {net::LimitReason::slow_read, "slow_read"},
     {net::LimitReason::many_fields, "many_fields"},
     {net::LimitReason::many_connections, "many_connections"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_NET_BYTE_BUDGET_H_
