#include "filbertstair/settings/settings.h"

#include <algorithm>
#include <utility>

#include "filbertstair/core/error.h"
#include "filbertstair/schema/read.h"

namespace filbertstair::settings {
namespace {

using schema::Cursor;
using schema::FieldRule;
using std::chrono::hours;
using std::chrono::seconds;

enum class PortRule { fixed, any };

auto IsFileName(std::string_view text) -> bool { return !text.empty() && text.size() <= 4096; }

constexpr schema::TextRule kFileName{"a file name of 1 to 4096 bytes", IsFileName};

auto ReadAddress(const Cursor& cursor, PortRule rule, Address& out) -> void {
  const auto address =
      cursor.value.kind == schema::Kind::scalar ? ParseAddress(cursor.value.text) : std::nullopt;
  if (!address || (rule == PortRule::fixed && address->port == 0)) {
    const auto found = cursor.value.kind == schema::Kind::scalar
                           ? '"' + cursor.value.text + '"'
                           : std::string(core::Name(cursor.value.kind));
    schema::RejectValue(cursor, found,
                        std::string("an IP address and a port from ") +
                            (rule == PortRule::any ? "0" : "1") +
                            " to 65535, for example \"127.0.0.1:8080\" or \"[::1]:8080\"");
    return;
  }
  out = *address;
}

auto ReadListeners(const Cursor& cursor, core::Role role, Settings& out) -> void {
  const auto read = [](Address& address) {
    return [&address](const Cursor& field) { ReadAddress(field, PortRule::any, address); };
  };
  std::vector<FieldRule> rules{{"peers", true, read(out.peers)}, {"admin", true, read(out.admin)}};
  if (role == core::Role::entry) rules.push_back({"callers", true, read(out.callers)});
  schema::ReadMap(cursor, rules);
}

auto ReadLog(const Cursor& cursor, Settings& out) -> void {
  schema::ReadMap(
      cursor,
      {{"level", false, [&](const Cursor& field) { schema::ReadEnum(field, out.log_level); }},
       {"format", false, [&](const Cursor& field) { schema::ReadEnum(field, out.log_format); }}});
}

auto ReadSeeds(const Cursor& cursor, std::vector<Address>& out) -> void {
  schema::ReadList(cursor, [&](const Cursor& item) {
    Address address;
    ReadAddress(item, PortRule::fixed, address);
    out.push_back(std::move(address));
  });
}

auto ReadFailureDomains(const Cursor& cursor, std::map<std::string, std::string>& out) -> void {
  schema::ReadList(cursor, [&](const Cursor& item) {
    std::string name;
    std::string region;
    const auto identifier = [](std::string& text) {
      return [&text](const Cursor& field) { schema::ReadText(field, schema::kIdentifier, text); };
    };
    schema::ReadMap(item, {{"name", true, identifier(name)}, {"region", true, identifier(region)}});
    out[name] = region;
  });
}

auto ReadColdReplicas(const Cursor& cursor, ColdReplicas& out) -> void {
  constexpr double max_overage = 100;
  constexpr std::uint32_t max_margin = 10000;
  schema::ReadMap(
      cursor,
      {{"overage", false,
        [&](const Cursor& field) { schema::ReadNumber(field, 0, max_overage, out.overage); }},
       {"margin", false,
        [&](const Cursor& field) { schema::ReadInteger(field, 0u, max_margin, out.margin); }}});
}

// Returns the role given in the file, or nullopt if it is missing or unknown.
auto FindRole(const schema::Value& root) -> std::optional<core::Role> {
  for (const auto& field : root.items) {
    if (field.name == "role") return core::ParseName<core::Role>(field.text);
  }
  return std::nullopt;
}

// Reads all fields. Fields of the other role are rejected as unknown. If the role itself is missing
// or invalid, the fields of both roles are accepted, so that only the role is reported.
auto ReadSettings(const Cursor& cursor, Settings& out) -> void {
  const auto role = FindRole(cursor.value);
  const auto identifier = [](std::string& text) {
    return [&text](const Cursor& field) { schema::ReadText(field, schema::kIdentifier, text); };
  };
  std::vector<FieldRule> rules{
      {"role", true, [&](const Cursor& field) { schema::ReadEnum(field, out.role); }},
      {"id", true, identifier(out.id)},
      {"region", true, identifier(out.region)},
      {"failure_domain", true, identifier(out.failure_domain)},
      {"workers", false,
       [&](const Cursor& field) { schema::ReadInteger(field, 1u, 64u, out.workers); }},
      {"cores", false,
       [&](const Cursor& field) { schema::ReadNumber(field, 0.01, 64, out.cores.emplace()); }},
      {"memory_mb", false,
       [&](const Cursor& field) {
         schema::ReadInteger(field, 32u, 1u << 20, out.memory_mb.emplace());
       }},
      {"listen", true,
       [&](const Cursor& field) { ReadListeners(field, role.value_or(core::Role::entry), out); }},
      {"seeds", false, [&](const Cursor& field) { ReadSeeds(field, out.seeds); }},
      {"log", false, [&](const Cursor& field) { ReadLog(field, out); }},
      {"drain_grace", false,
       [&](const Cursor& field) {
         schema::ReadDuration(field, seconds(0), hours(24), out.drain_grace);
       }},
      {"history", false,
       [&](const Cursor& field) { schema::ReadText(field, kFileName, out.history); }}};
  if (role != core::Role::endpoint) {
    rules.push_back({"platform", role.has_value(), [&](const Cursor& field) {
                       ReadAddress(field, PortRule::fixed, out.platform);
                     }});
    rules.push_back(
        {"admission", false, [&](const Cursor& field) { schema::ReadEnum(field, out.admission); }});
    rules.push_back({"failure_domains", false,
                     [&](const Cursor& field) { ReadFailureDomains(field, out.failure_domains); }});
    rules.push_back({"cold_replicas", false,
                     [&](const Cursor& field) { ReadColdReplicas(field, out.cold_replicas); }});
  }
  if (role != core::Role::entry) {
    rules.push_back({"pool", role.has_value(), identifier(out.pool)});
    rules.push_back({"replica", role.has_value(), [&](const Cursor& field) {
                       ReadAddress(field, PortRule::fixed, out.replica);
                     }});
  }
  schema::ReadMap(cursor, rules);
}

}  // namespace

auto ParseSettings(std::string_view text, const std::string& file_name) -> ParseResult {
  schema::ProblemReport report{.file = file_name};
  Settings settings;
  if (const auto root = schema::LoadYaml(text, kMaxSettingsBytes, report)) {
    ReadSettings({report, *root, ""}, settings);
  }
  ParseResult result;
  if (report.problems.empty()) result.settings = std::move(settings);
  result.problems = schema::TakeProblems(std::move(report));
  return result;
}

auto ReadSettingsFile(const std::string& path) -> ParseResult {
  return ParseSettings(schema::ReadFile(path, kMaxSettingsBytes, core::Step::settings), path);
}

}  // namespace filbertstair::settings
