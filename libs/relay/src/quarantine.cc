#include <algorithm>
#include <tuple>
#include <utility>

#include "filbertstair/core/hex.h"
#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Time to find out whether a replica still accepts connections. A live one responds within the
// round trip between two regions.
constexpr std::chrono::milliseconds kCrashCheckTimeout{400};
// Updates that are retained until all links have reported them, and the blocks in them, of at most
// 16 bytes each.
constexpr std::size_t kMaxQuarantineUpdates = 1024;
constexpr std::size_t kMaxUpdateBlocks = 16384;
// Limits on what a peer may report of one crash.
constexpr core::Duration kMaxCrashAge = std::chrono::hours(1);
constexpr std::uint32_t kMaxSoundCount = 1'000'000;

// A block that has just been quarantined.
struct NewQuarantine {
  std::uint64_t block = 0;
  direct::BlockSuspicion suspicion;
};

auto LogQuarantine(const NewQuarantine& quarantine, ReportSource source) -> void {
  const auto& suspicion = quarantine.suspicion;
  std::string replicas;
  for (const auto& crash : suspicion.crashes) {
    replicas += (replicas.empty() ? "" : ",") + crash->replica;
  }
  telemetry::Log(Level::error, Event::block_quarantined,
                 {{"block", core::FormatHex(quarantine.block)},
                  {"crashes", std::to_string(suspicion.crashes.size())},
                  {"replicas", replicas},
                  {"depth", std::to_string(suspicion.depth)},
                  {"source", core::Name(source)}});
}

// Calls `change` with the table and returns the blocks that are quarantined because of it.
template <typename Change>
auto FindNewQuarantines(Relay& relay, DispatchTable& table, Change&& change)
    -> std::vector<NewQuarantine> {
  const auto now = node::Now();
  const auto list = [&] {
    return direct::ListQuarantines(table.quarantine, relay.policies.quarantine, now);
  };
  const auto before = list();
  change();
  std::vector<NewQuarantine> added;
  for (const auto& quarantine : list()) {
    const bool known = std::any_of(before.begin(), before.end(), [&](const auto& other) {
      return other.block == quarantine.block;
    });
    if (!known) {
      added.push_back({quarantine.block, table.quarantine.blocks.at(quarantine.block)});
    }
  }
  return added;
}

auto CountBlocks(const QuarantineUpdate& update) -> std::size_t {
  return update.sound_blocks.size() + (update.evidence ? update.evidence->blocks.size() : 0);
}

auto AppendUpdate(DispatchTable& table, QuarantineUpdate update) -> void {
  auto& updates = table.quarantine_updates;
  table.quarantine_update_blocks += CountBlocks(update);
  updates.push_back(std::move(update));
  ++table.quarantine_update_count;
  while (updates.size() > 1 && (updates.size() > kMaxQuarantineUpdates ||
                                table.quarantine_update_blocks > kMaxUpdateBlocks)) {
    table.quarantine_update_blocks -= CountBlocks(updates.front());
    updates.pop_front();
  }
}

// Ends attempts of the worker that are at a replica with a prompt that is now quarantined and whose
// response has not begun: they would crash that replica, too.
auto CancelQuarantinedCalls(Relay& relay) -> void {
  for (const auto& call : ThisWorker(relay).calls) {
    if (call->response_started || !call->exchange || !FindQuarantine(relay, *call)) continue;
    call->quarantined = true;
    call->exchange->Cancel();
  }
}

// Applies new quarantines to the requests that wait or are at a replica.
auto ApplyQuarantines(Relay& relay, const std::vector<NewQuarantine>& quarantined,
                      ReportSource source) -> void {
  if (quarantined.empty()) return;
  for (const auto& quarantine : quarantined) LogQuarantine(quarantine, source);
  relay.dispatch.With([&](DispatchTable& table) { ResolveQuarantined(relay, table); });
  for (std::size_t i = 0; i < relay.workers.size(); ++i) {
    relay.node.pool.Post(i, [&relay] { CancelQuarantinedCalls(relay); });
  }
}

auto RecordCrash(Relay& relay, const direct::Prompt& prompt, const direct::ReplicaCrash& crash)
    -> void {
  const auto quarantined = relay.dispatch.With([&](DispatchTable& table) {
    return FindNewQuarantines(relay, table, [&] {
      auto blocks = direct::AddEvidence(table.quarantine, relay.policies.quarantine,
                                        direct::CollectEvidence(prompt, crash));
      if (blocks.empty()) return;
      AppendUpdate(table, {direct::CrashEvidence{crash, std::move(blocks)}, {}});
    });
  });
  ApplyQuarantines(relay, quarantined, ReportSource::replica);
  WakePeers(relay);
}

// Returns the latest start of the replica that was listed, or nothing if it is not listed.
auto FindLatestStart(Relay& relay, const Assignment& assignment) -> std::optional<std::int64_t> {
  return relay.dispatch.With([&](DispatchTable& table) -> std::optional<std::int64_t> {
    const auto* replica =
        direct::FindReplica(table.replicas, assignment.service, assignment.replica);
    if (replica == nullptr) return std::nullopt;
    return replica->latest_start_ms;
  });
}

auto ToRow(const direct::CrashEvidence& evidence, core::Time now) -> wire::PromptCrash {
  wire::PromptCrash row{
      evidence.crash.replica, std::max(now - evidence.crash.at, core::Duration{}), {}};
  row.blocks.reserve(evidence.blocks.size());
  for (const auto& block : evidence.blocks) {
    row.blocks.push_back({block.id, block.depth, std::min(block.sound, kMaxSoundCount)});
  }
  return row;
}

auto ToEvidence(const wire::PromptCrash& row, core::Time now) -> direct::CrashEvidence {
  direct::CrashEvidence evidence{
      {row.replica, now - std::clamp(row.age, core::Duration{}, kMaxCrashAge)}, {}};
  evidence.blocks.reserve(row.blocks.size());
  for (const auto& block : row.blocks) {
    evidence.blocks.push_back({block.id, block.depth, std::min(block.sound, kMaxSoundCount)});
  }
  return evidence;
}

}  // namespace

auto FindQuarantine(Relay& relay, const Call& call) -> std::optional<direct::Quarantine> {
  if (!call.head.prompt) return std::nullopt;
  return relay.dispatch.With([&](const DispatchTable& table) {
    return direct::FindQuarantine(table.quarantine, relay.policies.quarantine, *call.head.prompt,
                                  node::Now());
  });
}

auto ConfirmCrashes(Relay& relay, const std::vector<direct::Listing>& listings) -> void {
  const auto now = node::Now();
  std::vector<direct::UnconfirmedCrash> confirmed;
  relay.dispatch.With([&](DispatchTable& table) {
    for (const auto& listing : listings) {
      if (table.quarantine.unconfirmed.empty()) return;
      for (auto& crash : direct::TakeConfirmedCrashes(table.quarantine, relay.policies.quarantine,
                                                      listing, now)) {
        confirmed.push_back(std::move(crash));
      }
    }
  });
  for (const auto& item : confirmed) RecordCrash(relay, item.prompt, item.crash);
}

auto RecordIfCrashed(Relay& relay, const Call& call, const Assignment& assignment) -> bool {
  if (!call.head.prompt) return false;
  const auto& prompt = *call.head.prompt;
  const direct::ReplicaCrash crash{assignment.replica, node::Now()};
  std::optional<direct::EarlierLoss> earlier;
  bool is_unproven = false;
  if (assignment.stage == direct::AttemptStage::sent) {
    const auto& policy = relay.policies.quarantine;
    relay.dispatch.With([&](DispatchTable& table) {
      is_unproven = direct::HasUnprovenBlock(table.quarantine, policy, prompt, crash.at);
      earlier = direct::RecordUnansweredLoss(table.quarantine, policy, prompt,
                                             {crash, assignment.address});
    });
  }
  if (!direct::IsCrashSuspect(relay.policies.quarantine, assignment, earlier || is_unproven,
                              crash.at)) {
    return false;
  }
  // A new start may be listed during the check.
  const auto started_ms = FindLatestStart(relay, assignment);
  if (!net::RefusesConnections(assignment.address, kCrashCheckTimeout)) {
    if (!started_ms) return false;
    relay.dispatch.With([&](DispatchTable& table) {
      direct::RecordUnconfirmedCrash(table.quarantine, relay.policies.quarantine,
                                     {crash, assignment.address, *started_ms, prompt});
    });
    return false;
  }
  RecordCrash(relay, prompt, crash);
  if (earlier && net::RefusesConnections(earlier->loss.address, kCrashCheckTimeout)) {
    RecordCrash(relay, earlier->shared, earlier->loss.crash);
  }
  return true;
}

auto MayRetryAfterCrash(Relay& relay, const Call& call) -> bool {
  if (!call.head.prompt) return true;
  return relay.dispatch.With([&](const DispatchTable& table) {
    return direct::MayRetryAfterCrash(table.quarantine, relay.policies.quarantine,
                                      *call.head.prompt, node::Now());
  });
}

auto RecordSoundResponse(Relay& relay, const Call& call) -> void {
  if (!call.head.prompt) return;
  const bool changed = relay.dispatch.With([&](DispatchTable& table) {
    auto blocks = direct::RecordSoundResponse(table.quarantine, relay.policies.quarantine,
                                              *call.head.prompt, node::Now());
    if (blocks.empty()) return false;
    AppendUpdate(table, {{}, std::move(blocks)});
    return true;
  });
  if (changed) WakePeers(relay);
}

auto CollectQuarantineUpdates(const DispatchTable& table, std::optional<std::uint64_t>& sent_count,
                              wire::EntryState& message) -> void {
  const auto now = node::Now();
  const auto& updates = table.quarantine_updates;
  const auto count = table.quarantine_update_count;
  const auto before = std::exchange(sent_count, count);
  if (!before || count - *before > updates.size()) {
    for (const auto& evidence : direct::ListEvidence(table.quarantine)) {
      message.crashes.push_back(ToRow(evidence, now));
    }
    return;
  }
  for (auto i = updates.size() - (count - *before); i < updates.size(); ++i) {
    const auto& update = updates[i];
    if (update.evidence) message.crashes.push_back(ToRow(*update.evidence, now));
    message.sound_blocks.insert(message.sound_blocks.end(), update.sound_blocks.begin(),
                                update.sound_blocks.end());
  }
}

auto ApplyQuarantineUpdates(Relay& relay, const wire::EntryState& message) -> void {
  if (message.crashes.empty() && message.sound_blocks.empty()) return;
  const auto now = node::Now();
  const auto quarantined = relay.dispatch.With([&](DispatchTable& table) {
    return FindNewQuarantines(relay, table, [&] {
      for (const auto& row : message.crashes) {
        direct::AddEvidence(table.quarantine, relay.policies.quarantine, ToEvidence(row, now));
      }
      for (const auto block : message.sound_blocks) direct::OffsetCrash(table.quarantine, block);
    });
  });
  ApplyQuarantines(relay, quarantined, ReportSource::peer);
}

auto MeasureEvidence(Relay& relay) -> void {
  const auto [table_bytes, update_bytes, dropped] = relay.dispatch.With([](DispatchTable& table) {
    std::size_t bytes = 0;
    for (const auto& update : table.quarantine_updates) {
      bytes += sizeof(update) + update.sound_blocks.size() * sizeof(std::uint64_t) +
               (update.evidence ? direct::EstimateBytes(*update.evidence) : 0);
    }
    return std::tuple(direct::EstimateBytes(table.quarantine), bytes,
                      std::exchange(table.quarantine.dropped, {}));
  });
  auto& metrics = relay.node.metrics;
  metrics.Set(Metric::crash_evidence_bytes, static_cast<double>(table_bytes), "table");
  metrics.Set(Metric::crash_evidence_bytes, static_cast<double>(update_bytes), "updates");
  const auto count = [&](std::string_view kind, std::size_t pieces) {
    metrics.Count(Metric::crash_evidence_dropped, kind, static_cast<double>(pieces));
  };
  count("crash", dropped.crashes);
  count("loss", dropped.losses);
  count("unconfirmed", dropped.unconfirmed);
}

}  // namespace filbertstair::relay
