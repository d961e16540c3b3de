#include "filbertstair/config/start.h"

#include <algorithm>
#include <cmath>

namespace filbertstair::config {
namespace {

// Multiplies `duration` by `factor`, clamped to [0, 1].
auto ScaleDuration(double factor, core::Duration duration) -> core::Duration {
  return std::chrono::duration_cast<core::Duration>(std::clamp(factor, 0.0, 1.0) * duration);
}

auto EnterPhase(StartState& state, StartPhase phase, core::Time now) -> void {
  state.phase = phase;
  state.phase_started_at = now;
  state.peers_asked = 0;
  state.peers_finished = 0;
  state.failures = 0;
  state.call_pending = false;
}

auto IsPeerPhase(StartPhase phase) -> bool {
  return phase == StartPhase::asking_peers || phase == StartPhase::asking_listed;
}

// Selects up to max_peers addresses, starting at a position given by the jitter, so that processes
// that start at the same time do not all query the same peers.
auto SelectPeers(StartState& state, const std::vector<std::string>& addresses,
                 const StartRules& rules) -> StartActions {
  StartActions actions;
  const auto count = std::min(addresses.size(), rules.max_peers);
  const auto first = static_cast<std::size_t>(std::clamp(state.jitter, 0.0, 1.0) *
                                              static_cast<double>(addresses.size()));
  for (std::size_t i = 0; i < count; ++i) {
    actions.peers_to_ask.push_back(addresses[(first + i) % addresses.size()]);
  }
  state.peers_asked = count;
  return actions;
}

// Returns the platform call of the current phase if it is due.
auto CallPlatform(StartState& state, core::Time now) -> StartActions {
  StartActions actions;
  if (state.call_pending || now < state.next_call_at) return actions;
  actions.read_list = state.phase == StartPhase::reading_list;
  actions.read_documents = state.phase == StartPhase::reading_documents;
  state.call_pending = actions.read_list || actions.read_documents;
  return actions;
}

// Enters the next phase if the configuration is sufficient or no more answers are expected.
auto Advance(StartState& state, const StartRules& rules, core::Time now) -> StartActions {
  if (state.phase == StartPhase::ready) return {};
  if (!IsPeerPhase(state.phase)) {
    // A configuration sent by a peer makes platform calls unnecessary.
    if (!state.configured || state.unconfirmed) return CallPlatform(state, now);
    EnterPhase(state, StartPhase::ready, now);
    return {};
  }
  const bool finished = state.peers_finished >= state.peers_asked ||
                        now - state.phase_started_at >= rules.peer_timeout;
  if (state.configured && (finished || state.peers_configured >= rules.sufficient_answers)) {
    EnterPhase(state, StartPhase::ready, now);
    return {};
  }
  if (!finished) return {};
  const bool seeds = state.phase == StartPhase::asking_peers;
  EnterPhase(state, seeds ? StartPhase::reading_list : StartPhase::reading_documents, now);
  const auto listed = static_cast<std::int64_t>(state.listed_entries);
  const auto spread = seeds ? rules.list_spread : rules.document_spread * listed;
  state.next_call_at = now + ScaleDuration(state.jitter, spread);
  return CallPlatform(state, now);
}

}  // namespace

auto BeginColdStart(std::vector<std::string> seeds, double jitter, const StartRules& rules,
                    core::Time now, StartState& state) -> StartActions {
  state = StartState{};
  state.jitter = jitter;
  state.seeds = std::move(seeds);
  EnterPhase(state, StartPhase::asking_peers, now);
  if (state.seeds.empty()) return Advance(state, rules, now);
  return SelectPeers(state, state.seeds, rules);
}

auto HandlePeerAnswer(StartState& state, bool has_configuration, bool configured,
                      const StartRules& rules, core::Time now) -> StartActions {
  ++state.peers_finished;
  if (has_configuration) ++state.peers_configured;
  state.unconfirmed = state.unconfirmed && !has_configuration;
  state.configured = state.configured || configured;
  return Advance(state, rules, now);
}

auto HandlePeerFailure(StartState& state, const StartRules& rules, core::Time now) -> StartActions {
  ++state.peers_finished;
  return Advance(state, rules, now);
}

auto HandleVmListRead(StartState& state, const std::vector<std::string>& listed, bool elected,
                      const StartRules& rules, core::Time now) -> StartActions {
  if (state.phase != StartPhase::reading_list) return {};
  if (elected) state.jitter = 0;
  state.listed_entries = listed.size();
  EnterPhase(state, StartPhase::asking_listed, now);
  if (listed.empty()) return Advance(state, rules, now);
  return SelectPeers(state, listed, rules);
}

auto HandleDocumentsRead(StartState& state, bool configured, const StartRules& rules,
                         core::Time now) -> void {
  state.configured = state.configured || configured;
  if (state.phase != StartPhase::reading_documents) return;
  if (!configured) return HandlePlatformFailure(state, rules, now);
  EnterPhase(state, StartPhase::ready, now);
}

auto HandlePlatformFailure(StartState& state, const StartRules& rules, core::Time now) -> void {
  state.call_pending = false;
  const auto wait = rules.retry_delay * (std::int64_t{1} << std::min(state.failures++, 16U));
  state.next_call_at =
      now + ScaleDuration(0.5 + state.jitter / 2, std::min(wait, rules.retry_delay_max));
}

auto ContinueColdStart(StartState& state, const StartRules& rules, core::Time now) -> StartActions {
  return Advance(state, rules, now);
}

}  // namespace filbertstair::config
