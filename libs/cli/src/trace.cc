#include "filbertstair/cli/trace.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <utility>

#include "fields.h"
#include "filbertstair/cli/admin.h"

namespace filbertstair::cli {
namespace {

using detail::ForEachObject;
using detail::NumberField;
using detail::StringField;

// Returns whether `text` needs no percent-encoding in a query. Request ids consist of these
// characters only.
auto IsUrlSafe(const std::string& text) -> bool {
  return !text.empty() && text.find_first_not_of(
                              "abcdefghijklmnopqrstuvwxyz"
                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string::npos;
}

auto DescribeEvent(const boost::json::object& event, std::uint64_t first) -> std::string {
  auto line = "+" + detail::SecondsToString(NumberField(event, "at_us") - first) + "  " +
              StringField(event, "process") + "  " + StringField(event, "kind");
  for (const auto* name : {"peer", "step", "outcome", "reason"}) {
    const auto text = StringField(event, name);
    if (!text.empty()) line += "  " + std::string(name) + " " + text;
  }
  if (event.contains("cost_us")) {
    line += "  cost " + detail::SecondsToString(NumberField(event, "cost_us"));
  }
  return line;
}

// Adds the events that one process recorded.
auto AddRecord(const boost::json::object& record, std::vector<boost::json::object>& events,
               CommandReport& report) -> void {
  const auto process = StringField(record, "process");
  ForEachObject(record, "events", [&](const boost::json::object& event) {
    events.push_back(event);
    events.back()["process"] = process;
  });
  report.json["service"] = StringField(record, "service");
  report.json["workspace"] = StringField(record, "workspace");
  report.json["dropped"].as_uint64() += NumberField(record, "dropped");
}

}  // namespace

auto Trace(const TraceOptions& options) -> CommandReport {
  if (!IsUrlSafe(options.request)) {
    throw core::Error(core::Step::decode, options.request, "not a valid request id");
  }
  CommandReport report;
  report.json = {{"request", options.request},
                 {"dropped", std::uint64_t{0}},
                 {"errors", boost::json::array{}}};
  std::vector<boost::json::object> events;
  const auto target = "/trace?id=" + options.request;
  for (const auto& result :
       SendToAdmins(options.addresses, {Method::get, target, options.timeout})) {
    try {
      // The process has no record of the request.
      if (!result.error && result.status == 404) continue;
      AddRecord(ParseJsonObject(result), events, report);
    } catch (const core::Error& error) {
      report.lines.emplace_back(error.what());
      report.json["errors"].as_array().emplace_back(ToJson(error));
    }
  }
  std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return NumberField(a, "at_us") < NumberField(b, "at_us");
  });
  if (events.empty()) {
    report.exit_status = ExitStatus::refused;
    report.lines.push_back("no process has a record of request " + options.request);
  } else {
    auto line = "request " + options.request;
    // An entry refuses some requests before it has resolved their service.
    const auto service = StringField(report.json, "service");
    if (!service.empty()) {
      line += ": service " + service + ", workspace " + StringField(report.json, "workspace");
    }
    report.lines.push_back(std::move(line));
  }
  boost::json::array list;
  for (auto& event : events) {
    report.lines.push_back(DescribeEvent(event, NumberField(events.front(), "at_us")));
    list.emplace_back(event);
  }
  if (NumberField(report.json, "dropped") > 0) {
    report.lines.push_back(std::to_string(NumberField(report.json, "dropped")) +
                           " events between the first and the last were dropped");
  }
  report.json["events"] = std::move(list);
  return report;
}

}  // namespace filbertstair::cli
