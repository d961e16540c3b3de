#ifndef FILBERTSTAIR_WIRE_CONTROL_H_
#define FILBERTSTAIR_WIRE_CONTROL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "filbertstair/core/types.h"

// Messages of a control stream between two processes of the system, as plain structs.
namespace filbertstair::wire {

// First message in each direction.
struct Hello {
  std::string id;
  core::Incarnation incarnation = 0;
  core::Role role = core::Role::entry;
  std::string region;
  std::string failure_domain;
  std::string pool;
};

struct DemandItem {
  std::string service;
  std::string workspace;
  std::uint32_t waiting = 0;

  auto operator==(const DemandItem&) const -> bool = default;
};

// Requests that wait at an entry. Replaces the entry's previous message.
struct Demand {
  std::vector<DemandItem> items;
};

struct Grant {
  std::uint64_t grant = 0;
  core::Incarnation granter = 0;
  std::string service;
  std::string workspace;
  core::Duration time_to_live{};
};

struct GrantReturn {
  std::uint64_t grant = 0;
  core::Incarnation granter = 0;
  std::string service;
  std::string workspace;
};

// State of an endpoint process: its limit of running requests and the slots without a claim on
// them.
struct Load {
  std::uint32_t limit = 0;
  std::uint32_t free = 0;
  bool draining = false;

  auto operator==(const Load&) const -> bool = default;
};

// One service counter. `index` numbers the workspace on this stream; its name is sent with the
// first row that uses the number. `source` is empty for the sender's own counter and for sums.
struct ServiceRow {
  std::uint32_t index = 0;
  std::string workspace;
  std::string source;
  core::Incarnation incarnation = 0;
  core::Cost counter = 0;
  // Requests in flight at the source; for sums over the fleet without the receiver.
  std::uint32_t running = 0;
};

// Service counters. `feed` is the kind of row: 0 the sender's own, 1 rows by source, 2 sums over
// the processes other than the receiver.
struct Service {
  std::uint32_t feed = 0;
  std::vector<ServiceRow> rows;
};

struct DigestRow {
  std::uint32_t kind = 0;
  std::string name;
  std::uint64_t version = 0;
  std::uint64_t hash = 0;
};

struct Digest {
  std::uint64_t summary = 0;
  bool complete = false;
  std::vector<DigestRow> rows;
  // Time since some entry is known to have heard the platform.
  core::Duration contact_age{};
  bool draining = false;
};

struct FetchRequest {
  std::vector<DigestRow> rows;
};

struct Published {
  std::uint32_t kind = 0;
  std::string name;
  std::uint64_t version = 0;
  std::string content;
};

// What an entry that admits by itself has at one replica.
struct ReplicaUse {
  std::string replica;
  std::uint32_t in_flight = 0;
  // Prompt tokens that the replica has yet to read.
  std::uint64_t prefill_tokens = 0;
};

// Recent service of one workspace at the sender, and whether requests of it wait there.
struct AccountUse {
  std::string service;
  std::string workspace;
  std::uint64_t used = 0;
  bool waiting = false;
};

// Part of a prompt that a replica reads.
struct CachedPrefixBlock {
  std::string replica;
  // Covers the parts before it, too.
  std::uint64_t key = 0;
  std::uint32_t tokens = 0;
};

// State of an entry that admits by itself. Rows are those that changed since the last message.
struct EntryState {
  // The sender's listener for other processes, and those that it knows of.
  std::string address;
  std::vector<std::string> known_addresses;
  std::vector<ReplicaUse> replicas;
  std::vector<AccountUse> accounts;
  // Parts that replicas read for requests of the sender and did not keep before.
  std::vector<CachedPrefixBlock> cached_blocks;
  // Microseconds for which the sender's configuration still counts as confirmed.
  std::uint64_t lease_us = 0;
  // Where the sender stands, what its VM allows it in thousandths of a processor core, and whether
  // it takes new callers.
  std::string failure_domain;
  std::uint32_t millicores = 0;
  core::RotationState rotation = core::RotationState::serving;
};

using ControlMessage = std::variant<Hello, Demand, GrantReturn, Grant, Load, Service, Digest,
                                    FetchRequest, Published, EntryState>;

auto Encode(const ControlMessage& message) -> std::string;

// Throws core::Error (Step::decode) with `peer` if the bytes are no valid message.
auto DecodeControl(std::string_view bytes, const std::string& peer) -> ControlMessage;

// Name of the message's kind, for metrics of control traffic.
auto KindName(const ControlMessage& message) -> std::string_view;

}  // namespace filbertstair::wire

#endif  // FILBERTSTAIR_WIRE_CONTROL_H_
