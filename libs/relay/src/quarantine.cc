#include <algorithm>

#include "filbertstair/core/hex.h"
#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;

// Time to find out whether a replica still accepts connections. A live one responds within the
// round trip between two regions.
constexpr std::chrono::milliseconds kCrashCheckTimeout{400};
// Sound responses that are retained until all links have reported them.
constexpr std::size_t kMaxQuarantineUpdates = 1024;
// Limits on what a peer may report of one crash.
constexpr core::Duration kMaxCrashAge = std::chrono::hours(1);
constexpr std::size_t kMaxCommonBlocks = 64;

auto LogQuarantine(const direct::BlockSuspicion& suspicion, std::uint64_t block,
                   ReportSource source) -> void {
  std::string replicas;
  for (const auto& crash : suspicion.crashes) {
    replicas += (replicas.empty() ? "" : ",") + crash.replica;
  }
  telemetry::Log(Level::error, Event::block_quarantined,
                 {{"block", core::FormatHex(block)},
                  {"crashes", std::to_string(suspicion.crashes.size())},
                  {"replicas", replicas},
                  {"common", core::FormatHexList(suspicion.common)},
                  {"source", core::Name(source)}});
}

// A block that has just been quarantined.
struct NewQuarantine {
  std::uint64_t block = 0;
  direct::BlockSuspicion suspicion;
};

// Adds evidence and appends the blocks that are quarantined because of it.
auto AddEvidence(Relay& relay, DispatchTable& table, const direct::CrashEvidence& evidence,
                 std::vector<NewQuarantine>& quarantined) -> bool {
  const auto now = node::Now();
  const auto& policy = relay.policies.quarantine;
  const auto block = evidence.block;
  const bool before = direct::IsQuarantined(table.quarantine, policy, block, now);
  const bool is_new = direct::AddEvidence(table.quarantine, policy, evidence);
  if (!before && direct::IsQuarantined(table.quarantine, policy, block, now)) {
    quarantined.push_back({block, table.quarantine.blocks.at(block)});
  }
  return is_new;
}

auto AppendUpdate(DispatchTable& table, QuarantineUpdate update) -> void {
  table.quarantine_updates.push_back(std::move(update));
  ++table.quarantine_update_count;
  if (table.quarantine_updates.size() > kMaxQuarantineUpdates) {
    table.quarantine_updates.pop_front();
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
  for (const auto& item : quarantined) LogQuarantine(item.suspicion, item.block, source);
  relay.dispatch.With([&](DispatchTable& table) { ResolveQuarantined(relay, table); });
  for (std::size_t i = 0; i < relay.workers.size(); ++i) {
    relay.node.pool.Post(i, [&relay] { CancelQuarantinedCalls(relay); });
  }
}

auto RecordCrash(Relay& relay, const direct::Prompt& prompt, const direct::ReplicaCrash& crash)
    -> void {
  std::vector<NewQuarantine> quarantined;
  relay.dispatch.With([&](DispatchTable& table) {
    for (const auto& evidence : direct::CollectEvidence(prompt, crash)) {
      if (!AddEvidence(relay, table, evidence, quarantined)) continue;
      AppendUpdate(table, {.evidence = evidence});
    }
  });
  ApplyQuarantines(relay, quarantined, ReportSource::replica);
  WakePeers(relay);
}

auto ToRow(const direct::CrashEvidence& evidence, core::Time now) -> wire::BlockCrash {
  return {evidence.block, evidence.crash.replica,
          std::max(now - evidence.crash.at, core::Duration{}), evidence.common};
}

auto ToEvidence(const wire::BlockCrash& row, core::Time now) -> direct::CrashEvidence {
  direct::CrashEvidence evidence{
      row.block,
      {row.replica, now - std::clamp(row.age, core::Duration{}, kMaxCrashAge)},
      row.common};
  if (evidence.common.size() > kMaxCommonBlocks) evidence.common.resize(kMaxCommonBlocks);
  evidence.common.push_back(row.block);
  std::sort(evidence.common.begin(), evidence.common.end());
  evidence.common.erase(std::unique(evidence.common.begin(), evidence.common.end()),
                        evidence.common.end());
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

auto RecordIfCrashed(Relay& relay, Call& call, const Assignment& assignment) -> bool {
  const auto cut_at = node::Now();
  if (!call.head.prompt || call.head.prompt->blocks.size() < 2) return false;
  const bool suspect = direct::IsCrashSuspect(relay.policies.quarantine, assignment,
                                              call.unanswered_loss.has_value(), cut_at);
  const auto previous = std::exchange(call.unanswered_loss, std::nullopt);
  if (assignment.stage == direct::AttemptStage::sent) {
    call.unanswered_loss = {{assignment.replica, cut_at}, assignment.address};
  }
  if (!suspect || !net::RefusesConnections(assignment.address, kCrashCheckTimeout)) return false;
  RecordCrash(relay, *call.head.prompt, {assignment.replica, cut_at});
  if (assignment.stage == direct::AttemptStage::sent &&
      net::RefusesConnections(previous->address, kCrashCheckTimeout)) {
    RecordCrash(relay, *call.head.prompt, previous->crash);
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
    const auto blocks =
        direct::RecordSoundResponse(table.quarantine, *call.head.prompt, node::Now());
    for (const auto block : blocks) AppendUpdate(table, {.evidence = {}, .sound_block = block});
    return !blocks.empty();
  });
  if (changed) WakePeers(relay);
}

auto CollectQuarantineUpdates(const DispatchTable& table, std::optional<std::uint64_t>& sent_count,
                              wire::EntryState& message) -> void {
  const auto now = node::Now();
  if (!sent_count) {
    for (const auto& evidence : direct::ListEvidence(table.quarantine)) {
      message.crashes.push_back(ToRow(evidence, now));
    }
    sent_count = table.quarantine_update_count;
  }
  const auto size = table.quarantine_updates.size();
  const auto unsent = std::min<std::uint64_t>(table.quarantine_update_count - *sent_count, size);
  for (auto i = size - unsent; i < size; ++i) {
    const auto& update = table.quarantine_updates[i];
    if (update.evidence) {
      message.crashes.push_back(ToRow(*update.evidence, now));
    } else {
      message.sound_blocks.push_back(update.sound_block);
    }
  }
  sent_count = table.quarantine_update_count;
}

auto ApplyQuarantineUpdates(Relay& relay, const wire::EntryState& message) -> void {
  if (message.crashes.empty() && message.sound_blocks.empty()) return;
  const auto now = node::Now();
  std::vector<NewQuarantine> quarantined;
  relay.dispatch.With([&](DispatchTable& table) {
    for (const auto& row : message.crashes) {
      AddEvidence(relay, table, ToEvidence(row, now), quarantined);
    }
    for (const auto block : message.sound_blocks) direct::OffsetCrash(table.quarantine, block);
  });
  ApplyQuarantines(relay, quarantined, ReportSource::peer);
}

}  // namespace filbertstair::relay
