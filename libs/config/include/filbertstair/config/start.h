#ifndef FILBERTSTAIR_CONFIG_START_H_
#define FILBERTSTAIR_CONFIG_START_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// Phase of a cold start.
//  asking_peers: digests of seeds are being collected.
//  asking_platform: no peer had a configuration; the platform is being read.
//  confirming: the platform answered; entries from its VM list are asked for newer versions,
//  because
//    the platform may be stale.
//  ready: the configuration in force may be used; digests keep it up to date from here on.
enum class StartPhase { asking_peers, asking_platform, confirming, ready };

struct StartRules {
  // Peers asked in each of the two peer phases, and answers with a configuration that suffice.
  std::size_t max_peers = 5;
  std::size_t enough_answers = 2;
  // Longest time in each of the two peer phases.
  core::Duration peer_wait = std::chrono::seconds(2);
  // The first platform call of a process starts after its jitter times this, so that 1,200 entries
  // that start together make 300 calls a second per object read.
  core::Duration platform_spread = std::chrono::seconds(4);
  // Time between failed platform calls: doubled per failure up to the maximum, times 0.5 to 1.
  core::Duration platform_retry = std::chrono::seconds(2);
  core::Duration platform_retry_max = std::chrono::seconds(30);
};

struct StartState {
  StartPhase phase = StartPhase::asking_peers;
  core::Time phase_since{};
  double jitter = 0;
  std::vector<std::string> seeds;
  // Addresses asked in this phase, and how their answers stand.
  std::vector<std::string> asked;
  std::size_t answered = 0;
  std::size_t with_configuration = 0;
  // Whether a configuration is in force: a valid VM list and, if one is required, a document.
  bool configured = false;
  // Whether the configuration came from the platform alone and no peer has confirmed it.
  bool unconfirmed = false;
  std::uint32_t platform_failures = 0;
  bool platform_call = false;
  core::Time next_platform_call{};
};

// What the caller does next. `ask` are addresses to connect to for a digest.
struct StartActions {
  std::vector<std::string> ask;
  bool call_platform = false;
};

// Starts. `seeds` are addresses from the settings, `jitter` in [0, 1) is drawn by the caller. Asks
// up to max_peers seeds, beginning at the one that the jitter selects.
auto Start(std::vector<std::string> seeds, double jitter, const StartRules& rules, core::Time now,
           StartActions& actions) -> StartState;

// Notes a peer's complete answer, after its objects have been offered. `has_configuration` tells
// that the peer itself has a configuration, `configured` that this process now has one.
auto PeerAnswered(StartState& state, bool has_configuration, bool configured,
                  const StartRules& rules, core::Time now, StartActions& actions) -> void;

// Notes that a peer cannot be reached or gave no answer.
auto PeerFailed(StartState& state, const StartRules& rules, core::Time now, StartActions& actions)
    -> void;

// Notes that the platform's objects have been read and offered. `listed` are the addresses of live
// entries in the VM list without this process.
auto PlatformRead(StartState& state, bool configured, const std::vector<std::string>& listed,
                  const StartRules& rules, core::Time now, StartActions& actions) -> void;

// Notes that the platform call failed or returned nothing usable.
auto PlatformReadFailed(StartState& state, const StartRules& rules, core::Time now) -> void;

// Lets time pass: ends a peer phase at its limit and makes due platform calls.
auto Tick(StartState& state, const StartRules& rules, core::Time now, StartActions& actions)
    -> void;

}  // namespace filbertstair::config

namespace filbertstair::core {
template <>
inline constexpr NameTable<config::StartPhase, 4> kNames<config::StartPhase>{
    {{config::StartPhase::asking_peers, "asking_peers"},
     {config::StartPhase::asking_platform, "asking_platform"},
     {config::StartPhase::confirming, "confirming"},
     {config::StartPhase::ready, "ready"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CONFIG_START_H_
