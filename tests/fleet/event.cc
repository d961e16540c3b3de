#include "tests/fleet/event.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <stdexcept>

namespace filbertstair::fleet {
namespace {

namespace json = boost::json;

auto Text(const json::object& object, const char* name) -> std::string {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

template <typename N>
auto Number(const json::object& object, const char* name) -> N {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<N>() : N{};
}

auto PutText(json::object& object, const char* name, const std::string& text) -> void {
  if (!text.empty()) object[name] = text;
}

}  // namespace

auto FormatEvent(const Event& event) -> std::string {
  json::object object;
  object["at"] = event.at;
  object["kind"] = core::Name(event.kind);
  PutText(object, "source", event.source);
  PutText(object, "id", event.id);
  PutText(object, "workspace", event.workspace);
  PutText(object, "service", event.service);
  if (event.kind == EventKind::invoke) object["class"] = core::Name(event.call_class);
  PutText(object, "key", event.key);
  PutText(object, "endpoint", event.endpoint);
  if (event.outcome) object["outcome"] = core::Name(*event.outcome);
  PutText(object, "reason", event.reason);
  if (event.status != 0) object["status"] = event.status;
  PutText(object, "echo", event.echo);
  PutText(object, "announced", event.announced);
  PutText(object, "received", event.received);
  if (event.kind == EventKind::answer) object["complete"] = event.complete;
  PutText(object, "object", event.object);
  if (event.version != 0) object["version"] = event.version;
  return json::serialize(object);
}

auto ParseEvent(const std::string& line) -> std::optional<Event> {
  const auto value = json::parse(line);
  if (!value.is_object()) throw std::runtime_error("not a JSON object: " + line);
  const auto& object = value.get_object();
  const auto kind = core::ParseName<EventKind>(Text(object, "kind"));
  if (!kind) return std::nullopt;
  Event event;
  event.at = Number<std::int64_t>(object, "at");
  event.kind = *kind;
  event.source = Text(object, "source");
  event.id = Text(object, "id");
  event.workspace = Text(object, "workspace");
  event.service = Text(object, "service");
  event.call_class =
      core::ParseName<core::CallClass>(Text(object, "class")).value_or(core::CallClass::repeatable);
  event.key = Text(object, "key");
  event.endpoint = Text(object, "endpoint");
  event.outcome = core::ParseName<core::Outcome>(Text(object, "outcome"));
  event.reason = Text(object, "reason");
  event.status = Number<int>(object, "status");
  event.echo = Text(object, "echo");
  event.announced = Text(object, "announced");
  event.received = Text(object, "received");
  const auto* complete = object.if_contains("complete");
  event.complete = complete != nullptr && complete->is_bool() && complete->get_bool();
  event.object = Text(object, "object");
  event.version = Number<std::uint64_t>(object, "version");
  return event;
}

auto ReadHistories(const std::vector<std::string>& paths) -> std::vector<Event> {
  std::vector<Event> events;
  for (const auto& path : paths) {
    std::ifstream in(path);
    if (!in) throw std::runtime_error("cannot read history " + path);
    std::string line;
    // A process that was killed may have left a line without its end.
    while (std::getline(in, line) && !in.eof()) {
      if (auto event = ParseEvent(line)) events.push_back(std::move(*event));
    }
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  return events;
}

}  // namespace filbertstair::fleet
