#include "filbertstair/cli/drain.h"

#include <cstdint>
#include <optional>
#include <thread>

#include "filbertstair/cli/admin.h"

namespace filbertstair::cli {
namespace {

using Clock = std::chrono::steady_clock;

// Time between two status requests to a draining process.
constexpr std::chrono::milliseconds kPollInterval{200};

auto SendAdminRequest(const DrainOptions& options, Method method, const std::string& target)
    -> AdminResult {
  return SendToAdmins({options.address}, {method, target, options.timeout}).front();
}

auto RequestDrain(const DrainOptions& options) -> void {
  const auto result = SendAdminRequest(options, Method::post, "/drain");
  if (result.error) throw core::Error(*result.error);
  if (result.status != 202) {
    throw core::Error(core::Step::decode, options.address,
                      "status " + std::to_string(result.status) + " instead of 202");
  }
}

// Returns the number of requests in flight, or nullopt if the process has exited.
auto FetchInFlight(const DrainOptions& options) -> std::optional<std::uint64_t> {
  const auto result = SendAdminRequest(options, Method::get, "/status");
  if (result.not_listening) return std::nullopt;
  const auto status = ParseJsonObject(result);
  const auto* count = status.if_contains("in_flight");
  if (count == nullptr || !count->is_number()) {
    throw core::Error(core::Step::decode, options.address,
                      "the status has no number \"in_flight\"");
  }
  return count->to_number<std::uint64_t>();
}

auto WaitUntilDrained(const DrainOptions& options, CommandReport& report) -> void {
  const auto deadline = Clock::now() + options.wait_limit;
  while (true) {
    const auto count = FetchInFlight(options);
    report.json["gone"] = !count.has_value();
    report.json["in_flight"] = count.value_or(0);
    if (count.value_or(0) == 0) {
      report.lines.push_back(options.address + (count ? ": none in flight" : ": gone"));
      return;
    }
    if (Clock::now() + kPollInterval > deadline) {
      report.exit_status = ExitStatus::refused;
      report.lines.push_back(options.address + ": still " + std::to_string(*count) + " in flight");
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

auto Drain(const DrainOptions& options) -> CommandReport {
  CommandReport report;
  report.json["address"] = options.address;
  report.json["draining"] = false;
  try {
    RequestDrain(options);
    report.json["draining"] = true;
    report.lines.push_back(options.address + ": draining");
    if (options.wait) WaitUntilDrained(options, report);
  } catch (const core::Error& error) {
    report.exit_status = ExitStatus::refused;
    report.lines.emplace_back(error.what());
    report.json["error"] = ToJson(error);
  }
  return report;
}

}  // namespace filbertstair::cli
