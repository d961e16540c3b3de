#ifndef FILBERTSTAIR_DIRECT_QUARANTINE_H_
#define FILBERTSTAIR_DIRECT_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertstair/core/types.h"
#include "filbertstair/direct/assignment.h"
#include "filbertstair/direct/kept.h"
#include "filbertstair/direct/replicas.h"

// Decides which prompts are no longer sent to replicas because a block of theirs crashes them.
namespace filbertstair::direct {

// The end of a replica's process while requests ran there.
struct ReplicaCrash {
  std::string replica;
  core::Time at{};

  auto operator==(const ReplicaCrash&) const -> bool = default;
};

// What is known against one prompt block.
struct BlockSuspicion {
  // Crashes under prompts with the block that no sound response has offset yet, oldest first.
  // Shared by all blocks that are suspected of one.
  std::vector<std::shared_ptr<const ReplicaCrash>> crashes;
  // Number of blocks of such a prompt up to and including this one; 0 if this is its last one.
  std::uint32_t depth = 0;
};

// Recent sound responses to prompts with a block.
struct SoundRecord {
  std::size_t count = 0;
  core::Time last{};
};

// The end of a connection to a replica on which the response to a request had not begun. The
// replica may have ended.
struct UnansweredLoss {
  ReplicaCrash crash;
  std::string address;
};

// A cut attempt that may have crashed its replica, although the address still accepts connections:
// a supervisor may hold it while it starts the process again.
struct UnconfirmedCrash {
  ReplicaCrash crash;
  std::string address;
  // Start of the replica as it was listed at that time.
  std::int64_t started_ms = 0;
  Prompt prompt;
};

// Pieces of evidence that were dropped because their table was full.
struct DroppedEvidence {
  std::size_t crashes = 0;
  std::size_t losses = 0;
  std::size_t unconfirmed = 0;
};

// Suspected blocks, blocks with recent sound responses, and the last loss of a request with a block
// since its last sound response, by id. No hash tables: callers choose the ids.
struct QuarantineTable {
  std::map<std::uint64_t, BlockSuspicion> blocks;
  // Crashes that blocks are suspected of, each once.
  std::vector<std::shared_ptr<const ReplicaCrash>> crashes;
  std::map<std::uint64_t, SoundRecord> sound;
  std::map<std::uint64_t, std::shared_ptr<const UnansweredLoss>> losses;
  // Oldest first.
  std::deque<UnconfirmedCrash> unconfirmed;
  DroppedEvidence dropped;
};

struct QuarantinePolicy {
  // Crashes from which a block is quarantined, and from which a request with it is not sent again
  // after an attempt that may have crashed a replica. Sound responses offset the crashes of a block
  // that is merely popular before it gets there.
  std::size_t crashes_to_quarantine = 3;
  std::size_t crashes_to_stop_retries = 2;
  // Factor for both if the block has recent sound responses: when several replicas end at once, as
  // with a rack, popular blocks were at all of them.
  std::size_t sound_block_factor = 2;
  // Time for which a sound response is recent. Prompts may come in batches minutes apart.
  core::Duration sound_memory = std::chrono::minutes(10);
  // Time from the head of a response to a crash after which the response is not suspected.
  core::Duration max_crash_delay = std::chrono::seconds(1);
  // Time after the head of a response from which it counts as sound.
  core::Duration sound_after = std::chrono::seconds(1);
  // Reports of one replica within this time are of one crash; a replica takes longer to restart.
  core::Duration same_crash_window = std::chrono::seconds(2);
  // Time since the last crash for which a block stays quarantined. Afterwards one further crash
  // quarantines it again.
  core::Duration quarantine_time = std::chrono::minutes(10);
  // Time after the last crash at which a block is forgotten.
  core::Duration forget_after = std::chrono::hours(1);
  // Time for which an unanswered loss is remembered for the next one.
  core::Duration loss_memory = std::chrono::minutes(10);
  std::size_t max_crashes_per_block = 8;
  // Pieces of evidence in the table, each a crash against a block. Beyond that the blocks that are
  // least suspected are dropped. Several crashes under prompts that fill a header of 16 KiB, with
  // some 2,700 blocks, have room.
  std::size_t max_evidence = 16384;
  // Blocks whose sound responses are remembered, of about 60 bytes each. RemoveOldEvidence drops a
  // quarter beyond that, the least popular first: scanning them takes processor time from requests.
  std::size_t max_sound_blocks = 4096;
  // Blocks whose sound responses are remembered between two calls of RemoveOldEvidence. Beyond that
  // they are dropped at once in the same way.
  std::size_t max_sound_burst = 16384;
  // Time after a cut attempt within which a new start of its replica shows that the replica had
  // ended. A restart takes some seconds, and the platform lists it up to a second later.
  core::Duration confirm_within = std::chrono::seconds(15);
  std::size_t max_unconfirmed = 256;
  // Blocks of their prompts, of 16 bytes each.
  std::size_t max_unconfirmed_blocks = 65536;
  // Blocks whose last loss is remembered; beyond that the oldest ones are dropped. The last losses
  // of prompts that fill a header of 16 KiB, with some 2,700 blocks each, have room.
  std::size_t max_losses = 8192;
};

// A block that a crash is evidence against.
struct SuspectBlock {
  std::uint64_t id = 0;
  // Number of blocks of its prompt up to and including this one; 0 for the last one.
  std::uint32_t depth = 0;
  // Recent sound responses to prompts with the block at the entry that reports the evidence.
  // Callers of a block may all use one entry.
  std::uint32_t sound = 0;

  auto operator==(const SuspectBlock&) const -> bool = default;
};

// A crash as evidence against the blocks of prompts that it cut: the unit in which entries tell
// each other. Takes memory in proportion to the number of blocks.
struct CrashEvidence {
  ReplicaCrash crash;
  std::vector<SuspectBlock> blocks;
};

// Returns the ids of the prompt's blocks, each once and in the prompt's order. All but the last may
// be shared with other requests; the last one identifies a request that its caller repeats.
auto ListBlockIds(const Prompt& prompt) -> std::vector<std::uint64_t>;

// An earlier loss of another replica, and the blocks that its request shares with a later one.
struct EarlierLoss {
  UnansweredLoss loss;
  Prompt shared;
};

// Records a loss for all blocks of the prompt. Returns the latest earlier one of another replica
// under any of them. Requests of a route with a single attempt lose one replica each, so that only
// what they share shows that they crash replicas.
auto RecordUnansweredLoss(QuarantineTable& table, const QuarantinePolicy& policy,
                          const Prompt& prompt, const UnansweredLoss& loss)
    -> std::optional<EarlierLoss>;

// Returns whether the prompt has a block that it may share with others and that has no recent sound
// response. A block that crashes replicas never has one, at any entry.
auto HasUnprovenBlock(const QuarantineTable& table, const QuarantinePolicy& policy,
                      const Prompt& prompt, core::Time now) -> bool;

// Returns whether an attempt whose connection ended may have crashed its replica: its response had
// just begun, or no response had and the prompt is suspicious: it has an unproven block, or a
// request with one of its blocks had lost another replica before.
auto IsCrashSuspect(const QuarantinePolicy& policy, const Assignment& assignment,
                    bool is_suspicious, core::Time cut_at) -> bool;

// Records a crash that a new start of the replica may confirm; beyond the limits the oldest are
// dropped.
auto RecordUnconfirmedCrash(QuarantineTable& table, const QuarantinePolicy& policy,
                            UnconfirmedCrash crash) -> void;

// Removes and returns the crashes that the listing confirms: it names a later start of the replica,
// or another one at its address that did not start before it.
auto TakeConfirmedCrashes(QuarantineTable& table, const QuarantinePolicy& policy,
                          const Listing& listing, core::Time now) -> std::vector<UnconfirmedCrash>;

// Returns the evidence that the crash of a replica under the prompt gives against its blocks. The
// last one counts as well: a request may crash replicas by what it shares with none, and come
// again.
auto CollectEvidence(const Prompt& prompt, const ReplicaCrash& crash) -> CrashEvidence;

// Adds evidence. Returns the blocks that it is new for, with the sound responses in the table. If
// the table is full, drops the blocks with a sound response first, then those with the fewest
// crashes, then those whose last crash is oldest; of equal ones a random choice, so that
// neither the place of a block in its prompt nor its id decides.
auto AddEvidence(QuarantineTable& table, const QuarantinePolicy& policy,
                 const CrashEvidence& evidence) -> std::vector<SuspectBlock>;

// Returns the number of pieces of evidence in the table, each a crash against a block.
auto CountEvidence(const QuarantineTable& table) -> std::size_t;

// Returns the number of recent sound responses to prompts with the block.
auto CountSound(const QuarantineTable& table, std::uint64_t block) -> std::uint32_t;

// Return an estimate of the memory that evidence takes, in bytes.
auto EstimateBytes(const CrashEvidence& evidence) -> std::size_t;
auto EstimateBytes(const QuarantineTable& table) -> std::size_t;

// Returns all evidence in the table by crash, for an entry that has just started.
auto ListEvidence(const QuarantineTable& table) -> std::vector<CrashEvidence>;

// Records that a response to the prompt went well, which offsets one crash of each of its blocks: a
// block that crashes replicas has no such response. Remembers it for the blocks that may be shared,
// and forgets their unanswered losses.
// Returns the blocks whose suspicion changed.
auto RecordSoundResponse(QuarantineTable& table, const QuarantinePolicy& policy,
                         const Prompt& prompt, core::Time now) -> std::vector<std::uint64_t>;

// Offsets the oldest crash of a block. Returns whether there was one.
auto OffsetCrash(QuarantineTable& table, std::uint64_t block) -> bool;

// A quarantined block and the end of its quarantine.
struct Quarantine {
  std::uint64_t block = 0;
  std::size_t crashes = 0;
  core::Time until{};
};

// Returns the blocks that are quarantined at `now`: the fewest that explain the crashes, since a
// crash has one cause however many prompts it cut. Of blocks that explain the same crashes, takes
// the one with fewer sound responses, then the one further from the beginning of its prompts, as
// fewer prompts share it, and the last block of a prompt after all others: a sound request that its
// caller repeats may be cut in each crash. Blocks that are alike in all of this stay in use until
// they have one more crash.
auto ListQuarantines(const QuarantineTable& table, const QuarantinePolicy& policy, core::Time now)
    -> std::vector<Quarantine>;

// A suspected block as operators see it.
struct Suspect {
  std::uint64_t block = 0;
  std::size_t crashes = 0;
  bool is_quarantined = false;
};

// Returns at most `count` suspected blocks: the quarantined ones, then those with most crashes.
auto ListSuspects(const QuarantineTable& table, const QuarantinePolicy& policy, std::size_t count,
                  core::Time now) -> std::vector<Suspect>;

// Returns why a prompt must not be sent to a replica, or nothing if it may be.
auto FindQuarantine(const QuarantineTable& table, const QuarantinePolicy& policy,
                    const Prompt& prompt, core::Time now) -> std::optional<Quarantine>;

// Returns whether a request with this prompt may be sent to another replica after an attempt that
// may have crashed one.
auto MayRetryAfterCrash(const QuarantineTable& table, const QuarantinePolicy& policy,
                        const Prompt& prompt, core::Time now) -> bool;

// Forgets crashes, losses and sound responses that no longer matter. Of the latter keeps at most
// `max_sound_blocks` blocks.
auto RemoveOldEvidence(QuarantineTable& table, const QuarantinePolicy& policy, core::Time now)
    -> void;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_QUARANTINE_H_
