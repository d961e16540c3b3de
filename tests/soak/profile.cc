#include "tests/soak/profile.h"

#include <algorithm>
#include <stdexcept>

#include "filbertstair/schema/read.h"

namespace filbertstair::soak {
namespace {

using schema::Cursor;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxBytes = 65'536;
constexpr core::Duration kMaxTime = seconds(60);
// Bounds of the small machine on which a soak runs.
constexpr std::uint32_t kMaxProcesses = 40;
constexpr std::uint32_t kMaxSlots = 1000;
constexpr std::uint32_t kMaxEvents = 1000;
constexpr std::uint32_t kMaxBody = 100'000;
constexpr double kMaxRate = 1000;

using Read = std::function<void(const Cursor&)>;

auto Name(std::string& out) -> Read {
  return [&out](const Cursor& field) { schema::ReadText(field, schema::kIdentifier, out); };
}

auto Count(std::uint32_t min, std::uint32_t max, std::uint32_t& out) -> Read {
  return [min, max, &out](const Cursor& field) { schema::ReadInteger(field, min, max, out); };
}

auto Number(double min, double max, double& out) -> Read {
  return [min, max, &out](const Cursor& field) { schema::ReadNumber(field, min, max, out); };
}

auto Time(core::Duration min, core::Duration& out) -> Read {
  return [min, &out](const Cursor& field) { schema::ReadDuration(field, min, kMaxTime, out); };
}

// Reads a list of maps whose rules `rules` gives for each item.
template <typename Item, typename Rules>
auto Items(std::vector<Item>& out, Rules rules) -> Read {
  return [&out, rules](const Cursor& field) {
    schema::ReadList(field,
                     [&](const Cursor& item) { schema::ReadMap(item, rules(out.emplace_back())); });
    if (out.empty()) schema::RejectValue(field, "an empty list", "at least one");
  };
}

auto ZoneRules(ProfileZone& out) -> std::vector<schema::FieldRule> {
  return {{"name", true, Name(out.name)}, {"region", true, Name(out.region)}};
}

auto EntryRules(EntryGroup& out) -> std::vector<schema::FieldRule> {
  return {{"zone", true, Name(out.zone)},
          {"count", true, Count(1, kMaxProcesses, out.count)},
          {"cores", true, Number(0.01, 64, out.cores)}};
}

auto ReplicaRules(ReplicaGroup& out) -> std::vector<schema::FieldRule> {
  return {{"service", true, Name(out.service)},
          {"zone", true, Name(out.zone)},
          {"count", true, Count(1, kMaxProcesses, out.count)},
          {"slots", true, Count(1, kMaxSlots, out.slots)},
          {"queue", true, Count(0, kMaxSlots, out.queue)},
          {"retry_after", false, Time(milliseconds(0), out.retry_after)}};
}

auto ReadKind(const Cursor& field, CallKind& out) -> void {
  if (!schema::ReadEnum(field, out)) return;
  if (out != CallKind::stream && out != CallKind::once && out != CallKind::again) {
    schema::RejectValue(field, core::Name(out), "stream, once, again");
  }
}

auto ClassRules(RequestClass& out) -> std::vector<schema::FieldRule> {
  return {{"name", true, Name(out.name)},
          {"kind", true, [&out](const Cursor& field) { ReadKind(field, out.kind); }},
          {"rate", true, Number(0.01, kMaxRate, out.rate)},
          {"deadline", true, Time(milliseconds(100), out.deadline)},
          {"timeout", true, Time(milliseconds(100), out.timeout)},
          {"objective", true, Time(milliseconds(10), out.objective)},
          {"attempts", true, Count(1, 10, out.attempts)},
          {"body_bytes", false, Count(0, kMaxBody, out.body_bytes)},
          {"events", false, Count(1, kMaxEvents, out.events)},
          {"work", true, Time(milliseconds(1), out.work)}};
}

auto PatienceRules(Patience& out) -> std::vector<schema::FieldRule> {
  return {{"attempts", true, Count(1, 20, out.attempts)},
          {"at_once", true, Number(0, 1, out.at_once)},
          {"kept", true, Number(0, 1, out.kept)},
          {"leaving", false, Number(0, 1, out.leaving)}};
}

template <typename Item>
auto CheckZones(const Cursor& root, const Profile& profile, const std::vector<Item>& items)
    -> void {
  for (const auto& item : items) {
    if (std::none_of(profile.zones.begin(), profile.zones.end(),
                     [&](const ProfileZone& zone) { return zone.name == item.zone; })) {
      schema::RejectValue(root, "zone \"" + item.zone + '"', "a name of \"zones\"");
    }
  }
}

// Problems that concern several fields.
auto CheckReferences(const Cursor& root, const Profile& profile) -> void {
  CheckZones(root, profile, profile.entries);
  CheckZones(root, profile, profile.replicas);
  for (const auto& request : profile.classes) {
    const auto service = ServiceOf(request.kind);
    if (std::none_of(profile.replicas.begin(), profile.replicas.end(),
                     [&](const ReplicaGroup& group) { return group.service == service; })) {
      schema::RejectValue(root, "no replica of \"" + service + '"', "one for each kind of class");
    }
  }
}

}  // namespace

auto ParseProfile(std::string_view text, const std::string& file) -> ProfileResult {
  schema::ProblemReport report{.file = file};
  ProfileResult out;
  auto& profile = out.profile;
  if (const auto value = schema::LoadYaml(text, kMaxBytes, report)) {
    const Cursor root{report, *value, ""};
    schema::ReadMap(root, {{"zones", true, Items(profile.zones, ZoneRules)},
                           {"zone_delay", false, Time(milliseconds(0), profile.zone_delay)},
                           {"running_share", false, Number(0.01, 1, profile.running_share)},
                           {"workspaces", true, Count(1, 1000, profile.workspaces)},
                           {"entries", true, Items(profile.entries, EntryRules)},
                           {"replicas", true, Items(profile.replicas, ReplicaRules)},
                           {"classes", true, Items(profile.classes, ClassRules)},
                           {"patience", true, [&profile](const Cursor& field) {
                              schema::ReadMap(field, PatienceRules(profile.patience));
                            }}});
    if (report.problems.empty()) CheckReferences(root, profile);
  }
  out.problems = schema::TakeProblems(std::move(report));
  return out;
}

auto ReadProfile(const std::string& path) -> Profile {
  auto result = ParseProfile(schema::ReadFile(path, kMaxBytes, core::Step::settings), path);
  if (result.problems.empty()) return std::move(result.profile);
  std::string text;
  for (const auto& problem : result.problems) text += schema::Describe(problem) + '\n';
  throw std::runtime_error(text);
}

}  // namespace filbertstair::soak
