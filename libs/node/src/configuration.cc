#include "filbertstair/node/configuration.h"

#include <optional>
#include <set>

#include "filbertstair/config/fanout.h"
#include "filbertstair/document/parse.h"
#include "filbertstair/membership/vm_list.h"

namespace filbertstair::node {
namespace {

// A published object with its validation result and parsed content.
struct CheckedObject {
  config::ObjectPtr object;
  config::ValidationResult validity;
  std::optional<document::Service> service;
  std::optional<membership::VmList> vms;
};

auto CheckDocument(const std::string& name, const std::string& content) -> CheckedObject {
  CheckedObject checked;
  auto parsed = document::ParseDocument(content, name);
  for (const auto& problem : parsed.problems) {
    checked.validity.problems.push_back(schema::Describe(problem));
  }
  std::uint64_t version = 0;
  if (parsed.service) {
    version = parsed.service->version;
    const std::string expected =
        std::string(kDocumentPrefix) + parsed.service->name + std::string(kDocumentSuffix);
    if (name != expected) {
      checked.validity.problems.push_back(name + ": describes service " + parsed.service->name);
    }
  }
  checked.service = std::move(parsed.service);
  checked.object = config::MakeObject(config::ObjectKind::document, name, version, content);
  return checked;
}

auto CheckVmList(const std::string& name, const std::string& content) -> CheckedObject {
  CheckedObject checked;
  auto parsed = membership::ParseVmList(content, name);
  checked.validity.problems = parsed.problems;
  const std::uint64_t version = parsed.list ? parsed.list->revision : 0;
  checked.vms = std::move(parsed.list);
  checked.object = config::MakeObject(config::ObjectKind::vm_list, name, version, content);
  return checked;
}

auto CheckObject(const std::string& name, const std::string& content) -> CheckedObject {
  if (name == kVmListName) return CheckVmList(name, content);
  return CheckDocument(name, content);
}

auto LogConflicts(const std::vector<document::NameConflict>& conflicts) -> void {
  for (const auto& conflict : conflicts) {
    telemetry::Log(telemetry::Level::error, telemetry::Event::name_conflict,
                   {{"scheme", core::Name(conflict.scheme)},
                    {"name", conflict.name},
                    {"kept_by", conflict.kept_service},
                    {"refused_for", conflict.refused_service}});
  }
}

// Returns the snapshot with `checked` activated. Other parsed documents are shared with the
// previous snapshot.
auto NextSnapshot(const Snapshot& previous, CheckedObject checked)
    -> std::shared_ptr<const Snapshot> {
  auto next = std::make_shared<Snapshot>(previous);
  if (checked.vms) next->vms = std::move(*checked.vms);
  if (checked.service) {
    auto service = std::make_shared<const document::Service>(std::move(*checked.service));
    next->services[service->name] = service;
    std::vector<document::Service> services;
    for (const auto& [name, value] : next->services) services.push_back(*value);
    auto built = document::BuildIndex(services);
    next->names = std::move(built.index);
    LogConflicts(built.conflicts);
  }
  next->configured = !next->services.empty() && !next->vms.vms.empty();
  return next;
}

auto CollectPoolNames(const Snapshot& snapshot) -> std::set<std::string> {
  std::set<std::string> pools;
  for (const auto& [name, service] : snapshot.services) {
    for (const auto& pool : service->pools) pools.insert(pool.name);
  }
  return pools;
}

auto UpdateMembers(Node& node) -> void {
  // Holds both locks, so that if two workers accept new versions concurrently the later snapshot is
  // applied last.
  LogMemberChanges(node.config.With([&](const ConfigState& state) {
    return node.members.With([&](membership::MemberTable& table) {
      auto changes = membership::ApplyVmList(table, state.snapshot->vms);
      if (!state.snapshot->services.empty()) {
        const auto pool_changes = membership::SetPools(table, CollectPoolNames(*state.snapshot));
        changes.insert(changes.end(), pool_changes.begin(), pool_changes.end());
      }
      return changes;
    });
  }));
}

auto ToWire(const config::DigestRow& row) -> wire::DigestRow {
  return {static_cast<std::uint32_t>(row.key.kind), row.key.name, row.stamp.version,
          row.stamp.hash};
}

auto ToRow(const wire::DigestRow& row) -> config::DigestRow {
  const auto kind = row.kind == 0 ? config::ObjectKind::document : config::ObjectKind::vm_list;
  return {{kind, row.name}, {row.version, row.hash}};
}

auto ToWire(const config::Digest& digest) -> wire::Digest {
  wire::Digest out;
  out.summary = digest.summary;
  out.complete = digest.complete;
  for (const auto& row : digest.rows) out.rows.push_back(ToWire(row));
  return out;
}

auto ToDigest(const wire::Digest& digest) -> config::Digest {
  config::Digest out;
  out.summary = digest.summary;
  out.complete = digest.complete;
  for (const auto& row : digest.rows) out.rows.push_back(ToRow(row));
  return out;
}

auto AddStatus(Node& node, wire::Digest& digest) -> void {
  digest.draining = node.draining;
  digest.contact_age = node.config.With(
      [](const ConfigState& state) { return config::ContactAge(state.watch, Now()); });
}

// Announces a new version to a few linked entries, which forward it, and to all linked endpoints.
auto Announce(Node& node, const config::Object& object, const std::string& from) -> void {
  auto digest = ToWire(node.config.With(
      [&](const ConfigState& state) { return config::MakeDigest(state.table, object.key); }));
  AddStatus(node, digest);
  node.links.With([&](const LinkTable& links) {
    std::vector<std::string> entries;
    for (const auto& [id, peer] : links.peers) {
      if (peer.role == core::Role::entry) entries.push_back(id);
      if (peer.role == core::Role::endpoint) peer.outbox->Push(digest);
    }
    if (node.settings.role != core::Role::entry) return;
    for (const auto i :
         config::ChooseAnnounceTargets(node.settings.id, object, entries, from, {})) {
      links.peers.at(entries[i]).outbox->Push(digest);
    }
  });
}

auto LogDecision(const config::Object& object, const config::OfferResult& offered,
                 const config::ValidationResult& validity, const std::string& from) -> void {
  const std::string version = std::to_string(object.stamp.version);
  const auto log = [&](telemetry::Level level, telemetry::Event event, std::string_view detail) {
    telemetry::Log(
        level, event,
        {{"object", object.key.name}, {"version", version}, {"peer", from}, {"detail", detail}});
  };
  using config::Decision;
  if (offered.conflict_detected) {
    log(telemetry::Level::error, telemetry::Event::object_conflict, core::Name(offered.decision));
  }
  if (offered.decision == Decision::accepted || offered.decision == Decision::conflict_won) {
    log(telemetry::Level::info, telemetry::Event::object_accepted, "");
  }
  if (offered.decision == Decision::invalid) {
    for (const auto& problem : validity.problems) {
      log(telemetry::Level::error, telemetry::Event::object_rejected, problem);
    }
  }
}

}  // namespace

auto OfferContent(Node& node, const std::string& name, const std::string& content,
                  const std::string& from) -> config::Decision {
  auto checked = CheckObject(name, content);
  const auto object = checked.object;
  const auto validity = checked.validity;
  const auto offered = node.config.With([&](ConfigState& state) {
    const auto result = config::OfferObject(state.table, object, validity, Now());
    config::CompleteFetch(state.fetches, object->key, object->stamp);
    if (result.decision == config::Decision::accepted ||
        result.decision == config::Decision::conflict_won) {
      state.snapshot = NextSnapshot(*state.snapshot, std::move(checked));
    }
    return result;
  });
  LogDecision(*object, offered, validity, from);
  if (offered.conflict_detected) node.metrics.Count(telemetry::Metric::config_conflicts);
  if (offered.decision != config::Decision::accepted &&
      offered.decision != config::Decision::conflict_won) {
    return offered.decision;
  }
  node.metrics.Set(telemetry::Metric::config_version, static_cast<double>(object->stamp.version),
                   name);
  node.history.With([&](History& history) {
    RecordConfigVersion(history, Now(), node.settings.id, name, object->stamp.version);
  });
  UpdateMembers(node);
  Announce(node, *object, from);
  if (node.on_configuration) node.on_configuration();
  return offered.decision;
}

auto PeriodicDigest(Node& node) -> wire::Digest {
  auto digest = ToWire(node.config.With([](const ConfigState& state) {
    return config::MakeDigest(state.table, config::DigestScope::summary);
  }));
  AddStatus(node, digest);
  return digest;
}

auto HandleDigest(Node& node, const wire::Digest& digest, const std::string& peer)
    -> std::vector<wire::ControlMessage> {
  std::vector<wire::ControlMessage> replies;
  wire::FetchRequest fetch;
  config::Digest all;
  bool became_synced = false;
  const auto comparison = node.config.With([&](ConfigState& state) {
    config::RecordReportedContact(state.watch, digest.contact_age, Now());
    const auto own = config::MakeDigest(state.table, config::DigestScope::summary);
    became_synced = !state.synced && own.summary == digest.summary;
    if (became_synced) state.synced = true;
    auto result = config::CompareDigest(state.table, ToDigest(digest));
    for (const auto& row : result.to_request) {
      if (config::BeginFetch(state.fetches, row, peer, Now())) fetch.rows.push_back(ToWire(row));
    }
    if (result.needs_all_rows) all = config::MakeDigest(state.table, config::DigestScope::all);
    return result;
  });
  if (became_synced && node.on_configuration) node.on_configuration();
  if (!fetch.rows.empty()) replies.emplace_back(std::move(fetch));
  if (comparison.needs_all_rows) {
    replies.emplace_back(ToWire(all));
  } else if (!comparison.to_send.empty()) {
    config::Digest newer;
    newer.rows = comparison.to_send;
    auto message = ToWire(newer);
    message.summary = PeriodicDigest(node).summary;
    replies.emplace_back(std::move(message));
  }
  for (auto& reply : replies) {
    if (auto* sent = std::get_if<wire::Digest>(&reply)) AddStatus(node, *sent);
  }
  return replies;
}

auto HandleFetch(Node& node, const wire::FetchRequest& request)
    -> std::vector<wire::ControlMessage> {
  std::vector<wire::ControlMessage> replies;
  node.config.With([&](const ConfigState& state) {
    for (const auto& row : request.rows) {
      const auto object = config::FindObject(state.table, ToRow(row).key);
      if (!object) continue;
      replies.emplace_back(
          wire::Published{row.kind, object->key.name, object->stamp.version, object->content});
    }
  });
  return replies;
}

auto HandlePublished(Node& node, const wire::Published& published, const std::string& peer)
    -> void {
  OfferContent(node, published.name, published.content, peer);
}

}  // namespace filbertstair::node
