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
using detail::FormatSeconds;
using detail::GetString;
using detail::GetUint;

// Version and hash of an object in force.
struct ObjectVersion {
  std::uint64_t version = 0;
  std::string hash;

  auto operator==(const ObjectVersion&) const -> bool = default;
  auto operator<=>(const ObjectVersion& other) const -> std::strong_ordering {
    return std::tie(this->version, this->hash) <=> std::tie(other.version, other.hash);
  }
};

// Status of one process that answered.
struct Process {
  std::string id;
  boost::json::object status;
  std::map<std::string, ObjectVersion> objects;
};

auto ToProcess(const std::string& address, boost::json::object status) -> Process {
  Process process;
  process.id = GetString(status, "id");
  ForEachObject(status, "objects", [&](const boost::json::object& object) {
    process.objects[GetString(object, "name")] = {GetUint(object, "version"),
                                                  GetString(object, "hash")};
  });
  status["address"] = address;
  process.status = std::move(status);
  return process;
}

auto AddLoad(const boost::json::object& status, Report& report) -> void {
  auto line = "  in flight " + std::to_string(GetUint(status, "in_flight"));
  if (GetString(status, "role") == core::Name(core::Role::endpoint)) {
    line += ", running " + std::to_string(GetUint(status, "running")) + " of " +
            std::to_string(GetUint(status, "limit")) + " slots, staged " +
            std::to_string(GetUint(status, "staged")) + ", granted " +
            std::to_string(GetUint(status, "granted"));
  }
  report.lines.push_back(line);
  ForEachObject(status, "queues", [&](const boost::json::object& queue) {
    report.lines.push_back("  queue " + GetString(queue, "service") + "/" +
                           GetString(queue, "workspace") + ": " +
                           std::to_string(GetUint(queue, "waiting")) + " waiting");
  });
  ForEachObject(status, "demand", [&](const boost::json::object& demand) {
    report.lines.push_back("  demand " + GetString(demand, "service") + "/" +
                           GetString(demand, "workspace") + " from region " +
                           GetString(demand, "region") + ": " +
                           std::to_string(GetUint(demand, "waiting")) + " waiting");
  });
  ForEachObject(status, "shares", [&](const boost::json::object& row) {
    auto text = "  share " + GetString(row, "account") + ": fleet " +
                FormatSeconds(GetUint(row, "fleet_us"));
    if (row.contains("own_us")) text += ", own " + FormatSeconds(GetUint(row, "own_us"));
    report.lines.push_back(text);
  });
}

auto AddProcess(Process process, Report& report) -> void {
  const auto& status = process.status;
  const auto* state = detail::GetBool(status, "draining") ? "draining" : "serving";
  report.lines.push_back(process.id + " (" + GetString(status, "address") + "): " +
                         GetString(status, "role") + ", region " + GetString(status, "region") +
                         ", failure domain " + GetString(status, "failure_domain") + ", " + state);
  for (const auto& [name, object_version] : process.objects) {
    report.lines.push_back("  object " + name + ": version " +
                           std::to_string(object_version.version));
  }
  AddLoad(status, report);
  report.json["processes"].as_array().emplace_back(std::move(process.status));
}

// Adds the objects that some process has with another stamp than the highest, or not at all.
auto AddDifferences(const std::vector<Process>& processes, Report& report) -> void {
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

auto Status(const StatusOptions& options) -> Report {
  Report report;
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
