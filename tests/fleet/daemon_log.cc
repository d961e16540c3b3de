#include "tests/fleet/daemon_log.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <utility>

#include "tests/standins/history.h"

namespace filbertstair::fleet {
namespace {

namespace json = boost::json;

auto Text(const json::object& object, const char* name) -> std::string {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? value->get_string().c_str() : "";
}

// Microseconds since 1970 of "2026-12-04T08:17:58.957+00:00"; 0 for another form.
auto ParseTime(const std::string& text) -> std::int64_t {
  std::tm fields{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &fields);
  if (rest == nullptr || *rest != '.') return 0;
  char* zone = nullptr;
  const auto milliseconds = std::strtol(rest + 1, &zone, 10);
  std::tm offset{};
  if (strptime(zone + (*zone != '\0' ? 1 : 0), "%H:%M", &offset) == nullptr) return 0;
  const int east = (offset.tm_hour * 60 + offset.tm_min) * (*zone == '-' ? -60 : 60);
  return ((timegm(&fields) - east) * 1000 + milliseconds) * 1000;
}

}  // namespace

auto ParseLogLine(const std::string& line, std::int64_t clock_offset) -> std::optional<Event> {
  boost::system::error_code error;
  const auto value = json::parse(line, error);
  if (error || !value.is_object()) return std::nullopt;
  const auto& object = value.get_object();
  const auto name = Text(object, "name");
  Event event;
  if (name == "started") {
    event.kind = EventKind::started;
  } else if (name == "stopping") {
    event.kind = EventKind::leaving;
  } else if (name == "object_accepted") {
    event.kind = EventKind::config;
    event.object = Text(object, "object");
    event.version = std::strtoull(Text(object, "version").c_str(), nullptr, 10);
  } else {
    return std::nullopt;
  }
  event.at = ParseTime(Text(object, "time")) + clock_offset;
  event.source = Text(object, "process");
  return event;
}

auto ReadDaemonLog(const std::string& path) -> std::vector<Event> {
  const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  const auto clock_offset = standins::NowUs() - wall;
  std::vector<Event> events;
  std::ifstream in(path);
  std::string line;
  while (std::getline(in, line)) {
    if (auto event = ParseLogLine(line, clock_offset)) events.push_back(std::move(*event));
  }
  return events;
}

}  // namespace filbertstair::fleet
