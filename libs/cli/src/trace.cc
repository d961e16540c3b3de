#include "filbertstair/cli/trace.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <utility>

#include "fields.h"
#include "filbertstair/cli/admin.h"

namespace filbertstair::cli {
namespace {

using detail::ForEach;
using detail::Number;
using detail::Text;

// Returns whether `text` may stand in a query without encoding. Ids of requests are made of these.
auto IsPlain(const std::string& text) -> bool {
  return !text.empty() && text.find_first_not_of(
                              "abcdefghijklmnopqrstuvwxyz"
                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string::npos;
}

auto Describe(const boost::json::object& event, std::uint64_t first) -> std::string {
  auto line = "+" + detail::Seconds(Number(event, "at_us") - first) + "  " +
              Text(event, "process") + "  " + Text(event, "kind");
  for (const auto* name : {"peer", "step", "outcome", "reason"}) {
    const auto text = Text(event, name);
    if (!text.empty()) line += "  " + std::string(name) + " " + text;
  }
  if (event.contains("cost_us")) line += "  cost " + detail::Seconds(Number(event, "cost_us"));
  return line;
}

// Adds the events that one process recorded.
auto AddRecord(const boost::json::object& record, std::vector<boost::json::object>& events,
               Answer& answer) -> void {
  const auto process = Text(record, "process");
  ForEach(record, "events", [&](const boost::json::object& event) {
    events.push_back(event);
    events.back()["process"] = process;
  });
  answer.json["service"] = Text(record, "service");
  answer.json["workspace"] = Text(record, "workspace");
  answer.json["dropped"].as_uint64() += Number(record, "dropped");
}

}  // namespace

auto Trace(const TraceOptions& options) -> Answer {
  if (!IsPlain(options.request)) {
    throw core::Error(core::Step::decode, options.request, "not the id of a request");
  }
  Answer answer;
  answer.json = {{"request", options.request},
                 {"dropped", std::uint64_t{0}},
                 {"errors", boost::json::array{}}};
  std::vector<boost::json::object> events;
  const auto target = "/trace?id=" + options.request;
  for (const auto& result : CallAdmins(options.addresses, {Method::get, target, options.timeout})) {
    try {
      // A process that does not remember the request.
      if (!result.error && result.status == 404) continue;
      AddRecord(ToObject(result), events, answer);
    } catch (const core::Error& error) {
      answer.lines.emplace_back(error.what());
      answer.json["errors"].as_array().emplace_back(ToJson(error));
    }
  }
  std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return Number(a, "at_us") < Number(b, "at_us");
  });
  if (events.empty()) {
    answer.exit = Exit::refused;
    answer.lines.push_back("no process remembers request " + options.request);
  } else {
    auto line = "request " + options.request;
    // An entry refuses some requests before it knows what they are for.
    const auto service = Text(answer.json, "service");
    if (!service.empty()) {
      line += ": service " + service + ", workspace " + Text(answer.json, "workspace");
    }
    answer.lines.push_back(std::move(line));
  }
  boost::json::array list;
  for (auto& event : events) {
    answer.lines.push_back(Describe(event, Number(events.front(), "at_us")));
    list.emplace_back(event);
  }
  if (Number(answer.json, "dropped") > 0) {
    answer.lines.push_back(std::to_string(Number(answer.json, "dropped")) +
                           " events between the first and the last were dropped");
  }
  answer.json["events"] = std::move(list);
  return answer;
}

}  // namespace filbertstair::cli
