#include "filbertstair/direct/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace filbertstair::direct {
namespace {

auto IsSameCrash(const ReplicaCrash& a, const ReplicaCrash& b, core::Duration window) -> bool {
  return a.replica == b.replica && std::chrono::abs(a.at - b.at) < window;
}

auto IsRecent(const SoundRecord& record, const QuarantinePolicy& policy, core::Time now) -> bool {
  return now - record.last < policy.sound_memory;
}

// Returns the number of sound responses to prompts with the block, if they are recent.
auto CountRecentSound(const QuarantineTable& table, const QuarantinePolicy& policy,
                      std::uint64_t block, core::Time now) -> std::size_t {
  const auto found = table.sound.find(block);
  if (found == table.sound.end() || !IsRecent(found->second, policy, now)) return 0;
  return found->second.count;
}

// What is done with blocks that nothing tells apart.
enum class Ambiguity { release, suspect };

// A suspected block as an explanation of crashes.
struct Explanation {
  Quarantine quarantine;
  const std::vector<ReplicaCrash>* crashes = nullptr;
  // Crashes that no other block explains better, from which the block counts as their cause.
  std::size_t required = 0;
  std::size_t sound = 0;
  std::size_t depth = 0;
};

// Crashes that an explanation accounts for beyond the required number, negative if there are fewer,
// and what decides between equal ones; larger is better.
using Strength = std::tuple<std::ptrdiff_t, std::ptrdiff_t, std::size_t>;

auto ListExplanations(const QuarantineTable& table, const QuarantinePolicy& policy,
                      std::size_t min_crashes, core::Time now) -> std::vector<Explanation> {
  std::vector<Explanation> out;
  for (const auto& [block, suspicion] : table.blocks) {
    const auto& crashes = suspicion.crashes;
    const auto until = crashes.back().at + policy.quarantine_time;
    if (crashes.size() < min_crashes || until <= now) continue;
    const auto sound = CountRecentSound(table, policy, block, now);
    const auto factor = sound > 0 ? policy.sound_block_factor : 1;
    out.push_back({{block, crashes.size(), until},
                   &crashes,
                   min_crashes * factor,
                   sound,
                   suspicion.prefix.size()});
  }
  return out;
}

auto Contains(const std::vector<ReplicaCrash>& crashes, const ReplicaCrash& crash,
              core::Duration window) -> bool {
  return std::any_of(crashes.begin(), crashes.end(),
                     [&](const auto& other) { return IsSameCrash(crash, other, window); });
}

// Returns the crashes of the explanation that are not among `explained`.
auto ListUnexplained(const Explanation& explanation, const std::vector<ReplicaCrash>& explained,
                     core::Duration window) -> std::vector<ReplicaCrash> {
  std::vector<ReplicaCrash> out;
  std::copy_if(explanation.crashes->begin(), explanation.crashes->end(), std::back_inserter(out),
               [&](const auto& crash) { return !Contains(explained, crash, window); });
  return out;
}

auto StrengthOf(const Explanation& explanation, std::size_t unexplained) -> Strength {
  return {
      static_cast<std::ptrdiff_t>(unexplained) - static_cast<std::ptrdiff_t>(explanation.required),
      -static_cast<std::ptrdiff_t>(explanation.sound), explanation.depth};
}

// The strongest explanations that are equally strong and explain the same crashes.
struct StrongestExplanations {
  std::vector<const Explanation*> equals;
  // Those of their crashes that were not explained before.
  std::vector<ReplicaCrash> crashes;
  Strength strength{};
};

// Returns the strongest of the explanations with enough crashes that are not explained yet, or
// none.
auto FindStrongest(const std::vector<Explanation>& explanations,
                   const std::vector<ReplicaCrash>& explained, core::Duration window)
    -> StrongestExplanations {
  StrongestExplanations best;
  for (const auto& explanation : explanations) {
    auto crashes = ListUnexplained(explanation, explained, window);
    const auto strength = StrengthOf(explanation, crashes.size());
    if (crashes.size() < explanation.required) continue;
    if (!best.equals.empty() && strength < best.strength) continue;
    if (best.equals.empty() || strength > best.strength) {
      best = {{}, std::move(crashes), strength};
    }
    best.equals.push_back(&explanation);
  }
  // Equally strong blocks with crashes of their own are further causes, found in a later round.
  std::erase_if(best.equals, [&](const auto* other) {
    return !std::all_of(best.crashes.begin(), best.crashes.end(), [&](const auto& crash) {
      return Contains(*other->crashes, crash, window);
    });
  });
  return best;
}

// Returns the blocks that explain the crashes, the strongest first: a greedy cover of the crashes.
auto ExplainCrashes(const QuarantineTable& table, const QuarantinePolicy& policy,
                    std::size_t min_crashes, Ambiguity ambiguity, core::Time now)
    -> std::vector<Quarantine> {
  const auto explanations = ListExplanations(table, policy, min_crashes, now);
  std::vector<Quarantine> causes;
  std::vector<ReplicaCrash> explained;
  while (true) {
    const auto best = FindStrongest(explanations, explained, policy.same_crash_window);
    if (best.equals.empty()) return causes;
    explained.insert(explained.end(), best.crashes.begin(), best.crashes.end());
    const bool is_clear = best.equals.size() == 1 || std::get<0>(best.strength) > 0;
    if (!is_clear && ambiguity == Ambiguity::release) continue;
    for (const auto* cause : best.equals) causes.push_back(cause->quarantine);
  }
}

// Returns the strongest cause of crashes that the prompt has.
auto FindCause(const QuarantineTable& table, const QuarantinePolicy& policy, const Prompt& prompt,
               std::size_t min_crashes, Ambiguity ambiguity, core::Time now)
    -> std::optional<Quarantine> {
  const auto blocks = ListBlockIds(prompt);
  const bool is_suspected = std::any_of(blocks.begin(), blocks.end(), [&](std::uint64_t block) {
    const auto found = table.blocks.find(block);
    return found != table.blocks.end() && found->second.crashes.size() >= min_crashes;
  });
  if (!is_suspected) return std::nullopt;
  const auto causes = ExplainCrashes(table, policy, min_crashes, ambiguity, now);
  const auto found = std::find_if(causes.begin(), causes.end(), [&](const auto& cause) {
    return std::find(blocks.begin(), blocks.end(), cause.block) != blocks.end();
  });
  return found == causes.end() ? std::nullopt : std::optional(*found);
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
  if (least == table.blocks.end()) return;
  table.dropped.crashes += least->second.crashes.size();
  table.blocks.erase(least);
}

// If more than `max_blocks` blocks have sound responses, drops a quarter of the limit and what is
// above it: the blocks with the fewest, of these the oldest.
auto LimitSoundRecords(QuarantineTable& table, std::size_t max_blocks) -> void {
  if (table.sound.size() <= max_blocks) return;
  using Item = std::pair<SoundRecord, std::uint64_t>;
  std::vector<Item> items;
  items.reserve(table.sound.size());
  for (const auto& [block, record] : table.sound) items.emplace_back(record, block);
  const auto dropped = items.size() - (max_blocks - max_blocks / 4);
  const auto end = items.begin() + static_cast<std::ptrdiff_t>(dropped);
  std::nth_element(items.begin(), end, items.end(), [](const Item& a, const Item& b) {
    return std::tie(a.first.count, a.first.last) < std::tie(b.first.count, b.first.last);
  });
  std::for_each(items.begin(), end, [&](const Item& item) { table.sound.erase(item.second); });
}

// Makes a place for the loss of another block: drops the oldest one.
auto MakeRoomForLoss(QuarantineTable& table, std::size_t max_losses) -> void {
  if (table.losses.size() < max_losses) return;
  const auto oldest = std::min_element(
      table.losses.begin(), table.losses.end(),
      [](const auto& a, const auto& b) { return a.second.crash.at < b.second.crash.at; });
  if (oldest == table.losses.end()) return;
  ++table.dropped.losses;
  table.losses.erase(oldest);
}

// Memory of an element of a map or hash table beside its key and value.
constexpr std::size_t kNodeBytes = 48;

}  // namespace

auto ListBlockIds(const Prompt& prompt) -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> ids;
  for (const auto& block : prompt.blocks) {
    if (std::find(ids.begin(), ids.end(), block.id) == ids.end()) ids.push_back(block.id);
  }
  return ids;
}

auto RecordUnansweredLoss(QuarantineTable& table, const QuarantinePolicy& policy,
                          const Prompt& prompt, const UnansweredLoss& loss)
    -> std::optional<EarlierLoss> {
  std::optional<EarlierLoss> earlier;
  for (const auto& block : prompt.blocks) {
    const auto found = table.losses.find(block.id);
    if (found == table.losses.end()) continue;
    const auto& [crash, address] = found->second;
    if (crash.replica == loss.crash.replica || loss.crash.at - crash.at > policy.loss_memory) {
      continue;
    }
    if (!earlier || crash.at > earlier->loss.crash.at) earlier = {found->second, {}};
    if (crash == earlier->loss.crash) earlier->shared.blocks.push_back(block);
  }
  for (const auto id : ListBlockIds(prompt)) {
    if (!table.losses.contains(id)) MakeRoomForLoss(table, policy.max_losses);
    table.losses[id] = loss;
  }
  return earlier;
}

auto HasUnprovenBlock(const QuarantineTable& table, const QuarantinePolicy& policy,
                      const Prompt& prompt, core::Time now) -> bool {
  const auto ids = ListBlockIds(prompt);
  return std::any_of(ids.begin(), ids.end(), [&](std::uint64_t id) {
    return id != ids.back() && CountRecentSound(table, policy, id, now) == 0;
  });
}

auto IsCrashSuspect(const QuarantinePolicy& policy, const Assignment& assignment,
                    bool is_suspicious, core::Time cut_at) -> bool {
  if (assignment.stage == AttemptStage::sent) return is_suspicious;
  return cut_at - assignment.head_received_at <= policy.max_crash_delay;
}

auto RecordUnconfirmedCrash(QuarantineTable& table, const QuarantinePolicy& policy,
                            UnconfirmedCrash crash) -> void {
  table.unconfirmed.push_back(std::move(crash));
  if (table.unconfirmed.size() <= policy.max_unconfirmed) return;
  ++table.dropped.unconfirmed;
  table.unconfirmed.pop_front();
}

auto TakeConfirmedCrashes(QuarantineTable& table, const QuarantinePolicy& policy,
                          const Listing& listing, core::Time now) -> std::vector<UnconfirmedCrash> {
  std::vector<UnconfirmedCrash> confirmed;
  std::erase_if(table.unconfirmed, [&](auto& item) {
    if (now - item.crash.at > policy.confirm_within) return true;
    const bool is_later = listing.started_ms > item.started_ms;
    const bool restarted =
        listing.id == item.crash.replica
            ? is_later
            : listing.address == item.address && (is_later || listing.started_ms == 0);
    if (restarted) confirmed.push_back(std::move(item));
    return restarted;
  });
  return confirmed;
}

auto CollectEvidence(const Prompt& prompt, const ReplicaCrash& crash)
    -> std::vector<CrashEvidence> {
  const auto ids = ListBlockIds(prompt);
  std::vector<CrashEvidence> evidence;
  evidence.reserve(ids.size());
  for (auto id = ids.begin(); id != ids.end(); ++id) {
    evidence.push_back({*id, crash, {ids.begin(), id + 1}, 0});
    if (*id == ids.back()) evidence.back().prefix.clear();
  }
  return evidence;
}

auto AddEvidence(QuarantineTable& table, const QuarantinePolicy& policy,
                 const CrashEvidence& evidence) -> bool {
  if (!table.blocks.contains(evidence.block) && table.blocks.size() >= policy.max_blocks) {
    DropLeastSuspected(table);
  }
  auto& suspicion = table.blocks[evidence.block];
  auto& crashes = suspicion.crashes;
  if (evidence.prefix.size() > suspicion.prefix.size()) suspicion.prefix = evidence.prefix;
  if (evidence.sound > 0) {
    auto& record = table.sound[evidence.block];
    record.count = std::max(record.count, evidence.sound);
    record.last = std::max(record.last, evidence.crash.at);
  }
  if (Contains(crashes, evidence.crash, policy.same_crash_window)) return false;
  const auto later = std::find_if(crashes.begin(), crashes.end(),
                                  [&](const auto& crash) { return crash.at > evidence.crash.at; });
  crashes.insert(later, evidence.crash);
  if (crashes.size() > policy.max_crashes_per_block) crashes.erase(crashes.begin());
  return true;
}

auto CountSound(const QuarantineTable& table, std::uint64_t block) -> std::size_t {
  const auto found = table.sound.find(block);
  return found == table.sound.end() ? 0 : found->second.count;
}

auto EstimateBytes(const CrashEvidence& evidence) -> std::size_t {
  return sizeof(evidence) + evidence.prefix.size() * sizeof(std::uint64_t);
}

auto EstimateBytes(const QuarantineTable& table) -> std::size_t {
  std::size_t bytes = table.sound.size() * (kNodeBytes + sizeof(SoundRecord)) +
                      table.losses.size() * (kNodeBytes + sizeof(UnansweredLoss));
  for (const auto& [block, suspicion] : table.blocks) {
    bytes += kNodeBytes + sizeof(suspicion) + suspicion.crashes.size() * sizeof(ReplicaCrash) +
             suspicion.prefix.size() * sizeof(std::uint64_t);
  }
  for (const auto& crash : table.unconfirmed) {
    bytes += sizeof(crash) + crash.prompt.blocks.size() * sizeof(PrefixBlock);
  }
  return bytes;
}

auto ListEvidence(const QuarantineTable& table) -> std::vector<CrashEvidence> {
  std::vector<CrashEvidence> evidence;
  for (const auto& [block, suspicion] : table.blocks) {
    for (const auto& crash : suspicion.crashes) {
      evidence.push_back({block, crash, suspicion.prefix, CountSound(table, block)});
    }
  }
  return evidence;
}

auto RecordSoundResponse(QuarantineTable& table, const Prompt& prompt, core::Time now)
    -> std::vector<std::uint64_t> {
  auto ids = ListBlockIds(prompt);
  for (const auto id : ids) {
    if (id == ids.back()) break;
    auto& record = table.sound[id];
    ++record.count;
    record.last = now;
  }
  for (const auto id : ids) table.losses.erase(id);
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

auto ListQuarantines(const QuarantineTable& table, const QuarantinePolicy& policy, core::Time now)
    -> std::vector<Quarantine> {
  return ExplainCrashes(table, policy, policy.crashes_to_quarantine, Ambiguity::release, now);
}

auto FindQuarantine(const QuarantineTable& table, const QuarantinePolicy& policy,
                    const Prompt& prompt, core::Time now) -> std::optional<Quarantine> {
  return FindCause(table, policy, prompt, policy.crashes_to_quarantine, Ambiguity::release, now);
}

auto MayRetryAfterCrash(const QuarantineTable& table, const QuarantinePolicy& policy,
                        const Prompt& prompt, core::Time now) -> bool {
  return !FindCause(table, policy, prompt, policy.crashes_to_stop_retries, Ambiguity::suspect, now);
}

auto RemoveOldEvidence(QuarantineTable& table, const QuarantinePolicy& policy, core::Time now)
    -> void {
  std::erase_if(table.blocks, [&](const auto& item) {
    return now - item.second.crashes.back().at > policy.forget_after;
  });
  std::erase_if(table.losses,
                [&](const auto& item) { return now - item.second.crash.at > policy.loss_memory; });
  std::erase_if(table.sound, [&](const auto& item) { return !IsRecent(item.second, policy, now); });
  LimitSoundRecords(table, policy.max_sound_blocks);
}

}  // namespace filbertstair::direct
