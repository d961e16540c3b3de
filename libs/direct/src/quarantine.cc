#include "filbertstair/direct/quarantine.h"

#include <algorithm>
#include <iterator>

namespace filbertstair::direct {
namespace {

auto IsSameCrash(const ReplicaCrash& a, const ReplicaCrash& b, core::Duration window) -> bool {
  return a.replica == b.replica && std::chrono::abs(a.at - b.at) < window;
}

auto Intersect(const std::vector<std::uint64_t>& a, const std::vector<std::uint64_t>& b)
    -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> out;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(out));
  return out;
}

auto IsSuspected(const QuarantineTable& table, std::uint64_t block) -> bool {
  return table.blocks.contains(block);
}

// Returns whether the prompt has all blocks that are suspected together with this one.
auto HasAllCommonBlocks(const QuarantineTable& table, const BlockSuspicion& suspicion,
                        const std::vector<std::uint64_t>& blocks) -> bool {
  return std::all_of(suspicion.common.begin(), suspicion.common.end(), [&](std::uint64_t block) {
    return !IsSuspected(table, block) || std::binary_search(blocks.begin(), blocks.end(), block);
  });
}

// Returns the factor by which the block needs more crashes than others to be suspected.
auto CrashFactor(const QuarantineTable& table, const QuarantinePolicy& policy, std::uint64_t block,
                 core::Time now) -> std::size_t {
  const auto sound = table.last_sound.find(block);
  const bool recently_sound =
      sound != table.last_sound.end() && now - sound->second < policy.sound_memory;
  return recently_sound ? policy.sound_block_factor : 1;
}

// Returns what is held against the block by at least `min_crashes`, whatever the prompt.
auto JudgeBlock(const QuarantineTable& table, const QuarantinePolicy& policy, std::uint64_t block,
                std::size_t min_crashes, core::Time now) -> std::optional<Quarantine> {
  const auto found = table.blocks.find(block);
  if (found == table.blocks.end()) return std::nullopt;
  const auto& crashes = found->second.crashes;
  const auto until = crashes.back().at + policy.quarantine_time;
  if (until <= now) return std::nullopt;
  if (crashes.size() < min_crashes * CrashFactor(table, policy, block, now)) return std::nullopt;
  return Quarantine{block, crashes.size(), until};
}

// Returns the block with the most crashes, of those with at least `min_crashes`, that stands
// against the prompt.
auto FindSuspect(const QuarantineTable& table, const QuarantinePolicy& policy, const Prompt& prompt,
                 std::size_t min_crashes, core::Time now) -> std::optional<Quarantine> {
  if (table.blocks.empty()) return std::nullopt;
  const auto blocks = SharedBlockIds(prompt);
  std::optional<Quarantine> worst;
  for (const auto block : blocks) {
    const auto judged = JudgeBlock(table, policy, block, min_crashes, now);
    if (!judged || (worst && worst->crashes >= judged->crashes)) continue;
    if (HasAllCommonBlocks(table, table.blocks.at(block), blocks)) worst = judged;
  }
  return worst;
}

// Makes a place for another block: drops the one with the fewest crashes, of these the one whose
// last crash is oldest.
auto DropLeastSuspected(QuarantineTable& table) -> void {
  const auto least =
      std::min_element(table.blocks.begin(), table.blocks.end(), [](const auto& a, const auto& b) {
        const auto& left = a.second.crashes;
        const auto& right = b.second.crashes;
        return left.size() != right.size() ? left.size() < right.size()
                                           : left.back().at < right.back().at;
      });
  if (least != table.blocks.end()) table.blocks.erase(least);
}

}  // namespace

auto SharedBlockIds(const Prompt& prompt) -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> ids;
  for (std::size_t i = 0; i + 1 < prompt.blocks.size(); ++i) ids.push_back(prompt.blocks[i].id);
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

auto IsCrashSuspect(const QuarantinePolicy& policy, const Assignment& assignment,
                    bool lost_replica_before, core::Time cut_at) -> bool {
  if (assignment.stage == AttemptStage::sent) return lost_replica_before;
  return cut_at - assignment.head_received_at <= policy.max_crash_delay;
}

auto CollectEvidence(const Prompt& prompt, const ReplicaCrash& crash)
    -> std::vector<CrashEvidence> {
  const auto ids = SharedBlockIds(prompt);
  std::vector<CrashEvidence> evidence;
  evidence.reserve(ids.size());
  for (const auto id : ids) evidence.push_back({id, crash, ids});
  return evidence;
}

auto AddEvidence(QuarantineTable& table, const QuarantinePolicy& policy,
                 const CrashEvidence& evidence) -> bool {
  if (!IsSuspected(table, evidence.block) && table.blocks.size() >= policy.max_blocks) {
    DropLeastSuspected(table);
  }
  auto& suspicion = table.blocks[evidence.block];
  auto& crashes = suspicion.crashes;
  const bool known = std::any_of(crashes.begin(), crashes.end(), [&](const auto& crash) {
    return IsSameCrash(crash, evidence.crash, policy.same_crash_window);
  });
  suspicion.common =
      crashes.empty() ? evidence.common : Intersect(suspicion.common, evidence.common);
  if (known) return false;
  const auto later = std::find_if(crashes.begin(), crashes.end(),
                                  [&](const auto& crash) { return crash.at > evidence.crash.at; });
  crashes.insert(later, evidence.crash);
  if (crashes.size() > policy.max_crashes_per_block) crashes.erase(crashes.begin());
  return true;
}

auto ListEvidence(const QuarantineTable& table) -> std::vector<CrashEvidence> {
  std::vector<CrashEvidence> evidence;
  for (const auto& [block, suspicion] : table.blocks) {
    for (const auto& crash : suspicion.crashes) {
      evidence.push_back({block, crash, suspicion.common});
    }
  }
  return evidence;
}

auto RecordSoundResponse(QuarantineTable& table, const Prompt& prompt, core::Time now)
    -> std::vector<std::uint64_t> {
  auto ids = SharedBlockIds(prompt);
  for (const auto id : ids) table.last_sound[id] = now;
  std::erase_if(ids, [&](std::uint64_t id) { return !OffsetCrash(table, id); });
  return ids;
}

auto OffsetCrash(QuarantineTable& table, std::uint64_t block) -> bool {
  const auto found = table.blocks.find(block);
  if (found == table.blocks.end()) return false;
  auto& crashes = found->second.crashes;
  crashes.erase(crashes.begin());
  if (crashes.empty()) table.blocks.erase(found);
  return true;
}

auto FindQuarantine(const QuarantineTable& table, const QuarantinePolicy& policy,
                    const Prompt& prompt, core::Time now) -> std::optional<Quarantine> {
  return FindSuspect(table, policy, prompt, policy.crashes_to_quarantine, now);
}

auto IsQuarantined(const QuarantineTable& table, const QuarantinePolicy& policy,
                   std::uint64_t block, core::Time now) -> bool {
  return JudgeBlock(table, policy, block, policy.crashes_to_quarantine, now).has_value();
}

auto MayRetryAfterCrash(const QuarantineTable& table, const QuarantinePolicy& policy,
                        const Prompt& prompt, core::Time now) -> bool {
  return !FindSuspect(table, policy, prompt, policy.crashes_to_stop_retries, now);
}

auto RemoveOldEvidence(QuarantineTable& table, const QuarantinePolicy& policy, core::Time now)
    -> void {
  std::erase_if(table.blocks, [&](const auto& item) {
    return now - item.second.crashes.back().at > policy.forget_after;
  });
  std::erase_if(table.last_sound,
                [&](const auto& item) { return now - item.second >= policy.sound_memory; });
}

}  // namespace filbertstair::direct
