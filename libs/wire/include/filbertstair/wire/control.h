#ifndef FILBERTSTAIR_WIRE_CONTROL_H_
#define FILBERTSTAIR_WIRE_CONTROL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "filbertstair/core/types.h"

// Messages of a control stream between two processes, as plain structs.
namespace filbertstair::wire {

// First message in each direction. Identifies the sender.
struct Hello {
  std::string id;
  core::Incarnation incarnation = 0;
  core::Role role = core::Role::entry;
  std::string region;
  std::string failure_domain;
  std::string pool;
};

// Number of requests of one workspace that wait for a service.
struct DemandItem {
  std::string service;
  std::string workspace;
  std::uint32_t waiting = 0;

  auto operator==(const DemandItem&) const -> bool = default;
};

// Requests that wait at an entry. Replaces the previous Demand of that entry.
struct Demand {
  std::vector<DemandItem> items;
};

// Permission for an entry to submit one request, issued by the endpoint process whose incarnation
// is `granter`. Expires after `time_to_live`.
struct Grant {
  std::uint64_t grant = 0;
  core::Incarnation granter = 0;
  std::string service;
  std::string workspace;
  core::Duration time_to_live{};
};

// Returns an unused grant to its issuer.
struct GrantReturn {
  std::uint64_t grant = 0;
  core::Incarnation granter = 0;
  std::string service;
  std::string workspace;
};

// Load of an endpoint process: its limit of concurrently running requests, and the number of
// unclaimed slots.
struct Load {
  std::uint32_t limit = 0;
  std::uint32_t free = 0;
  bool draining = false;

  auto operator==(const Load&) const -> bool = default;
};

// One service counter. `index` identifies the workspace on this stream; its name is sent only with
// the first row that uses the index. `source` is empty for the sender's own counter and for sums.
struct ServiceRow {
  std::uint32_t index = 0;
  std::string workspace;
  std::string source;
  core::Incarnation incarnation = 0;
  core::Cost counter = 0;
  // Requests in flight at the source; for sums, at all processes other than the receiver.
  std::uint32_t running = 0;
};

// Service counters. `feed` is the kind of all rows, a shares::Feed: 0 (own) for the sender's own
// counters, 1 (rows) for rows by source, 2 (domain) for the sum over the sources linked to the
// sender, as the counter of its domain, 3 (totals) for sums over the processes other than the
// receiver.
struct Service {
  std::uint32_t feed = 0;
  std::vector<ServiceRow> rows;
};

// Version and content hash of one published object. `kind` is a config::ObjectKind.
struct DigestRow {
  std::uint32_t kind = 0;
  std::string name;
  std::uint64_t version = 0;
  std::uint64_t hash = 0;
};

// Digest of the sender's published objects, which is also its heartbeat. `summary` is a hash over
// all objects; `complete` tells whether `rows` lists all of them.
struct Digest {
  std::uint64_t summary = 0;
  bool complete = false;
  std::vector<DigestRow> rows;
  // Time since the last response of the platform to any entry, as far as the sender knows.
  core::Duration contact_age{};
  bool draining = false;
};

// Requests the published objects of the rows.
struct FetchRequest {
  std::vector<DigestRow> rows;
};

// A published object.
struct Published {
  std::uint32_t kind = 0;
  std::string name;
  std::uint64_t version = 0;
  std::string content;
};

// Requests of an entry that dispatches directly to replicas at one of them.
struct ReplicaUse {
  std::string replica;
  std::uint32_t in_flight = 0;
  // Prompt tokens that the replica has yet to prefill.
  std::uint64_t prefill_tokens = 0;
};

// Recent service of one workspace at the sender, and whether its requests wait there.
struct AccountUse {
  std::string service;
  std::string workspace;
  // Service with exponential decay over time, in tokens for a model and in requests otherwise.
  std::uint64_t used = 0;
  bool waiting = false;
};

// Block of a prompt prefix in a replica's prefix cache.
struct CachedPrefixBlock {
  std::string replica;
  // Hash that also covers the preceding blocks.
  std::uint64_t key = 0;
  std::uint32_t tokens = 0;
};

// Prompt block that the crash of a replica is evidence against.
struct SuspectBlock {
  std::uint64_t id = 0;
  // Number of blocks of its prompt up to and including this one; 0 for the last one.
  std::uint32_t depth = 0;
  // Recent sound responses of the sender to prompts with the block.
  std::uint32_t sound = 0;

  auto operator==(const SuspectBlock&) const -> bool = default;
};

// Crash of a replica as evidence against the blocks of prompts that it cut.
struct PromptCrash {
  std::string replica;
  // Time since the crash.
  core::Duration age{};
  std::vector<SuspectBlock> blocks;
};

// Start of a replica that has said that it leaves.
struct LeavingReplica {
  std::string replica;
  // Milliseconds since 1970; 0 if not known.
  std::int64_t started_ms = 0;

  auto operator==(const LeavingReplica&) const -> bool = default;
};

// State of an entry that dispatches directly to replicas. Contains only the rows that changed since
// the last message.
struct EntryState {
  // Address of the sender's listener for other processes, and the addresses of the entries that it
  // knows.
  std::string address;
  std::vector<std::string> known_addresses;
  std::vector<ReplicaUse> replicas;
  std::vector<AccountUse> accounts;
  // Blocks newly cached by replicas for requests of the sender.
  std::vector<CachedPrefixBlock> cached_blocks;
  // Crashes that the sender observed, and suspected blocks that a sound response to the sender
  // speaks for, once per response. A new link starts with all crashes that the sender knows of.
  std::vector<PromptCrash> crashes;
  std::vector<std::uint64_t> sound_blocks;
  std::vector<LeavingReplica> leaving;
  // Remaining time in microseconds for which the sender's configuration counts as confirmed.
  std::uint64_t lease_us = 0;
  // The sender's failure domain, the CPU quota of its VM in thousandths of a core, and whether it
  // accepts new callers.
  std::string failure_domain;
  std::uint32_t millicores = 0;
  core::RotationState rotation = core::RotationState::serving;
};

using ControlMessage = std::variant<Hello, Demand, GrantReturn, Grant, Load, Service, Digest,
                                    FetchRequest, Published, EntryState>;

// Returns the protobuf encoding of the message.
auto Encode(const ControlMessage& message) -> std::string;

// Decodes a message from `peer`. Throws core::Error (Step::decode) with `peer` if the bytes are not
// a valid message.
auto DecodeControl(std::string_view bytes, const std::string& peer) -> ControlMessage;

// Returns the name of the message's kind, the label value of control traffic metrics.
auto KindName(const ControlMessage& message) -> std::string_view;

}  // namespace filbertstair::wire

#endif  // FILBERTSTAIR_WIRE_CONTROL_H_
