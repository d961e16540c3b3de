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

using detail::ForEach;
using detail::Number;
using detail::Text;
using Clock = std::chrono::steady_clock;

// One service's workspace over all processes.
struct Account {
  std::uint64_t waiting = 0;
  // Largest total that a process knows, in microseconds of slot time.
  std::uint64_t service = 0;
};

struct View {
  Clock::time_point at{};
  std::map<std::string, Account> accounts;
};

// Slots that the account used on average since the last view.
auto SlotsUsed(const View& last, const View& view, const std::string& name) -> double {
  const auto before = last.accounts.find(name);
  if (before == last.accounts.end()) return 0;
  const auto& now = view.accounts.at(name);
  const auto elapsed = std::chrono::duration<double, std::micro>(view.at - last.at).count();
  if (elapsed <= 0 || now.service < before->second.service) return 0;
  return static_cast<double>(now.service - before->second.service) / elapsed;
}

auto Decimal(double value) -> std::string {
  const auto tenths = std::lround(value * 10);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

auto AddProcess(const boost::json::object& status, View& view, Answer& answer) -> void {
  std::uint64_t waiting = 0;
  ForEach(status, "queues", [&](const boost::json::object& queue) {
    waiting += Number(queue, "waiting");
    view.accounts[Text(queue, "service") + "/" + Text(queue, "workspace")].waiting +=
        Number(queue, "waiting");
  });
  ForEach(status, "shares", [&](const boost::json::object& row) {
    auto& account = view.accounts[Text(row, "account")];
    account.service = std::max(account.service, Number(row, "fleet_us"));
  });
  const bool draining = detail::Flag(status, "draining");
  boost::json::object process = {{"id", Text(status, "id")},
                                 {"role", Text(status, "role")},
                                 {"region", Text(status, "region")},
                                 {"draining", draining},
                                 {"in_flight", Number(status, "in_flight")},
                                 {"waiting", waiting}};
  auto line = Text(status, "id") + "  " + Text(status, "role") + "  " + Text(status, "region") +
              (draining ? "  draining" : "  serving") + "  in flight " +
              std::to_string(Number(status, "in_flight")) + "  waiting " + std::to_string(waiting);
  if (status.contains("limit")) {
    process["running"] = Number(status, "running");
    process["slots"] = Number(status, "limit");
    line += "  running " + std::to_string(Number(status, "running")) + " of " +
            std::to_string(Number(status, "limit"));
  }
  answer.lines.push_back(line);
  answer.json["processes"].as_array().emplace_back(std::move(process));
}

auto AddAccounts(const std::optional<View>& last, const View& view, Answer& answer) -> void {
  for (const auto& [name, account] : view.accounts) {
    const auto used = last ? SlotsUsed(*last, view, name) : 0;
    answer.lines.push_back(name + "  waiting " + std::to_string(account.waiting) + "  slots used " +
                           (last ? Decimal(used) : "-") + "  service " +
                           detail::Seconds(account.service));
    boost::json::object row = {
        {"account", name}, {"waiting", account.waiting}, {"fleet_us", account.service}};
    if (last) row["slots_used"] = used;
    answer.json["accounts"].as_array().emplace_back(std::move(row));
  }
}

auto Look(const TopOptions& options, std::optional<View>& last) -> Answer {
  Answer answer;
  for (const auto* list : {"processes", "accounts", "errors"}) {
    answer.json[list] = boost::json::array{};
  }
  View view;
  const auto results = CallAdmins(options.addresses, {Method::get, "/status", options.timeout});
  view.at = Clock::now();
  for (const auto& result : results) {
    try {
      AddProcess(ToObject(result), view, answer);
    } catch (const core::Error& error) {
      answer.lines.emplace_back(error.what());
      answer.json["errors"].as_array().emplace_back(ToJson(error));
    }
  }
  AddAccounts(last, view, answer);
  if (answer.json["processes"].as_array().empty()) answer.exit = Exit::refused;
  last = std::move(view);
  return answer;
}

}  // namespace

auto Top(const TopOptions& options, const std::function<bool(const Answer&)>& show) -> Answer {
  std::optional<View> last;
  for (std::uint64_t views = 1;; ++views) {
    auto answer = Look(options, last);
    if (views == options.count || !show(answer)) return answer;
    std::this_thread::sleep_for(options.interval);
  }
}

}  // namespace filbertstair::cli
