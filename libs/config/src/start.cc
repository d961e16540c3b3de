#include "filbertstair/config/start.h"

#include <algorithm>
#include <cmath>

namespace filbertstair::config {
namespace {

auto Scale(double factor, core::Duration duration) -> core::Duration {
  return std::chrono::duration_cast<core::Duration>(std::clamp(factor, 0.0, 1.0) * duration);
}

auto Enter(StartState& state, StartPhase phase, core::Time now) -> void {
  state.phase = phase;
  state.since = now;
  state.asked = 0;
  state.settled = 0;
  state.failures = 0;
  state.call_pending = false;
}

auto AsksPeers(StartPhase phase) -> bool {
  return phase == StartPhase::asking_peers || phase == StartPhase::asking_listed;
}

// Selects up to max_peers addresses, beginning at the one that the jitter selects, so that the
// processes of a fleet that starts do not all ask the same ones.
auto Ask(StartState& state, const std::vector<std::string>& addresses, const StartRules& rules)
    -> StartActions {
  StartActions actions;
  const auto count = std::min(addresses.size(), rules.max_peers);
  const auto first = static_cast<std::size_t>(std::clamp(state.jitter, 0.0, 1.0) *
                                              static_cast<double>(addresses.size()));
  for (std::size_t i = 0; i < count; ++i) {
    actions.ask.push_back(addresses[(first + i) % addresses.size()]);
  }
  state.asked = count;
  return actions;
}

// Makes the platform call of the phase if it is due.
auto CallPlatform(StartState& state, core::Time now) -> StartActions {
  StartActions actions;
  if (state.call_pending || now < state.next_call) return actions;
  actions.read_list = state.phase == StartPhase::reading_list;
  actions.read_documents = state.phase == StartPhase::reading_documents;
  state.call_pending = actions.read_list || actions.read_documents;
  return actions;
}

// Leaves the phase if what is known suffices or nothing more is to be expected.
auto Advance(StartState& state, const StartRules& rules, core::Time now) -> StartActions {
  if (state.phase == StartPhase::ready) return {};
  if (!AsksPeers(state.phase)) {
    // A configuration pushed by a peer makes the platform's unnecessary.
    if (!state.configured || state.unconfirmed) return CallPlatform(state, now);
    Enter(state, StartPhase::ready, now);
    return {};
  }
  const bool finished = state.settled >= state.asked || now - state.since >= rules.peer_wait;
  if (state.configured && (finished || state.with_configuration >= rules.enough_answers)) {
    Enter(state, StartPhase::ready, now);
    return {};
  }
  if (!finished) return {};
  const bool seeds = state.phase == StartPhase::asking_peers;
  Enter(state, seeds ? StartPhase::reading_list : StartPhase::reading_documents, now);
  const auto listed = static_cast<std::int64_t>(state.listed);
  const auto spread = seeds ? rules.list_spread : rules.document_spread * listed;
  state.next_call = now + Scale(state.jitter, spread);
  return CallPlatform(state, now);
}

}  // namespace

auto Start(std::vector<std::string> seeds, double jitter, const StartRules& rules, core::Time now,
           StartState& state) -> StartActions {
  state = StartState{};
  state.jitter = jitter;
  state.seeds = std::move(seeds);
  Enter(state, StartPhase::asking_peers, now);
  if (state.seeds.empty()) return Advance(state, rules, now);
  return Ask(state, state.seeds, rules);
}

auto PeerAnswered(StartState& state, bool has_configuration, bool configured,
                  const StartRules& rules, core::Time now) -> StartActions {
  ++state.settled;
  if (has_configuration) ++state.with_configuration;
  state.unconfirmed = state.unconfirmed && !has_configuration;
  state.configured = state.configured || configured;
  return Advance(state, rules, now);
}

auto PeerFailed(StartState& state, const StartRules& rules, core::Time now) -> StartActions {
  ++state.settled;
  return Advance(state, rules, now);
}

auto ListRead(StartState& state, const std::vector<std::string>& listed, bool elected,
              const StartRules& rules, core::Time now) -> StartActions {
  if (state.phase != StartPhase::reading_list) return {};
  if (elected) state.jitter = 0;
  state.listed = listed.size();
  Enter(state, StartPhase::asking_listed, now);
  if (listed.empty()) return Advance(state, rules, now);
  return Ask(state, listed, rules);
}

auto DocumentsRead(StartState& state, bool configured, const StartRules& rules, core::Time now)
    -> void {
  state.configured = state.configured || configured;
  if (state.phase != StartPhase::reading_documents) return;
  if (!configured) return PlatformReadFailed(state, rules, now);
  Enter(state, StartPhase::ready, now);
}

auto PlatformReadFailed(StartState& state, const StartRules& rules, core::Time now) -> void {
  state.call_pending = false;
  const auto wait = rules.retry * (std::int64_t{1} << std::min(state.failures++, 16U));
  state.next_call = now + Scale(0.5 + state.jitter / 2, std::min(wait, rules.retry_max));
}

auto Tick(StartState& state, const StartRules& rules, core::Time now) -> StartActions {
  return Advance(state, rules, now);
}

}  // namespace filbertstair::config
