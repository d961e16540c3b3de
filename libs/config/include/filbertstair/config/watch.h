#ifndef FILBERTSTAIR_CONFIG_WATCH_H_
#define FILBERTSTAIR_CONFIG_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// Why an entry watches the platform.
enum class WatchReason { none, elected, fallback };

// Entry of the own region. `suspected` is this process's own view; leaving entries are not listed.
struct RegionMember {
  std::string id;
  bool suspected = false;
};

struct WatchRules {
  // Entries per region that watch.
  std::size_t watchers = 2;
  // An entry falls back after this silence plus its jitter times `fallback_spread`. The spread lets
  // the first few stop the others, as their news travels within a digest period or two.
  core::Duration fallback_after = std::chrono::seconds(15);
  core::Duration fallback_spread = std::chrono::seconds(60);
  // Least time between two calls of one entry. 1,200 entries in fallback make at most 240 calls a
  // second, 12 % of the platform's 2,000.
  core::Duration elected_interval = std::chrono::milliseconds(200);
  core::Duration fallback_interval = std::chrono::seconds(5);
  // Longest time between two calls after repeated failures, which double the interval. An elected
  // entry must notice within the 5 s of a change that the platform is back.
  core::Duration elected_interval_max = std::chrono::seconds(2);
  core::Duration fallback_interval_max = std::chrono::seconds(60);
};

// What an entry knows of the fleet's contact with the platform.
struct WatchState {
  // Latest time, on this clock, at which some entry is known to have heard the platform.
  core::Time last_contact{};
  // Calls that have failed one after the other.
  std::uint32_t failures = 0;
};

// Notes that the platform answered a call of this process. An answer older than the version in
// force comes from a stale platform and counts as failed.
auto RecordPlatformAnswer(WatchState& state, core::Time now) -> void;

// Notes that a call of this process failed or timed out.
auto RecordPlatformFailure(WatchState& state) -> void;

// Notes a peer's digest: it or an entry before it heard the platform `age` ago. Ages instead of
// times are exchanged because clocks of processes are never compared.
auto RecordReportedContact(WatchState& state, core::Duration age, core::Time now) -> void;

// Age of the latest known contact, to be sent with each digest.
auto ContactAge(const WatchState& state, core::Time now) -> core::Duration;

struct WatchDecision {
  WatchReason reason = WatchReason::none;
  // Least time from the start of one platform call to the start of the next.
  core::Duration interval{};
};

// Decides whether entry `self` watches the platform. `members` are the entries of its region with
// itself; `jitter` in [0, 1) is drawn once per process. State at start: `contact` is the start
// time.
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
