#include "filbertstair/document/parse.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "filbertstair/schema/duration.h"
#include "filbertstair/schema/read.h"

namespace filbertstair::document {
namespace {

using schema::Cursor;
using schema::TextRule;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

auto IsLetterOrDigit(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

auto IsHost(std::string_view text) -> bool {
  if (text.empty() || text.size() > 253) return false;
  // Labels are separated by dots; none may be empty or begin or end with '-'.
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find('.', begin), text.size());
    const auto label = text.substr(begin, end - begin);
    if (label.empty() || label.size() > 63 || label.front() == '-' || label.back() == '-' ||
        !std::all_of(label.begin(), label.end(),
                     [](char c) { return IsLetterOrDigit(c) || c == '-' || c == '_'; })) {
      return false;
    }
    begin = end + 1;
  }
  return true;
}

// Characters other than letters and digits that need no percent-encoding in a URL path.
constexpr std::string_view kPathPunctuation = "-._~!$&'()*+,=:@/";

// Accepts a path that begins with '/', contains only characters that need no percent-encoding and
// has no empty, "." or ".." segments. A final '/' is accepted.
auto IsPath(std::string_view text) -> bool {
  if (text.empty() || text.size() > 255 || text.front() != '/') return false;
  if (!std::all_of(text.begin(), text.end(), [](char c) {
        return IsLetterOrDigit(c) || kPathPunctuation.find(c) != std::string_view::npos;
      })) {
    return false;
  }
  const auto padded = std::string(text) + "/";
  return text.find("//") == std::string_view::npos && padded.find("/./") == std::string::npos &&
         padded.find("/../") == std::string::npos;
}

auto IsPathPrefix(std::string_view text) -> bool {
  return IsPath(text) && (text == "/" || text.back() != '/');
}

auto IsLogicalName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= 255 &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

auto IsMethod(std::string_view text) -> bool {
  return text == "*" ||
         (!text.empty() && text.size() <= 32 && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'A' && c <= 'Z') || c == '-';
         }));
}

constexpr TextRule kHost{"a host name without port, of letters, digits, '-', '_' and '.'", IsHost};
constexpr TextRule kPathPrefix{
    "a path that begins with '/', does not end with '/' (except \"/\"), has no empty, \".\" or "
    "\"..\" segment and no '%', '?', '#' or ';'",
    IsPathPrefix};
constexpr TextRule kOncePath{
    "a path that begins with '/', has no empty, \".\" or \"..\" segment and no '%', '?', '#' or "
    "';'",
    IsPath};
constexpr TextRule kLogicalName{"1 to 255 printable ASCII characters without spaces",
                                IsLogicalName};
constexpr TextRule kMethod{"\"*\" or a method in upper case, for example POST", IsMethod};

auto ToLower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
  return text;
}

// Adds a problem and returns false if `name` is a duplicate.
auto CheckUnique(const Cursor& cursor, std::set<std::string>& seen, const std::string& name)
    -> bool {
  if (seen.insert(name).second) return true;
  schema::RejectValue(cursor, '"' + name + "\" more than once", "each name once");
  return false;
}

auto ReadNames(const Cursor& cursor, const TextRule& rule, std::vector<std::string>& out) -> void {
  std::set<std::string> seen;
  schema::ReadList(cursor, [&](const Cursor& item) {
    std::string name;
    if (schema::ReadText(item, rule, name) && CheckUnique(item, seen, name)) {
      out.push_back(std::move(name));
    }
  });
}

auto ReadHosts(const Cursor& cursor, std::vector<std::string>& out) -> void {
  std::set<std::string> seen;
  schema::ReadList(cursor, [&](const Cursor& item) {
    std::string name;
    if (!schema::ReadText(item, kHost, name)) return;
    name = ToLower(std::move(name));
    if (CheckUnique(item, seen, name)) out.push_back(std::move(name));
  });
}

auto RequireNonEmpty(const Cursor& cursor, std::string_view allowed) -> void {
  if (cursor.value.kind == schema::Kind::list && cursor.value.items.empty()) {
    schema::RejectValue(cursor, "an empty list", std::string(allowed));
  }
}

auto ReadPools(const Cursor& cursor, std::vector<Pool>& out) -> void {
  RequireNonEmpty(cursor, "at least one pool");
  std::set<std::string> seen;
  schema::ReadList(cursor, [&](const Cursor& item) {
    Pool pool;
    schema::ReadMap(
        item,
        {{"name", true,
          [&](const Cursor& field) {
            if (schema::ReadText(field, schema::kIdentifier, pool.name)) {
              CheckUnique(field, seen, pool.name);
            }
          }},
         {"min_slots", false,
          [&](const Cursor& field) { schema::ReadInteger(field, 1u, 4096u, pool.min_slots); }},
         {"max_slots", false,
          [&](const Cursor& field) { schema::ReadInteger(field, 1u, 4096u, pool.max_slots); }}});
    if (pool.min_slots > pool.max_slots) {
      schema::RejectValue(item,
                          "min_slots " + std::to_string(pool.min_slots) + " above max_slots " +
                              std::to_string(pool.max_slots),
                          "min_slots at most max_slots (defaults 1 and 16)");
    }
    out.push_back(std::move(pool));
  });
}

auto ReadWorkspaces(const Cursor& cursor, std::vector<Workspace>& out) -> void {
  RequireNonEmpty(cursor, "at least one workspace");
  std::set<std::string> seen;
  schema::ReadList(cursor, [&](const Cursor& item) {
    Workspace workspace;
    schema::ReadMap(
        item,
        {{"id", true,
          [&](const Cursor& field) {
            if (schema::ReadText(field, schema::kIdentifier, workspace.id)) {
              CheckUnique(field, seen, workspace.id);
            }
          }},
         {"weight", false,
          [&](const Cursor& field) { schema::ReadNumber(field, 0.001, 1000, workspace.weight); }},
         {"max_waiting", false, [&](const Cursor& field) {
            schema::ReadInteger(field, 1u, 100'000u, workspace.max_waiting);
          }}});
    out.push_back(std::move(workspace));
  });
}

auto ReadAtMostOnceRules(const Cursor& cursor, std::vector<AtMostOnceRule>& out) -> void {
  std::set<std::string> seen;
  schema::ReadList(cursor, [&](const Cursor& item) {
    AtMostOnceRule rule;
    schema::ReadMap(
        item, {{"method", false,
                [&](const Cursor& field) { schema::ReadText(field, kMethod, rule.method); }},
               {"path", false,
                [&](const Cursor& field) { schema::ReadText(field, kOncePath, rule.path); }}});
    CheckUnique(item, seen, rule.method + " " + rule.path);
    out.push_back(std::move(rule));
  });
}

auto ReadTimeouts(const Cursor& cursor, Timeouts& out) -> void {
  const auto read = [](core::Duration& duration) {
    return [&duration](const Cursor& field) {
      schema::ReadDuration(field, milliseconds(1), hours(24), duration);
    };
  };
  schema::ReadMap(cursor, {{"request", false, read(out.request)},
                           {"queue", false, read(out.queue)},
                           {"idle", false, read(out.idle)}});
}

auto ReadRetries(const Cursor& cursor, Retries& out) -> void {
  schema::ReadMap(
      cursor,
      {{"budget", false, [&](const Cursor& field) { schema::ReadNumber(field, 0, 1, out.budget); }},
       {"max_attempts", false,
        [&](const Cursor& field) { schema::ReadInteger(field, 1u, 10u, out.max_attempts); }}});
}

auto ReadIdempotency(const Cursor& cursor, Idempotency& out) -> void {
  schema::ReadMap(cursor, {{"protect", false,
                            [&](const Cursor& field) {
                              schema::ReadDuration(field, seconds(1), hours(24), out.protect);
                            }},
                           {"quiet", false,
                            [&](const Cursor& field) {
                              schema::ReadDuration(field, seconds(1), minutes(10), out.quiet);
                            }},
                           {"max_skew", false, [&](const Cursor& field) {
                              schema::ReadDuration(field, seconds(0), minutes(1), out.max_skew);
                            }}});
}

auto ReadService(const Cursor& cursor, Service& out) -> void {
  schema::ReadMap(
      cursor,
      {{"name", true,
        [&](const Cursor& field) { schema::ReadText(field, schema::kIdentifier, out.name); }},
       {"version", true,
        [&](const Cursor& field) {
          schema::ReadInteger(field, std::uint64_t{1},
                              std::uint64_t{std::numeric_limits<std::int64_t>::max()}, out.version);
        }},
       {"hosts", false, [&](const Cursor& field) { ReadHosts(field, out.hosts); }},
       {"paths", false, [&](const Cursor& field) { ReadNames(field, kPathPrefix, out.paths); }},
       {"logical_names", false,
        [&](const Cursor& field) { ReadNames(field, kLogicalName, out.logical_names); }},
       {"pools", true, [&](const Cursor& field) { ReadPools(field, out.pools); }},
       {"models", false, [&](const Cursor& field) { ReadNames(field, kLogicalName, out.models); }},
       {"workspaces", true, [&](const Cursor& field) { ReadWorkspaces(field, out.workspaces); }},
       {"once", false, [&](const Cursor& field) { ReadAtMostOnceRules(field, out.once); }},
       {"timeouts", false, [&](const Cursor& field) { ReadTimeouts(field, out.timeouts); }},
       {"retries", false, [&](const Cursor& field) { ReadRetries(field, out.retries); }},
       {"idempotency", false,
        [&](const Cursor& field) { ReadIdempotency(field, out.idempotency); }},
       {"max_body_bytes", false,
        [&](const Cursor& field) {
          schema::ReadInteger(field, std::uint64_t{1}, std::uint64_t{1} << 30, out.max_body_bytes);
        }},
       {"link_price", false,
        [&](const Cursor& field) {
          schema::ReadDuration(field, seconds(0), hours(1), out.link_price);
        }},
       {"max_lead", false, [&](const Cursor& field) {
          schema::ReadDuration(field, seconds(1), hours(1), out.max_lead);
        }}});
}

// Checks the constraints between fields.
auto CheckFieldCombinations(const Cursor& cursor, const Service& service) -> void {
  if (cursor.value.kind != schema::Kind::map) return;
  const auto has_items = [&](std::string_view name) {
    return std::any_of(
        cursor.value.items.begin(), cursor.value.items.end(),
        [&](const auto& field) { return field.name == name && !field.items.empty(); });
  };
  if (!has_items("hosts") && !has_items("paths") && !has_items("logical_names")) {
    schema::RejectValue(cursor, "no names", "at least one of hosts, paths and logical_names");
  }
  // A link_price above max_lead would never be reached, since excess above max_lead is discarded.
  if (service.link_price > service.max_lead) {
    schema::RejectValue(cursor,
                        "link_price " + schema::FormatDuration(service.link_price) +
                            " above max_lead " + schema::FormatDuration(service.max_lead),
                        "link_price at most max_lead (defaults 1s and 1m)");
  }
  if (service.idempotency.quiet > service.idempotency.protect) {
    schema::RejectValue(cursor,
                        "idempotency.quiet " + schema::FormatDuration(service.idempotency.quiet) +
                            " above idempotency.protect " +
                            schema::FormatDuration(service.idempotency.protect),
                        "quiet at most protect (defaults 10s and 10m)");
  }
}

}  // namespace

auto ParseDocument(std::string_view text, const std::string& file_name) -> ParseResult {
  schema::ProblemReport report{.file = file_name};
  Service service;
  if (const auto root = schema::LoadYaml(text, kMaxDocumentBytes, report)) {
    const Cursor cursor{report, *root, ""};
    ReadService(cursor, service);
    CheckFieldCombinations(cursor, service);
  }
  ParseResult result;
  if (report.problems.empty()) result.service = std::move(service);
  result.problems = schema::TakeProblems(std::move(report));
  return result;
}

}  // namespace filbertstair::document
