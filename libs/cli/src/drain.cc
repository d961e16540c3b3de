#include "filbertstair/cli/drain.h"

#include <cstdint>
#include <optional>
#include <thread>

#include "filbertstair/cli/admin.h"

namespace filbertstair::cli {
namespace {

using Clock = std::chrono::steady_clock;

// Time between two looks at a process that drains.
constexpr std::chrono::milliseconds kWaitInterval{200};

auto CallOne(const DrainOptions& options, Method method, const std::string& target) -> AdminResult {
  return CallAdmins({options.address}, {method, target, options.timeout}).front();
}

auto RequestDrain(const DrainOptions& options) -> void {
  const auto result = CallOne(options, Method::post, "/drain");
  if (result.error) throw core::Error(*result.error);
  if (result.status != 202) {
    throw core::Error(core::Step::decode, options.address,
                      "status " + std::to_string(result.status) + " instead of 202");
  }
}

// Returns the number of requests in flight, or nothing if the process is gone.
auto InFlight(const DrainOptions& options) -> std::optional<std::uint64_t> {
  const auto result = CallOne(options, Method::get, "/status");
  if (result.gone) return std::nullopt;
  const auto status = ToObject(result);
  const auto* count = status.if_contains("in_flight");
  if (count == nullptr || !count->is_number()) {
    throw core::Error(core::Step::decode, options.address, "the status has no in_flight");
  }
  return count->to_number<std::uint64_t>();
}

auto Wait(const DrainOptions& options, Answer& answer) -> void {
  const auto deadline = Clock::now() + options.limit;
  while (true) {
    const auto count = InFlight(options);
    answer.json["gone"] = !count.has_value();
    answer.json["in_flight"] = count.value_or(0);
    if (count.value_or(0) == 0) {
      answer.lines.push_back(options.address + (count ? ": none in flight" : ": gone"));
      return;
    }
    if (Clock::now() + kWaitInterval > deadline) {
      answer.exit = Exit::refused;
      answer.lines.push_back(options.address + ": still " + std::to_string(*count) + " in flight");
      return;
    }
    std::this_thread::sleep_for(kWaitInterval);
  }
}

}  // namespace

auto Drain(const DrainOptions& options) -> Answer {
  Answer answer;
  answer.json["address"] = options.address;
  answer.json["draining"] = false;
  try {
    RequestDrain(options);
    answer.json["draining"] = true;
    answer.lines.push_back(options.address + ": draining");
    if (options.wait) Wait(options, answer);
  } catch (const core::Error& error) {
    answer.exit = Exit::refused;
    answer.lines.emplace_back(error.what());
    answer.json["error"] = ToJson(error);
  }
  return answer;
}

}  // namespace filbertstair::cli
