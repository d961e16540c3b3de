#include "filbertstair/direct/quarantine.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <set>
#include <tuple>
#include <type_traits>
#include <utility>

namespace filbertstair::direct {
namespace {

using SharedCrash = std::shared_ptr<const ReplicaCrash>;

auto IsSameCrash(const ReplicaCrash& a, const ReplicaCrash& b, core::Duration window) -> bool {
  return a.replica == b.replica && std::chrono::abs(a.at - b.at) < window;
}

auto Contains(const std::vector<SharedCrash>& crashes, const SharedCrash& crash) -> bool {
  return std::find(crashes.begin(), crashes.end(), crash) != crashes.end();
}

// Returns the table's copy of the crash, which all reports of it share.
auto FindOrAddCrash(QuarantineTable& table, const QuarantinePolicy& policy,
                    const ReplicaCrash& crash) -> SharedCrash {
  const auto found = std::find_if(
      table.crashes.begin(), table.crashes.end(),
      [&](const auto& other) { return IsSameCrash(*other, crash, policy.same_crash_window); });
  if (found != table.crashes.end()) return *found;
  return table.crashes.emplace_back(std::make_shared<const ReplicaCrash>(crash));
}

// Removes the crashes that no block is suspected of any more.
auto RemoveUnusedCrashes(QuarantineTable& table) -> void {
  std::erase_if(table.crashes, [](const auto& crash) { return crash.use_count() == 1; });
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
  const std::vector<SharedCrash>* crashes = nullptr;
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
    const auto until = crashes.back()->at + policy.quarantine_time;
    if (crashes.size() < min_crashes || until <= now) continue;
    const auto sound = CountRecentSound(table, policy, block, now);
    const auto factor = sound > 0 ? policy.sound_block_factor : 1;
    out.push_back(
        {{block, crashes.size(), until}, &crashes, min_crashes * factor, sound, suspicion.depth});
  }
  return out;
}

// Returns the crashes of the explanation that are not among `explained`.
auto ListUnexplained(const Explanation& explanation, const std::vector<SharedCrash>& explained)
    -> std::vector<SharedCrash> {
  std::vector<SharedCrash> out;
  std::copy_if(explanation.crashes->begin(), explanation.crashes->end(), std::back_inserter(out),
               [&](const auto& crash) { return !Contains(explained, crash); });
  return out;
}

auto CountUnexplained(const Explanation& explanation, const std::vector<SharedCrash>& explained)
    -> std::size_t {
  const auto count = std::count_if(explanation.crashes->begin(), explanation.crashes->end(),
                                   [&](const auto& crash) { return !Contains(explained, crash); });
  return static_cast<std::size_t>(count);
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
  std::vector<SharedCrash> crashes;
  Strength strength{};
};

// Returns the strongest of the explanations with enough crashes that are not explained yet, or
// none.
auto FindStrongest(const std::vector<Explanation>& explanations,
                   const std::vector<SharedCrash>& explained) -> StrongestExplanations {
  StrongestExplanations best;
  for (const auto& explanation : explanations) {
    const auto unexplained = CountUnexplained(explanation, explained);
    const auto strength = StrengthOf(explanation, unexplained);
    if (unexplained < explanation.required) continue;
    if (!best.equals.empty() && strength < best.strength) continue;
    if (best.equals.empty() || strength > best.strength) best = {{}, {}, strength};
    best.equals.push_back(&explanation);
  }
  if (best.equals.empty()) return best;
  best.crashes = ListUnexplained(*best.equals.front(), explained);
  // Equally strong blocks with crashes of their own are further causes, found in a later round.
  std::erase_if(best.equals, [&](const auto* other) {
    return !std::all_of(best.crashes.begin(), best.crashes.end(),
                        [&](const auto& crash) { return Contains(*other->crashes, crash); });
  });
  return best;
}

// Returns the blocks that explain the crashes, the strongest first: a greedy cover of the crashes.
auto ExplainCrashes(const QuarantineTable& table, const QuarantinePolicy& policy,
                    std::size_t min_crashes, Ambiguity ambiguity, core::Time now)
    -> std::vector<Quarantine> {
  const auto explanations = ListExplanations(table, policy, min_crashes, now);
  std::vector<Quarantine> causes;
  std::vector<SharedCrash> explained;
  while (true) {
    const auto best = FindStrongest(explanations, explained);
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
  const bool is_suspected =
      std::any_of(prompt.blocks.begin(), prompt.blocks.end(), [&](const auto& block) {
        const auto found = table.blocks.find(block.id);
        return found != table.blocks.end() && found->second.crashes.size() >= min_crashes;
      });
  if (!is_suspected) return std::nullopt;
  const auto causes = ExplainCrashes(table, policy, min_crashes, ambiguity, now);
  const auto found = std::find_if(causes.begin(), causes.end(), [&](const auto& cause) {
    return std::any_of(prompt.blocks.begin(), prompt.blocks.end(),
                       [&](const auto& block) { return block.id == cause.block; });
  });
  return found == causes.end() ? std::nullopt : std::optional(*found);
}

// Returns a number that looks random, from the block and the time of its last event.
auto RandomRank(std::uint64_t block, core::Time last) -> std::uint64_t {
  constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
  auto mixed = (block ^ static_cast<std::uint64_t>(last.time_since_epoch().count())) * multiplier;
  mixed = (mixed ^ (mixed >> 32)) * multiplier;
  return mixed ^ (mixed >> 32);
}

// A suspected block in the order in which full tables drop them, the first one first.
struct SuspicionRank {
  bool is_unproven = false;
  std::size_t crashes = 0;
  core::Time last{};
  std::uint64_t random = 0;
  std::uint64_t block = 0;

  auto operator<=>(const SuspicionRank&) const = default;  // NOLINT(modernize-use-nullptr)
};

// Drops the least suspected blocks until at most `max_evidence` pieces of evidence remain.
auto LimitEvidence(QuarantineTable& table, std::size_t max_evidence) -> void {
  const auto pieces = CountEvidence(table);
  if (pieces <= max_evidence) return;
  std::vector<SuspicionRank> ranks;
  ranks.reserve(table.blocks.size());
  for (const auto& [block, suspicion] : table.blocks) {
    const auto last = suspicion.crashes.back()->at;
    ranks.push_back({!table.sound.contains(block), suspicion.crashes.size(), last,
                     RandomRank(block, last), block});
  }
  // Each block has at least one piece, so at most as many blocks as there are pieces too many are
  // dropped.
  const auto excess = pieces - max_evidence;
  const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(std::min(excess, ranks.size()));
  std::partial_sort(ranks.begin(), end, ranks.end());
  std::size_t dropped = 0;
  for (auto rank = ranks.begin(); rank != end && dropped < excess; ++rank) {
    dropped += rank->crashes;
    table.blocks.erase(rank->block);
  }
  table.dropped.crashes += dropped;
}

// Adds a crash to what is known against a block. Returns whether it was new.
auto AddCrash(BlockSuspicion& suspicion, const QuarantinePolicy& policy, std::uint32_t depth,
              const SharedCrash& crash) -> bool {
  suspicion.depth = std::max(suspicion.depth, depth);
  auto& crashes = suspicion.crashes;
  if (Contains(crashes, crash)) return false;
  const auto later = std::find_if(crashes.begin(), crashes.end(),
                                  [&](const auto& other) { return other->at > crash->at; });
  crashes.insert(later, crash);
  if (crashes.size() > policy.max_crashes_per_block) crashes.erase(crashes.begin());
  return true;
}

// Records the sound responses that another entry reports with evidence.
auto RecordReportedSound(QuarantineTable& table, const SuspectBlock& block, core::Time at) -> void {
  if (block.sound == 0) return;
  auto& record = table.sound[block.id];
  record.count = std::max<std::size_t>(record.count, block.sound);
  record.last = std::max(record.last, at);
}

// Erases the `count` elements with the lowest ranks. `rank` is called with a key and its value.
template <typename Table, typename Rank>
auto EraseLowest(Table& table, std::size_t count, const Rank& rank) -> void {
  using Key = typename Table::key_type;
  using Item = std::pair<std::invoke_result_t<Rank, Key, typename Table::mapped_type>, Key>;
  std::vector<Item> items;
  items.reserve(table.size());
  for (const auto& [key, value] : table) items.emplace_back(rank(key, value), key);
  const auto end = items.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(items.begin(), end, items.end());
  std::for_each(items.begin(), end, [&](const Item& item) { table.erase(item.second); });
}

// If more than `max_blocks` blocks have sound responses, drops all but three quarters of the
// policy's limit: blocks that are not suspected first, then those with the fewest responses, then
// the oldest.
auto LimitSoundRecords(QuarantineTable& table, const QuarantinePolicy& policy,
                       std::size_t max_blocks) -> void {
  if (table.sound.size() <= max_blocks) return;
  EraseLowest(table.sound, table.sound.size() - policy.max_sound_blocks / 4 * 3,
              [&](std::uint64_t block, const SoundRecord& record) {
                return std::tuple(table.blocks.contains(block), record.count, record.last);
              });
}

// Drops the oldest losses until at most `max_losses` remain; of those at one time a random choice,
// as the blocks of a prompt are lost together.
auto LimitLosses(QuarantineTable& table, std::size_t max_losses) -> void {
  if (table.losses.size() <= max_losses) return;
  const auto excess = table.losses.size() - max_losses;
  EraseLowest(table.losses, excess, [](std::uint64_t block, const auto& loss) {
    return std::pair(loss->crash.at, RandomRank(block, loss->crash.at));
  });
  table.dropped.losses += excess;
}

auto CountUnconfirmedBlocks(const QuarantineTable& table) -> std::size_t {
  return std::transform_reduce(table.unconfirmed.begin(), table.unconfirmed.end(), std::size_t{0},
                               std::plus<>(),
                               [](const auto& crash) { return crash.prompt.blocks.size(); });
}

// Memory of an element of a map beside its key and value.
constexpr std::size_t kNodeBytes = 48;

}  // namespace

auto ListBlockIds(const Prompt& prompt) -> std::vector<std::uint64_t> {
  std::vector<std::pair<std::uint64_t, std::size_t>> places;
  places.reserve(prompt.blocks.size());
  for (const auto& block : prompt.blocks) places.emplace_back(block.id, places.size());
  std::sort(places.begin(), places.end());
  const auto is_same_id = [](const auto& a, const auto& b) { return a.first == b.first; };
  places.erase(std::unique(places.begin(), places.end(), is_same_id), places.end());
  std::sort(places.begin(), places.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
  std::vector<std::uint64_t> ids;
  ids.reserve(places.size());
  for (const auto& place : places) ids.push_back(place.first);
  return ids;
}

auto RecordUnansweredLoss(QuarantineTable& table, const QuarantinePolicy& policy,
                          const Prompt& prompt, const UnansweredLoss& loss)
    -> std::optional<EarlierLoss> {
  std::optional<EarlierLoss> earlier;
  for (const auto& block : prompt.blocks) {
    const auto found = table.losses.find(block.id);
    if (found == table.losses.end()) continue;
    const auto& crash = found->second->crash;
    if (crash.replica == loss.crash.replica || loss.crash.at - crash.at > policy.loss_memory) {
      continue;
    }
    if (!earlier || crash.at > earlier->loss.crash.at) earlier = {*found->second, {}};
    if (crash == earlier->loss.crash) earlier->shared.blocks.push_back(block);
  }
  const auto shared = std::make_shared<const UnansweredLoss>(loss);
  for (const auto& block : prompt.blocks) table.losses[block.id] = shared;
  LimitLosses(table, policy.max_losses);
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
  const auto is_full = [&] {
    return table.unconfirmed.size() > policy.max_unconfirmed ||
           CountUnconfirmedBlocks(table) > policy.max_unconfirmed_blocks;
  };
  while (table.unconfirmed.size() > 1 && is_full()) {
    ++table.dropped.unconfirmed;
    table.unconfirmed.pop_front();
  }
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

auto CollectEvidence(const Prompt& prompt, const ReplicaCrash& crash) -> CrashEvidence {
  CrashEvidence evidence{crash, {}};
  for (const auto id : ListBlockIds(prompt)) {
    evidence.blocks.push_back({id, static_cast<std::uint32_t>(evidence.blocks.size() + 1), 0});
  }
  if (!evidence.blocks.empty()) evidence.blocks.back().depth = 0;
  return evidence;
}

auto AddEvidence(QuarantineTable& table, const QuarantinePolicy& policy,
                 const CrashEvidence& evidence) -> std::vector<SuspectBlock> {
  const auto crash = FindOrAddCrash(table, policy, evidence.crash);
  std::vector<SuspectBlock> added;
  for (const auto& block : evidence.blocks) {
    RecordReportedSound(table, block, evidence.crash.at);
    if (!AddCrash(table.blocks[block.id], policy, block.depth, crash)) continue;
    added.push_back({block.id, block.depth, CountSound(table, block.id)});
  }
  LimitEvidence(table, policy.max_evidence);
  LimitSoundRecords(table, policy, policy.max_sound_burst);
  return added;
}

auto CountEvidence(const QuarantineTable& table) -> std::size_t {
  std::size_t pieces = 0;
  for (const auto& [block, suspicion] : table.blocks) pieces += suspicion.crashes.size();
  return pieces;
}

auto CountSound(const QuarantineTable& table, std::uint64_t block) -> std::uint32_t {
  const auto found = table.sound.find(block);
  return found == table.sound.end() ? 0 : static_cast<std::uint32_t>(found->second.count);
}

auto EstimateBytes(const CrashEvidence& evidence) -> std::size_t {
  return sizeof(evidence) + evidence.blocks.size() * sizeof(SuspectBlock);
}

auto EstimateBytes(const QuarantineTable& table) -> std::size_t {
  std::size_t bytes = table.sound.size() * (kNodeBytes + sizeof(SoundRecord)) +
                      table.losses.size() * (kNodeBytes + sizeof(table.losses.begin()->second)) +
                      table.crashes.size() * (sizeof(SharedCrash) + sizeof(ReplicaCrash));
  for (const auto& [block, suspicion] : table.blocks) {
    bytes += kNodeBytes + sizeof(suspicion) + suspicion.crashes.size() * sizeof(SharedCrash);
  }
  for (const auto& crash : table.unconfirmed) {
    bytes += sizeof(crash) + crash.prompt.blocks.size() * sizeof(PrefixBlock);
  }
  return bytes;
}

auto ListEvidence(const QuarantineTable& table) -> std::vector<CrashEvidence> {
  std::map<SharedCrash, CrashEvidence> by_crash;
  for (const auto& [block, suspicion] : table.blocks) {
    const SuspectBlock suspect{block, suspicion.depth, CountSound(table, block)};
    for (const auto& crash : suspicion.crashes) by_crash[crash].blocks.push_back(suspect);
  }
  std::vector<CrashEvidence> out;
  out.reserve(by_crash.size());
  for (auto& [crash, evidence] : by_crash) out.push_back({*crash, std::move(evidence.blocks)});
  return out;
}

auto RecordSoundResponse(QuarantineTable& table, const QuarantinePolicy& policy,
                         const Prompt& prompt, core::Time now) -> std::vector<std::uint64_t> {
  auto ids = ListBlockIds(prompt);
  for (const auto id : ids) {
    if (id == ids.back()) break;
    auto& record = table.sound[id];
    ++record.count;
    record.last = now;
  }
  LimitSoundRecords(table, policy, policy.max_sound_burst);
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

auto ListSuspects(const QuarantineTable& table, const QuarantinePolicy& policy, std::size_t count,
                  core::Time now) -> std::vector<Suspect> {
  std::set<std::uint64_t> quarantined;
  for (const auto& item : ListQuarantines(table, policy, now)) quarantined.insert(item.block);
  std::vector<Suspect> suspects;
  suspects.reserve(table.blocks.size());
  for (const auto& [block, suspicion] : table.blocks) {
    suspects.push_back({block, suspicion.crashes.size(), quarantined.contains(block)});
  }
  const auto end = suspects.begin() + static_cast<std::ptrdiff_t>(std::min(count, suspects.size()));
  std::partial_sort(suspects.begin(), end, suspects.end(), [](const auto& a, const auto& b) {
    return std::tie(b.is_quarantined, b.crashes, a.block) <
           std::tie(a.is_quarantined, a.crashes, b.block);
  });
  suspects.erase(end, suspects.end());
  return suspects;
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
    return now - item.second.crashes.back()->at > policy.forget_after;
  });
  RemoveUnusedCrashes(table);
  std::erase_if(table.losses,
                [&](const auto& item) { return now - item.second->crash.at > policy.loss_memory; });
  std::erase_if(table.sound, [&](const auto& item) { return !IsRecent(item.second, policy, now); });
  LimitSoundRecords(table, policy, policy.max_sound_blocks);
}

}  // namespace filbertstair::direct
