#include "filbertstair/document/diff.h"

#include <array>
#include <charconv>
#include <map>
#include <string_view>
#include <utility>

#include "filbertstair/schema/duration.h"

namespace filbertstair::document {
namespace {

using Fields = std::map<std::string, std::string>;

auto FormatNumber(double number) -> std::string {
  std::array<char, 32> buffer{};
  const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  return error == std::errc() ? std::string(buffer.data(), end) : "?";
}

// Returns the scalar fields, which every document has, by path.
auto ScalarFields(const Service& service) -> Fields {
  return {
      {"name", service.name},
      {"version", std::to_string(service.version)},
      {"timeouts.request", schema::FormatDuration(service.timeouts.request)},
      {"timeouts.queue", schema::FormatDuration(service.timeouts.queue)},
      {"timeouts.idle", schema::FormatDuration(service.timeouts.idle)},
      {"retries.budget", FormatNumber(service.retries.budget)},
      {"retries.max_attempts", std::to_string(service.retries.max_attempts)},
      {"idempotency.protect", schema::FormatDuration(service.idempotency.protect)},
      {"idempotency.quiet", schema::FormatDuration(service.idempotency.quiet)},
      {"idempotency.max_skew", schema::FormatDuration(service.idempotency.max_skew)},
      {"max_body_bytes", std::to_string(service.max_body_bytes)},
      {"link_price", schema::FormatDuration(service.link_price)},
      {"max_lead", schema::FormatDuration(service.max_lead)},
  };
}

// Returns the list items by path, each with its fields. Items that are plain names have none.
auto ListItems(const Service& service) -> std::map<std::string, Fields> {
  std::map<std::string, Fields> items;
  const auto add_names = [&](std::string_view list, const std::vector<std::string>& names) {
    for (const auto& name : names) items[std::string(list) + "[" + name + "]"] = {};
  };
  add_names("hosts", service.hosts);
  add_names("paths", service.paths);
  add_names("logical_names", service.logical_names);
  add_names("models", service.models);
  for (const auto& pool : service.pools) {
    items["pools[" + pool.name + "]"] = {{"min_slots", std::to_string(pool.min_slots)},
                                         {"max_slots", std::to_string(pool.max_slots)}};
  }
  for (const auto& workspace : service.workspaces) {
    items["workspaces[" + workspace.id + "]"] = {
        {"weight", FormatNumber(workspace.weight)},
        {"max_waiting", std::to_string(workspace.max_waiting)}};
  }
  for (const auto& rule : service.once) items["once[" + rule.method + " " + rule.path + "]"] = {};
  return items;
}

auto Join(const Fields& fields) -> std::string {
  std::string text;
  for (const auto& [name, value] : fields) {
    if (!text.empty()) text += ", ";
    text.append(name).append(" ").append(value);
  }
  return text;
}

// Adds a change for each field whose value differs. Both sets must have the same field names.
auto CompareFields(const std::string& prefix, const Fields& before, const Fields& after,
                   std::map<std::string, Change>& changes) -> void {
  for (const auto& [name, value] : before) {
    const auto& other = after.at(name);
    if (value != other) {
      changes[prefix + name] = {ChangeKind::changed, prefix + name, value, other};
    }
  }
}

}  // namespace

auto Diff(const Service& before, const Service& after) -> std::vector<Change> {
  std::map<std::string, Change> changes;
  CompareFields("", ScalarFields(before), ScalarFields(after), changes);
  const auto old_items = ListItems(before);
  const auto new_items = ListItems(after);
  for (const auto& [item, fields] : old_items) {
    const auto other = new_items.find(item);
    if (other == new_items.end()) {
      changes[item] = {ChangeKind::removed, item, Join(fields), ""};
    } else {
      CompareFields(item + ".", fields, other->second, changes);
    }
  }
  for (const auto& [item, fields] : new_items) {
    if (!old_items.contains(item)) changes[item] = {ChangeKind::added, item, "", Join(fields)};
  }
  std::vector<Change> result;
  result.reserve(changes.size());
  for (auto& [field, change] : changes) result.push_back(std::move(change));
  return result;
}

auto Describe(const Change& change) -> std::string {
  if (change.kind == ChangeKind::changed) {
    return change.field + ": " + change.before + " -> " + change.after;
  }
  const auto& value = change.kind == ChangeKind::added ? change.after : change.before;
  return change.field + ": " + std::string(core::Name(change.kind)) +
         (value.empty() ? "" : " (" + value + ")");
}

}  // namespace filbertstair::document
