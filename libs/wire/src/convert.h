#ifndef FILBERTSTAIR_WIRE_SRC_CONVERT_H_
#define FILBERTSTAIR_WIRE_SRC_CONVERT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "filbertstair.pb.h"
#include "filbertstair/core/error.h"
#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::wire::detail {

// Converts an enum number from a peer. Throws core::Error (Step::decode) for a number that the enum
// does not define, which a newer peer may send.
template <typename E>
auto ToEnum(std::uint32_t number, const std::string& peer) -> E {
  for (const auto& [value, name] : core::kNames<E>) {
    if (static_cast<std::uint32_t>(value) == number) return value;
  }
  throw core::Error(core::Step::decode, peer, "unknown enum value " + std::to_string(number));
}

template <typename E>
auto FromEnum(E value) -> std::uint32_t {
  return static_cast<std::uint32_t>(value);
}

// Bound on durations from a message; no process runs for longer. It keeps additions to a time from
// overflowing.
inline constexpr core::Duration kMaxDuration = std::chrono::years(10);

// Converts a duration from a peer and clamps it to kMaxDuration. Negative durations are encoded in
// two's complement.
inline auto ToDuration(std::uint64_t microseconds) -> core::Duration {
  const core::Duration duration(static_cast<std::int64_t>(microseconds));
  return std::clamp(duration, -kMaxDuration, kMaxDuration);
}

inline auto CopyAttemptId(const core::AttemptId& id, pb::AttemptId* out) -> void {
  out->set_entry(id.entry);
  out->set_incarnation(id.incarnation);
  out->set_serial(id.serial);
}

inline auto ToAttemptId(const pb::AttemptId& id) -> core::AttemptId {
  return {id.entry(), id.incarnation(), id.serial()};
}

}  // namespace filbertstair::wire::detail

#endif  // FILBERTSTAIR_WIRE_SRC_CONVERT_H_
