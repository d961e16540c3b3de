#ifndef FILBERTSTAIR_CONFIG_WATCH_H_
#define FILBERTSTAIR_CONFIG_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// Why an entry watches the platform for changes, or `none` if it does not.
enum class WatchReason { none, elected, fallback };

// Entry of the own region. `suspected` is this process's own view. Leaving entries are not members.
struct RegionMember {
  std::string id;
  bool suspected = false;
};

// Parameters of the election of watchers and of their polling.
struct WatchRules {
  // Number of elected watchers per region.
  std::size_t watchers = 2;
  // An entry that is not elected starts to watch as a fallback once no contact with the platform
  // has been known for fallback_after + jitter * fallback_spread. The spread lets the first few
  // entries prevent the others from doing so, since their contact is reported within one or two
  // digest periods.
  core::Duration fallback_after = std::chrono::seconds(15);
  core::Duration fallback_spread = std::chrono::seconds(60);
  // Minimum interval between two calls of one entry. 1,200 entries in fallback make at most 240
  // calls per second, 12 % of the platform's limit of 2,000.
  core::Duration elected_interval = std::chrono::milliseconds(200);
  core::Duration fallback_interval = std::chrono::seconds(5);
  // Maximum interval between two calls after repeated failures, each of which doubles the interval.
  // An elected entry must notice that the platform has recovered within the 5 s allowed for a
  // change.
  core::Duration elected_interval_max = std::chrono::seconds(2);
  core::Duration fallback_interval_max = std::chrono::seconds(60);
};

// What an entry knows about the fleet's contact with the platform.
struct WatchState {
  // Latest local time at which any entry is known to have received an answer from the platform.
  // Initialized to the start time of the process.
  core::Time last_contact{};
  // Number of consecutive failed calls.
  std::uint32_t failures = 0;
};

// Records that the platform answered a call of this process. An answer older than the version in
// force comes from a stale platform and must be recorded as a failure.
auto RecordPlatformAnswer(WatchState& state, core::Time now) -> void;

// Records that a call of this process failed or timed out.
auto RecordPlatformFailure(WatchState& state) -> void;

// Records the contact reported in a peer's digest: the peer, or an entry whose report it relays,
// had contact with the platform `age` ago. Digests carry ages rather than times because clocks of
// different processes must not be compared.
auto RecordReportedContact(WatchState& state, core::Duration age, core::Time now) -> void;

// Returns the age of the latest known contact, which is sent with each digest.
auto ContactAge(const WatchState& state, core::Time now) -> core::Duration;

// Whether and how often an entry watches the platform.
struct WatchDecision {
  WatchReason reason = WatchReason::none;
  // Minimum time from the start of one platform call to the start of the next.
  core::Duration interval{};
};

// Decides whether the entry `self` watches the platform. `members` are the entries of its region,
// including itself; `jitter` in [0, 1) is sampled once per process.
auto DecideWatch(const std::string& self, std::span<const RegionMember> members,
                 const WatchState& state, const WatchRules& rules, double jitter, core::Time now)
    -> WatchDecision;

}  // namespace filbertstair::config

namespace filbertstair::core {
template <>
inline constexpr NameTable<config::WatchReason, 3> kNames<config::WatchReason>{
    {{config::WatchReason::none, "none"},
     {config::WatchReason::elected, "elected"},
     {config::WatchReason::fallback, "fallback"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CONFIG_WATCH_H_
