#ifndef FILBERTSTAIR_CONFIG_START_H_
#define FILBERTSTAIR_CONFIG_START_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// Phase of an entry's cold start.
//  asking_peers: requests the configuration from the seeds.
//  reading_list: no seed had one; reads the VM list from the platform.
//  asking_listed: requests the configuration from entries of that list, because the platform may be
//    stale and because only the elected entries should read the documents.
//  reading_documents: no peer had a configuration; reads the documents from the platform.
//  ready: the current configuration may be used; digests keep it up to date.
enum class StartPhase { asking_peers, reading_list, asking_listed, reading_documents, ready };

// Limits and timeouts of the cold start.
struct StartRules {
  // Number of peers queried in parallel, and number of answers with a configuration that suffice.
  // Two answers make it unlikely that the version comes from a single peer that was partitioned
  // until now and is out of date.
  std::size_t max_peers = 5;
  std::size_t sufficient_answers = 2;
  // Maximum duration of each of the two phases that query peers.
  core::Duration peer_timeout = std::chrono::seconds(2);
  // The VM list is read after a delay of jitter * list_spread, the documents after jitter *
  // document_spread per listed entry, or immediately by elected entries. If 1,200 entries start
  // together and none can reach another, they make 600 calls per second for the list and then 125
  // for each document.
  core::Duration list_spread = std::chrono::seconds(2);
  core::Duration document_spread = std::chrono::milliseconds(8);
  // Delay after a failed platform call, before jitter; it doubles with each failure up to the
  // maximum.
  core::Duration retry_delay = std::chrono::seconds(1);
  core::Duration retry_delay_max = std::chrono::seconds(30);
};

// State of a cold start. Times are on the local clock.
struct StartState {
  StartPhase phase = StartPhase::asking_peers;
  core::Time phase_started_at{};
  // Random number in [0, 1) that the caller samples once per process.
  double jitter = 0;
  std::vector<std::string> seeds;
  // Number of peers queried in this phase, of those that answered or failed, and of all answers so
  // far with a configuration.
  std::size_t peers_asked = 0;
  std::size_t peers_finished = 0;
  std::size_t peers_configured = 0;
  // Number of other live entries in the VM list read from the platform.
  std::size_t listed_entries = 0;
  // Whether this process has a valid VM list and at least one document.
  bool configured = false;
  // Whether no peer has confirmed the configuration, so that it may come from a stale platform.
  bool unconfirmed = true;
  // Number of failed platform calls in this phase.
  std::uint32_t failures = 0;
  // Whether a platform call is outstanding, and the earliest time of the next one.
  bool call_pending = false;
  core::Time next_call_at{};
};

// Actions for the caller: addresses from which to request a complete digest and newer objects, and
// objects to read from the platform.
struct StartActions {
  std::vector<std::string> peers_to_ask;
  bool read_list = false;
  bool read_documents = false;
};

// Initializes `state` and requests the configuration from up to max_peers of `seeds`, which are
// addresses from the settings, starting with the one that `jitter` selects.
auto BeginColdStart(std::vector<std::string> seeds, double jitter, const StartRules& rules,
                    core::Time now, StartState& state) -> StartActions;

// Handles a peer's answer after the objects it sent have been offered. `has_configuration` tells
// whether the peer has a configuration, `configured` whether this process has one. Also called for
// objects that a peer sends unrequested.
auto HandlePeerAnswer(StartState& state, bool has_configuration, bool configured,
                      const StartRules& rules, core::Time now) -> StartActions;

// Handles a peer that is unreachable or did not answer.
auto HandlePeerFailure(StartState& state, const StartRules& rules, core::Time now) -> StartActions;

// Handles the VM list after it has been read from the platform and offered. `listed` contains the
// addresses of its live entries except this process; `elected` tells whether DecideWatch elects
// this process.
auto HandleVmListRead(StartState& state, const std::vector<std::string>& listed, bool elected,
                      const StartRules& rules, core::Time now) -> StartActions;

// Handles the documents after they have been read from the platform and offered. `configured` tells
// whether this process now has a configuration; if not, the read counts as failed.
auto HandleDocumentsRead(StartState& state, bool configured, const StartRules& rules,
                         core::Time now) -> void;

// Handles a platform call that failed or returned invalid content, and schedules the next one.
auto HandlePlatformFailure(StartState& state, const StartRules& rules, core::Time now) -> void;

// Ends a phase at its timeout and returns the platform calls that are due. Must be called several
// times a second until the phase is `ready`.
auto ContinueColdStart(StartState& state, const StartRules& rules, core::Time now) -> StartActions;

}  // namespace filbertstair::config

namespace filbertstair::core {
template <>
inline constexpr NameTable<config::StartPhase, 5> kNames<config::StartPhase>{
    {{config::StartPhase::asking_peers, "asking_peers"},
     {config::StartPhase::reading_list, "reading_list"},
     {config::StartPhase::asking_listed, "asking_listed"},
     {config::StartPhase::reading_documents, "reading_documents"},
     {config::StartPhase::ready, "ready"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CONFIG_START_H_
