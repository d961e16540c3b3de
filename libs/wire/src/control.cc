#include "filbertstair/wire/control.h"

#include <array>

#include "convert.h"

namespace filbertstair::wire {
namespace {

using detail::FromEnum;
using detail::ToDuration;
using detail::ToEnum;

auto Fill(const Hello& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_hello();
  to.set_id(from.id);
  to.set_incarnation(from.incarnation);
  to.set_role(FromEnum(from.role));
  to.set_region(from.region);
  to.set_failure_domain(from.failure_domain);
  to.set_pool(from.pool);
}

auto Fill(const Demand& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_demand();
  for (const auto& item : from.items) {
    auto* row = to.add_items();
    row->set_service(item.service);
    row->set_workspace(item.workspace);
    row->set_waiting(item.waiting);
  }
}

auto Fill(const GrantReturn& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_grant_return();
  to.set_grant(from.grant);
  to.set_granter(from.granter);
  to.set_service(from.service);
  to.set_workspace(from.workspace);
}

auto Fill(const Grant& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_grant();
  to.set_grant(from.grant);
  to.set_granter(from.granter);
  to.set_service(from.service);
  to.set_workspace(from.workspace);
  to.set_time_to_live_us(static_cast<std::uint64_t>(from.time_to_live.count()));
}

auto Fill(const Load& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_load();
  to.set_limit(from.limit);
  to.set_free(from.free);
  to.set_draining(from.draining);
}

auto Fill(const Service& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_service();
  to.set_feed(from.feed);
  for (const auto& row : from.rows) {
    auto* out = to.add_rows();
    out->set_index(row.index);
    out->set_workspace(row.workspace);
    out->set_source(row.source);
    out->set_incarnation(row.incarnation);
    out->set_counter(static_cast<std::uint64_t>(row.counter));
    out->set_running(row.running);
  }
}

template <typename Repeated>
auto CopyRows(const std::vector<DigestRow>& rows, Repeated* out) -> void {
  for (const auto& row : rows) {
    auto* to = out->Add();
    to->set_kind(row.kind);
    to->set_name(row.name);
    to->set_version(row.version);
    to->set_hash(row.hash);
  }
}

template <typename Repeated>
auto ToRows(const Repeated& rows) -> std::vector<DigestRow> {
  std::vector<DigestRow> out;
  for (const auto& row : rows) out.push_back({row.kind(), row.name(), row.version(), row.hash()});
  return out;
}

auto Fill(const Digest& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_digest();
  to.set_summary(from.summary);
  to.set_complete(from.complete);
  CopyRows(from.rows, to.mutable_rows());
  to.set_contact_age_us(static_cast<std::uint64_t>(from.contact_age.count()));
  to.set_draining(from.draining);
}

auto Fill(const FetchRequest& from, pb::ControlMessage& envelope) -> void {
  CopyRows(from.rows, envelope.mutable_fetch()->mutable_rows());
}

auto Fill(const Published& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_published();
  to.set_kind(from.kind);
  to.set_name(from.name);
  to.set_version(from.version);
  to.set_content(from.content);
}

auto Fill(const EntryState& from, pb::ControlMessage& envelope) -> void {
  auto& to = *envelope.mutable_entry_state();
  to.set_address(from.address);
  to.set_lease_us(from.lease_us);
  to.set_failure_domain(from.failure_domain);
  to.set_millicores(from.millicores);
  to.set_rotation(FromEnum(from.rotation));
  for (const auto& address : from.known_addresses) to.add_known(address);
  for (const auto& row : from.cached_blocks) {
    auto* out = to.add_kept();
    out->set_replica(row.replica);
    out->set_key(row.key);
    out->set_tokens(row.tokens);
  }
  for (const auto& row : from.crashes) {
    auto* out = to.add_crashes();
    out->set_replica(row.replica);
    out->set_age_us(static_cast<std::uint64_t>(row.age.count()));
    for (const auto& block : row.blocks) {
      out->add_blocks(block.id);
      out->add_depths(block.depth);
      out->add_sound(block.sound);
    }
  }
  for (const auto block : from.sound_blocks) to.add_sound_blocks(block);
  for (const auto& row : from.leaving) {
    auto* out = to.add_leaving();
    out->set_replica(row.replica);
    out->set_started_ms(row.started_ms);
  }
  for (const auto& row : from.replicas) {
    auto* out = to.add_replicas();
    out->set_replica(row.replica);
    out->set_in_flight(row.in_flight);
    out->set_unread(row.prefill_tokens);
  }
  for (const auto& row : from.accounts) {
    auto* out = to.add_accounts();
    out->set_service(row.service);
    out->set_workspace(row.workspace);
    out->set_used(row.used);
    out->set_waiting(row.waiting);
  }
}

auto ToStruct(const pb::Hello& from, const std::string& peer) -> Hello {
  return {from.id(),     from.incarnation(),    ToEnum<core::Role>(from.role(), peer),
          from.region(), from.failure_domain(), from.pool()};
}

auto ToStruct(const pb::Demand& from) -> Demand {
  Demand to;
  for (const auto& item : from.items()) {
    to.items.push_back({item.service(), item.workspace(), item.waiting()});
  }
  return to;
}

auto ToStruct(const pb::Grant& from) -> Grant {
  return {from.grant(), from.granter(), from.service(), from.workspace(),
          ToDuration(from.time_to_live_us())};
}

auto ToStruct(const pb::GrantReturn& from) -> GrantReturn {
  return {from.grant(), from.granter(), from.service(), from.workspace()};
}

auto ToStruct(const pb::Service& from) -> Service {
  Service to;
  to.feed = from.feed();
  for (const auto& row : from.rows()) {
    to.rows.push_back({row.index(), row.workspace(), row.source(), row.incarnation(),
                       static_cast<core::Cost>(row.counter()), row.running()});
  }
  return to;
}

auto ToStruct(const pb::Digest& from) -> Digest {
  return {from.summary(), from.complete(), ToRows(from.rows()), ToDuration(from.contact_age_us()),
          from.draining()};
}

auto ToStruct(const pb::PromptCrash& from, const std::string& peer) -> PromptCrash {
  const auto size = from.blocks_size();
  if (from.depths_size() != size || from.sound_size() != size) {
    throw core::Error(core::Step::decode, peer, "crash with lists of different lengths");
  }
  PromptCrash to{from.replica(), ToDuration(from.age_us()), {}};
  to.blocks.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    to.blocks.push_back({from.blocks(i), from.depths(i), from.sound(i)});
  }
  return to;
}

auto ToStruct(const pb::EntryState& from, const std::string& peer) -> EntryState {
  EntryState to;
  to.address = from.address();
  to.lease_us = from.lease_us();
  to.failure_domain = from.failure_domain();
  to.millicores = from.millicores();
  to.rotation = ToEnum<core::RotationState>(from.rotation(), peer);
  to.known_addresses.assign(from.known().begin(), from.known().end());
  for (const auto& row : from.replicas()) {
    to.replicas.push_back({row.replica(), row.in_flight(), row.unread()});
  }
  for (const auto& row : from.kept()) {
    to.cached_blocks.push_back({row.replica(), row.key(), row.tokens()});
  }
  for (const auto& row : from.crashes()) to.crashes.push_back(ToStruct(row, peer));
  for (const auto& row : from.leaving()) {
    to.leaving.push_back({row.replica(), row.started_ms()});
  }
  to.sound_blocks.assign(from.sound_blocks().begin(), from.sound_blocks().end());
  for (const auto& row : from.accounts()) {
    to.accounts.push_back({row.service(), row.workspace(), row.used(), row.waiting()});
  }
  return to;
}

constexpr std::array<std::string_view, std::variant_size_v<ControlMessage>> kKindNames = {
    "hello",   "demand", "grant_return", "grant",     "load",
    "service", "digest", "fetch",        "published", "entry_state"};

}  // namespace

auto Encode(const ControlMessage& message) -> std::string {
  pb::ControlMessage envelope;
  std::visit([&](const auto& from) { Fill(from, envelope); }, message);
  return envelope.SerializeAsString();
}

auto DecodeControl(std::string_view bytes, const std::string& peer) -> ControlMessage {
  pb::ControlMessage envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    throw core::Error(core::Step::decode, peer, "malformed control message");
  }
  switch (envelope.kind_case()) {
    case pb::ControlMessage::kHello:
      return ToStruct(envelope.hello(), peer);
    case pb::ControlMessage::kDemand:
      return ToStruct(envelope.demand());
    case pb::ControlMessage::kGrantReturn:
      return ToStruct(envelope.grant_return());
    case pb::ControlMessage::kGrant:
      return ToStruct(envelope.grant());
    case pb::ControlMessage::kLoad:
      return Load{envelope.load().limit(), envelope.load().free(), envelope.load().draining()};
    case pb::ControlMessage::kService:
      return ToStruct(envelope.service());
    case pb::ControlMessage::kDigest:
      return ToStruct(envelope.digest());
    case pb::ControlMessage::kFetch:
      return FetchRequest{ToRows(envelope.fetch().rows())};
    case pb::ControlMessage::kPublished:
      return Published{envelope.published().kind(), envelope.published().name(),
                       envelope.published().version(), envelope.published().content()};
    case pb::ControlMessage::kEntryState:
      return ToStruct(envelope.entry_state(), peer);
    case pb::ControlMessage::KIND_NOT_SET:
      break;
  }
  throw core::Error(core::Step::decode, peer, "unknown control message");
}

auto KindName(const ControlMessage& message) -> std::string_view {
  return kKindNames.at(message.index());
}

}  // namespace filbertstair::wire
