#include "filbertstair/cli/status.h"

#include <algorithm>
#include <compare>
#include <map>
#include <tuple>
#include <utility>

#include "fields.h"
#include "filbertstair/cli/admin.h"
#include "filbertstair/core/types.h"

namespace filbertstair::cli {
namespace {

using detail::ForEachObject;
using detail::NumberField;
using detail::SecondsToString;
using detail::StringField;

// Version and hash of an object in force.
struct ObjectVersion {
  std::uint64_t version = 0;
  std::string hash;

  auto operator==(const ObjectVersion&) const -> bool = default;
  auto operator<=>(const ObjectVersion& other) const -> std::strong_ordering {
    return std::tie(this->version, this->hash) <=> std::tie(other.version, other.hash);
  }
};

// Status of one process that responded.
struct Process {
  std::string id;
  boost::json::object status;
  std::map<std::string, ObjectVersion> objects;
};

auto ToProcess(const std::string& address, boost::json::object status) -> Process {
  Process process;
  process.id = StringField(status, "id");
  ForEachObject(status, "objects", [&](const boost::json::object& object) {
    process.objects[StringField(object, "name")] = {NumberField(object, "version"),
                                                    StringField(object, "hash")};
  });
  status["address"] = address;
  process.status = std::move(status);
  return process;
}

auto AddLoad(const boost::json::object& status, CommandReport& report) -> void {
  auto line = "  in flight " + std::to_string(NumberField(status, "in_flight"));
  if (StringField(status, "role") == core::Name(core::Role::endpoint)) {
    line += ", running " + std::to_string(NumberField(status, "running")) + " of " +
            std::to_string(NumberField(status, "limit")) + " slots, staged " +
            std::to_string(NumberField(status, "staged")) + ", granted " +
            std::to_string(NumberField(status, "granted"));
  }
  report.lines.push_back(line);
  ForEachObject(status, "queues", [&](const boost::json::object& queue) {
    report.lines.push_back("  queue " + StringField(queue, "service") + "/" +
                           StringField(queue, "workspace") + ": " +
                           std::to_string(NumberField(queue, "waiting")) + " waiting");
  });
  ForEachObject(status, "demand", [&](const boost::json::object& demand) {
    report.lines.push_back("  demand " + StringField(demand, "service") + "/" +
                           StringField(demand, "workspace") + " from region " +
                           StringField(demand, "region") + ": " +
                           std::to_string(NumberField(demand, "waiting")) + " waiting");
  });
  ForEachObject(status, "shares", [&](const boost::json::object& row) {
    auto text = "  share " + StringField(row, "account") + ": fleet " +
                SecondsToString(NumberField(row, "fleet_us"));
    if (row.contains("own_us")) text += ", own " + SecondsToString(NumberField(row, "own_us"));
    report.lines.push_back(text);
  });
}

auto AddProcess(Process process, CommandReport& report) -> void {
  const auto& status = process.status;
  const auto* state = detail::BoolField(status, "draining") ? "draining" : "serving";
  report.lines.push_back(process.id + " (" + StringField(status, "address") +
                         "): " + StringField(status, "role") + ", region " +
                         StringField(status, "region") + ", failure domain " +
                         StringField(status, "failure_domain") + ", " + state);
  for (const auto& [name, object_version] : process.objects) {
    report.lines.push_back("  object " + name + ": version " +
                           std::to_string(object_version.version));
  }
  AddLoad(status, report);
  report.json["processes"].as_array().emplace_back(std::move(process.status));
}

// Adds the objects that a process lacks, or has with another version or hash than the highest.
auto AddDifferences(const std::vector<Process>& processes, CommandReport& report) -> void {
  std::map<std::string, ObjectVersion> highest;
  for (const auto& process : processes) {
    for (const auto& [name, object_version] : process.objects) {
      highest[name] = std::max(highest[name], object_version);
    }
  }
  for (const auto& process : processes) {
    for (const auto& [name, object_version] : highest) {
      const auto found = process.objects.find(name);
      if (found != process.objects.end() && found->second == object_version) continue;
      const auto version = found == process.objects.end() ? 0 : found->second.version;
      report.exit_status = ExitStatus::refused;
      auto line = process.id + " differs: " + name + " has ";
      line += version == 0 ? "no version" : "version " + std::to_string(version);
      line += " in force, others have version " + std::to_string(object_version.version);
      if (version == object_version.version) line += " with another hash";
      report.lines.push_back(std::move(line));
      report.json["differences"].as_array().emplace_back(
          boost::json::object{{"process", process.id},
                              {"object", name},
                              {"version", version},
                              {"highest", object_version.version},
                              {"same_version", version == object_version.version}});
    }
  }
}

}  // namespace

auto Status(const StatusOptions& options) -> CommandReport {
  CommandReport report;
  for (const auto* list : {"processes", "differences", "errors"}) {
    report.json[list] = boost::json::array{};
  }
  std::vector<Process> processes;
  const auto results = SendToAdmins(options.addresses, {Method::get, "/status", options.timeout});
  for (const auto& result : results) {
    try {
      processes.push_back(ToProcess(result.address, ParseJsonObject(result)));
      AddProcess(processes.back(), report);
    } catch (const core::Error& error) {
      report.exit_status = ExitStatus::refused;
      report.lines.emplace_back(error.what());
      report.json["errors"].as_array().emplace_back(ToJson(error));
    }
  }
  AddDifferences(processes, report);
  return report;
}

}  // namespace filbertstair::cli
