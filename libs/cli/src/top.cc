#include "filbertstair/cli/top.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <thread>

#include "fields.h"
#include "filbertstair/cli/admin.h"

namespace filbertstair::cli {
namespace {

using detail::ForEachObject;
using detail::NumberField;
using detail::StringField;
using Clock = std::chrono::steady_clock;

// A workspace of one service, aggregated over all processes.
struct Account {
  std::uint64_t waiting = 0;
  // Largest fleet-wide total that a process reports, in microseconds of slot time.
  std::uint64_t service_us = 0;
};

struct View {
  Clock::time_point sampled_at{};
  std::map<std::string, Account> accounts;
};

// Returns the average number of slots that the account used since the last view.
auto SlotsUsed(const View& last, const View& view, const std::string& name) -> double {
  const auto before = last.accounts.find(name);
  if (before == last.accounts.end()) return 0;
  const auto& now = view.accounts.at(name);
  const auto elapsed =
      std::chrono::duration<double, std::micro>(view.sampled_at - last.sampled_at).count();
  if (elapsed <= 0 || now.service_us < before->second.service_us) return 0;
  return static_cast<double>(now.service_us - before->second.service_us) / elapsed;
}

auto FormatOneDecimal(double value) -> std::string {
  const auto tenths = std::lround(value * 10);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

auto AddProcess(const boost::json::object& status, View& view, CommandReport& report) -> void {
  std::uint64_t waiting = 0;
  ForEachObject(status, "queues", [&](const boost::json::object& queue) {
    waiting += NumberField(queue, "waiting");
    view.accounts[StringField(queue, "service") + "/" + StringField(queue, "workspace")].waiting +=
        NumberField(queue, "waiting");
  });
  ForEachObject(status, "shares", [&](const boost::json::object& row) {
    auto& account = view.accounts[StringField(row, "account")];
    account.service_us = std::max(account.service_us, NumberField(row, "fleet_us"));
  });
  const bool draining = detail::BoolField(status, "draining");
  boost::json::object process = {{"id", StringField(status, "id")},
                                 {"role", StringField(status, "role")},
                                 {"region", StringField(status, "region")},
                                 {"draining", draining},
                                 {"in_flight", NumberField(status, "in_flight")},
                                 {"waiting", waiting}};
  auto line = StringField(status, "id") + "  " + StringField(status, "role") + "  " +
              StringField(status, "region") + (draining ? "  draining" : "  serving") +
              "  in flight " + std::to_string(NumberField(status, "in_flight")) + "  waiting " +
              std::to_string(waiting);
  if (status.contains("limit")) {
    process["running"] = NumberField(status, "running");
    process["slots"] = NumberField(status, "limit");
    line += "  running " + std::to_string(NumberField(status, "running")) + " of " +
            std::to_string(NumberField(status, "limit"));
  }
  report.lines.push_back(line);
  report.json["processes"].as_array().emplace_back(std::move(process));
}

auto AddAccounts(const std::optional<View>& last, const View& view, CommandReport& report) -> void {
  for (const auto& [name, account] : view.accounts) {
    const auto used = last ? SlotsUsed(*last, view, name) : 0;
    report.lines.push_back(name + "  waiting " + std::to_string(account.waiting) + "  slots used " +
                           (last ? FormatOneDecimal(used) : "-") + "  service " +
                           detail::SecondsToString(account.service_us));
    boost::json::object row = {
        {"account", name}, {"waiting", account.waiting}, {"fleet_us", account.service_us}};
    if (last) row["slots_used"] = used;
    report.json["accounts"].as_array().emplace_back(std::move(row));
  }
}

auto FetchView(const TopOptions& options, std::optional<View>& last) -> CommandReport {
  CommandReport report;
  for (const auto* list : {"processes", "accounts", "errors"}) {
    report.json[list] = boost::json::array{};
  }
  View view;
  const auto results = SendToAdmins(options.addresses, {Method::get, "/status", options.timeout});
  view.sampled_at = Clock::now();
  for (const auto& result : results) {
    try {
      AddProcess(ParseJsonObject(result), view, report);
    } catch (const core::Error& error) {
      report.lines.emplace_back(error.what());
      report.json["errors"].as_array().emplace_back(ToJson(error));
    }
  }
  AddAccounts(last, view, report);
  if (report.json["processes"].as_array().empty()) report.exit_status = ExitStatus::refused;
  last = std::move(view);
  return report;
}

}  // namespace

auto Top(const TopOptions& options, const std::function<bool(const CommandReport&)>& show)
    -> CommandReport {
  std::optional<View> last;
  for (std::uint64_t views = 1;; ++views) {
    auto report = FetchView(options, last);
    if (views == options.count || !show(report)) return report;
    std::this_thread::sleep_for(options.interval);
  }
}

}  // namespace filbertstair::cli
