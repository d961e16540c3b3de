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
using detail::GetString;
using detail::GetUint;
using Clock = std::chrono::steady_clock;

// One service's workspace over all processes.
struct Account {
  std::uint64_t waiting = 0;
  // Largest total that a process knows, in microseconds of slot time.
  std::uint64_t service_us = 0;
};

struct View {
  Clock::time_point sampled_at{};
  std::map<std::string, Account> accounts;
};

// Slots that the account used on average since the last view.
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

auto AddProcess(const boost::json::object& status, View& view, Report& report) -> void {
  std::uint64_t waiting = 0;
  ForEachObject(status, "queues", [&](const boost::json::object& queue) {
    waiting += GetUint(queue, "waiting");
    view.accounts[GetString(queue, "service") + "/" + GetString(queue, "workspace")].waiting +=
        GetUint(queue, "waiting");
  });
  ForEachObject(status, "shares", [&](const boost::json::object& row) {
    auto& account = view.accounts[GetString(row, "account")];
    account.service_us = std::max(account.service_us, GetUint(row, "fleet_us"));
  });
  const bool draining = detail::GetBool(status, "draining");
  boost::json::object process = {{"id", GetString(status, "id")},
                                 {"role", GetString(status, "role")},
                                 {"region", GetString(status, "region")},
                                 {"draining", draining},
                                 {"in_flight", GetUint(status, "in_flight")},
                                 {"waiting", waiting}};
  auto line = GetString(status, "id") + "  " + GetString(status, "role") + "  " +
              GetString(status, "region") + (draining ? "  draining" : "  serving") +
              "  in flight " + std::to_string(GetUint(status, "in_flight")) + "  waiting " +
              std::to_string(waiting);
  if (status.contains("limit")) {
    process["running"] = GetUint(status, "running");
    process["slots"] = GetUint(status, "limit");
    line += "  running " + std::to_string(GetUint(status, "running")) + " of " +
            std::to_string(GetUint(status, "limit"));
  }
  report.lines.push_back(line);
  report.json["processes"].as_array().emplace_back(std::move(process));
}

auto AddAccounts(const std::optional<View>& last, const View& view, Report& report) -> void {
  for (const auto& [name, account] : view.accounts) {
    const auto used = last ? SlotsUsed(*last, view, name) : 0;
    report.lines.push_back(name + "  waiting " + std::to_string(account.waiting) + "  slots used " +
                           (last ? FormatOneDecimal(used) : "-") + "  service " +
                           detail::FormatSeconds(account.service_us));
    boost::json::object row = {
        {"account", name}, {"waiting", account.waiting}, {"fleet_us", account.service_us}};
    if (last) row["slots_used"] = used;
    report.json["accounts"].as_array().emplace_back(std::move(row));
  }
}

auto FetchView(const TopOptions& options, std::optional<View>& last) -> Report {
  Report report;
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

auto Top(const TopOptions& options, const std::function<bool(const Report&)>& show) -> Report {
  std::optional<View> last;
  for (std::uint64_t views = 1;; ++views) {
    auto report = FetchView(options, last);
    if (views == options.count || !show(report)) return report;
    std::this_thread::sleep_for(options.interval);
  }
}

}  // namespace filbertstair::cli
