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

using detail::ForEach;
using detail::Number;
using detail::Seconds;
using detail::Text;

// Version and hash of an object in force.
struct Stamp {
  std::uint64_t version = 0;
  std::string hash;

  auto operator==(const Stamp&) const -> bool = default;
  auto operator<=>(const Stamp& other) const -> std::strong_ordering {
    return std::tie(this->version, this->hash) <=> std::tie(other.version, other.hash);
  }
};

// Status of one process that answered.
struct Process {
  std::string id;
  boost::json::object status;
  std::map<std::string, Stamp> objects;
};

auto ToProcess(const std::string& address, boost::json::object status) -> Process {
  Process process;
  process.id = Text(status, "id");
  ForEach(status, "objects", [&](const boost::json::object& object) {
    process.objects[Text(object, "name")] = {Number(object, "version"), Text(object, "hash")};
  });
  status["address"] = address;
  process.status = std::move(status);
  return process;
}

auto AddRole(const boost::json::object& status, Answer& answer) -> void {
  auto line = "  in flight " + std::to_string(Number(status, "in_flight"));
  if (Text(status, "role") == core::Name(core::Role::endpoint)) {
    line += ", running " + std::to_string(Number(status, "running")) + " of " +
            std::to_string(Number(status, "limit")) + " slots, staged " +
            std::to_string(Number(status, "staged")) + ", granted " +
            std::to_string(Number(status, "granted"));
  }
  answer.lines.push_back(line);
  ForEach(status, "queues", [&](const boost::json::object& queue) {
    answer.lines.push_back("  queue " + Text(queue, "service") + "/" + Text(queue, "workspace") +
                           ": " + std::to_string(Number(queue, "waiting")) + " waiting");
  });
  ForEach(status, "demand", [&](const boost::json::object& demand) {
    answer.lines.push_back("  demand " + Text(demand, "service") + "/" + Text(demand, "workspace") +
                           " from region " + Text(demand, "region") + ": " +
                           std::to_string(Number(demand, "waiting")) + " waiting");
  });
  ForEach(status, "shares", [&](const boost::json::object& row) {
    auto text = "  share " + Text(row, "account") + ": fleet " + Seconds(Number(row, "fleet_us"));
    if (row.contains("own_us")) text += ", own " + Seconds(Number(row, "own_us"));
    answer.lines.push_back(text);
  });
}

auto AddProcess(Process process, Answer& answer) -> void {
  const auto& status = process.status;
  const auto* state = detail::Flag(status, "draining") ? "draining" : "serving";
  answer.lines.push_back(process.id + " (" + Text(status, "address") +
                         "): " + Text(status, "role") + ", region " + Text(status, "region") +
                         ", failure domain " + Text(status, "failure_domain") + ", " + state);
  for (const auto& [name, stamp] : process.objects) {
    answer.lines.push_back("  object " + name + ": version " + std::to_string(stamp.version));
  }
  AddRole(status, answer);
  answer.json["processes"].as_array().emplace_back(std::move(process.status));
}

// Adds the objects that some process has with another stamp than the highest, or not at all.
auto AddDifferences(const std::vector<Process>& processes, Answer& answer) -> void {
  std::map<std::string, Stamp> highest;
  for (const auto& process : processes) {
    for (const auto& [name, stamp] : process.objects) {
      highest[name] = std::max(highest[name], stamp);
    }
  }
  for (const auto& process : processes) {
    for (const auto& [name, stamp] : highest) {
      const auto found = process.objects.find(name);
      if (found != process.objects.end() && found->second == stamp) continue;
      const auto version = found == process.objects.end() ? 0 : found->second.version;
      answer.exit = Exit::refused;
      auto line = process.id + " differs: " + name + " has ";
      line += version == 0 ? "no version" : "version " + std::to_string(version);
      line += " in force, others have version " + std::to_string(stamp.version);
      if (version == stamp.version) line += " with another hash";
      answer.lines.push_back(std::move(line));
      answer.json["differences"].as_array().emplace_back(
          boost::json::object{{"process", process.id},
                              {"object", name},
                              {"version", version},
                              {"highest", stamp.version},
                              {"same_version", version == stamp.version}});
    }
  }
}

}  // namespace

auto Status(const StatusOptions& options) -> Answer {
  Answer answer;
  for (const auto* list : {"processes", "differences", "errors"}) {
    answer.json[list] = boost::json::array{};
  }
  std::vector<Process> processes;
  const auto results = CallAdmins(options.addresses, {Method::get, "/status", options.timeout});
  for (const auto& result : results) {
    try {
      processes.push_back(ToProcess(result.address, ToObject(result)));
      AddProcess(processes.back(), answer);
    } catch (const core::Error& error) {
      answer.exit = Exit::refused;
      answer.lines.emplace_back(error.what());
      answer.json["errors"].as_array().emplace_back(ToJson(error));
    }
  }
  AddDifferences(processes, answer);
  return answer;
}

}  // namespace filbertstair::cli
