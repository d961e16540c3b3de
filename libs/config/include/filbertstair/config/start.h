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
//  asking_peers: the seeds are asked for their configuration.
//  reading_list: no seed had one; the VM list is read from the platform.
//  asking_listed: entries of that list are asked, because the platform may be stale and because
//  only
//    the elected entries should read the documents.
//  reading_documents: no peer had a configuration; the documents are read from the platform.
//  ready: the configuration in force may be used; digests keep it up to date.
enum class StartPhase { asking_peers, reading_list, asking_listed, reading_documents, ready };

struct StartRules {
  // Peers asked at the same time, and answers with a configuration that suffice. Two answers make
  // it unlikely that a single peer that was cut off until now gives an old version.
  std::size_t max_peers = 5;
  std::size_t sufficient_answers = 2;
  // Longest time in each of the two phases that ask peers.
  core::Duration peer_timeout = std::chrono::seconds(2);
  // The VM list is read after jitter times list_spread, the documents after jitter times
  // document_spread per listed entry, or at once by elected entries. If 1,200 entries start
  // together and none can reach another, they make 600 calls a second for the list and then 125 for
  // each document.
  core::Duration list_spread = std::chrono::seconds(2);
  core::Duration document_spread = std::chrono::milliseconds(8);
  // Time between failed platform calls, doubled per failure up to the maximum.
  core::Duration retry_delay = std::chrono::seconds(1);
  core::Duration retry_delay_max = std::chrono::seconds(30);
};

struct StartState {
  StartPhase phase = StartPhase::asking_peers;
  core::Time phase_started_at{};
  // Drawn once per process by the caller, in [0, 1).
  double jitter = 0;
  std::vector<std::string> seeds;
  // Peers asked in this phase, how many of them answered or failed, and how many of them had a
  // configuration.
  std::size_t peers_asked = 0;
  std::size_t peers_finished = 0;
  std::size_t peers_configured = 0;
  // Entries in the VM list that was read.
  std::size_t listed_entries = 0;
  // Whether a valid VM list and at least one document are in force here.
  bool configured = false;
  // Whether no peer has confirmed the configuration: it comes from a platform that may be stale.
  bool unconfirmed = true;
  std::uint32_t failures = 0;
  bool call_pending = false;
  core::Time next_call_at{};
};

// What the caller does next: addresses to ask for a complete digest and newer objects, and calls to
// the platform.
struct StartActions {
  std::vector<std::string> peers_to_ask;
  bool read_list = false;
  bool read_documents = false;
};

// Starts by asking up to max_peers of `seeds`, addresses from the settings, beginning with the one
// that `jitter` selects.
auto BeginColdStart(std::vector<std::string> seeds, double jitter, const StartRules& rules,
                    core::Time now, StartState& state) -> StartActions;

// Notes that a peer answered and that the objects it sent have been offered. `has_configuration`
// tells of the peer, `configured` of this process. Also called for objects that a peer pushes.
auto HandlePeerAnswer(StartState& state, bool has_configuration, bool configured,
                      const StartRules& rules, core::Time now) -> StartActions;

// Notes that a peer cannot be reached or gave no answer.
auto HandlePeerFailure(StartState& state, const StartRules& rules, core::Time now) -> StartActions;

// Notes that the VM list has been read and offered. `listed` are the addresses of its live entries
// without this process; `elected` tells that DecideWatch elects this process.
auto HandleVmListRead(StartState& state, const std::vector<std::string>& listed, bool elected,
                      const StartRules& rules, core::Time now) -> StartActions;

// Notes that the documents have been read and offered.
auto HandleDocumentsRead(StartState& state, bool configured, const StartRules& rules,
                         core::Time now) -> void;

// Notes that a platform call failed or that its content is invalid.
auto HandlePlatformFailure(StartState& state, const StartRules& rules, core::Time now) -> void;

// Lets time pass: ends phases at their limit and makes the platform calls that are due. Called
// several times a second until the phase is ready.
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
